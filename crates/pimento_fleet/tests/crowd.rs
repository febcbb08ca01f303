//! What the processes of a large installation tell each other stays a small
//! part of their links: 111 entry VMs with links of 1.4 Mbit/s, 9 control VMs
//! and 564 targets.

mod world;

use pimento_fleet::Role;
use pimento_registry::{Stage, Target};
use std::time::Duration;
use world::{World, crowd};

const SECOND: Duration = Duration::from_secs(1);
const DOMAINS: usize = 9;
const CONTROLS: usize = 9;
const TARGETS: usize = 564;

/// What the link of an entry VM carries, in bytes a second.
const LINK: usize = 175_000;

fn reported(number: usize, incarnation: u64, stage: Stage, seq: u64) -> Target {
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

/// All processes start and all targets report within two seconds.
fn started() -> World {
    let mut world = crowd(CONTROLS as u8, 111, DOMAINS, 1);
    world.set_items(1);
    world.run(SECOND);
    for number in 0..TARGETS {
        let ready = reported(number, 1, Stage::Ready, 1);
        world.report(number % CONTROLS, &ready);
        if number % 6 == 0 {
            world.run(SECOND / 50);
        }
    }
    world.run(3 * SECOND);
    world
}

/// Thirty targets a second drain and others take their place.
fn replace_targets(world: &mut World) {
    for number in 0..90 {
        let draining = reported(number, 1, Stage::Draining, 2);
        world.report((number + 5) % CONTROLS, &draining);
        let successor = reported(number, 2, Stage::Ready, 1);
        world.report((number + 2) % CONTROLS, &successor);
        world.run(SECOND / 30);
    }
}

/// Six entry VMs a second stop as planned.
fn stop_entries(world: &mut World) {
    for entry in world.of(Role::Entry).into_iter().take(24) {
        world.stage(entry, pimento_fleet::Stage::Stopping);
        world.run(SECOND / 12);
        world.stage(entry, pimento_fleet::Stage::Gone);
        world.processes[entry].alive = false;
        world.run(SECOND / 12);
    }
}

#[test]
fn small_part_of_links() {
    let mut world = started();
    let start = world.busiest_second(Role::Entry);
    assert!(start < LINK / 2, "start: {start}");
    let targets = world.processes[CONTROLS].fleet.view().targets;
    assert_eq!(targets.all().len(), TARGETS);

    world.traffic.clear();
    world.run(2 * SECOND);
    let calm = world.busiest_second(Role::Entry);
    assert!(calm < LINK / 100, "calm: {calm}");

    world.traffic.clear();
    replace_targets(&mut world);
    let churn = world.busiest_second(Role::Entry);
    assert!(churn < LINK / 10, "targets replaced: {churn}");

    world.traffic.clear();
    stop_entries(&mut world);
    let stops = world.busiest_second(Role::Entry);
    assert!(stops < LINK / 10, "entry VMs stopped: {stops}");
}
