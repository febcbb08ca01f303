//! The fleet protocol must use only a small share of the links in a large
//! installation: 111 entry VMs with links of 1.4 Mbit/s, 9 control VMs and 564
//! targets.

mod world;

use pimento_fleet::Role;
use pimento_registry::{Stage, Target};
use std::time::Duration;
use world::{World, world_with_domains};

const SECOND: Duration = Duration::from_secs(1);
const DOMAINS: usize = 9;
const CONTROLS: usize = 9;
const TARGETS: usize = 564;

/// The capacity of the link of an entry VM.
const LINK_BYTES_PER_SECOND: usize = 175_000;

fn target_report(number: usize, incarnation: u64, stage: Stage, seq: u64) -> Target {
    Target {
        id: format!("i-{number:06x}{incarnation:02x}"),
        incarnation,
        seq,
        stage: stage as i32,
        address: format!(
            "10.{}.{}.{}:8080",
            64 + incarnation,
            number / 200,
            number % 200
        ),
        service: format!("service{}", number % 4),
        domain: world::domain(number % DOMAINS),
        slots: 3,
        cold_ms: 0,
    }
}

/// Starts all processes, then lets all targets report within two seconds.
fn started_world() -> World {
    let mut world = world_with_domains(CONTROLS as u8, 111, DOMAINS, 1);
    world.set_items(1);
    world.run(SECOND);
    for number in 0..TARGETS {
        let ready = target_report(number, 1, Stage::Ready, 1);
        world.report(number % CONTROLS, &ready);
        if number % 6 == 0 {
            world.run(SECOND / 50);
        }
    }
    world.run(3 * SECOND);
    world
}

/// Drains thirty targets a second, each of which is replaced by a new one.
fn replace_targets(world: &mut World) {
    for number in 0..90 {
        let draining = target_report(number, 1, Stage::Draining, 2);
        world.report((number + 5) % CONTROLS, &draining);
        let successor = target_report(number, 2, Stage::Ready, 1);
        world.report((number + 2) % CONTROLS, &successor);
        world.run(SECOND / 30);
    }
}

/// Shuts down six entry VMs a second.
fn stop_entries(world: &mut World) {
    for entry in world.with_role(Role::Entry).into_iter().take(24) {
        world.set_stage(entry, pimento_fleet::Stage::Stopping);
        world.run(SECOND / 12);
        world.set_stage(entry, pimento_fleet::Stage::Gone);
        world.processes[entry].alive = false;
        world.run(SECOND / 12);
    }
}

#[test]
fn traffic_uses_small_share_of_links() {
    let mut world = started_world();
    let startup = world.busiest_second(Role::Entry);
    assert!(startup < LINK_BYTES_PER_SECOND / 2, "startup: {startup}");
    let targets = world.processes[CONTROLS].fleet.view().targets;
    assert_eq!(targets.all().len(), TARGETS);

    world.traffic.clear();
    world.run(2 * SECOND);
    let idle = world.busiest_second(Role::Entry);
    assert!(idle < LINK_BYTES_PER_SECOND / 100, "idle: {idle}");

    world.traffic.clear();
    replace_targets(&mut world);
    let churn = world.busiest_second(Role::Entry);
    assert!(
        churn < LINK_BYTES_PER_SECOND / 10,
        "targets replaced: {churn}"
    );

    world.traffic.clear();
    stop_entries(&mut world);
    let shutdowns = world.busiest_second(Role::Entry);
    assert!(
        shutdowns < LINK_BYTES_PER_SECOND / 10,
        "entry VMs stopped: {shutdowns}"
    );
}
