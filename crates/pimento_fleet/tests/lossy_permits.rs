//! Permit requests over a link that loses datagrams.

mod world;

use pimento_broker::RequestReport;
use pimento_fleet::Role;
use pimento_registry::Stage;
use std::time::Duration;
use world::{World, target, world};

const SECOND: Duration = Duration::from_secs(1);

/// The times until the decisions on permit requests while large responses fill
/// the links, so that this share of all datagrams is dropped; and how often a
/// live VM was suspected.
fn decision_times(seed: u64, loss: f64) -> (Vec<Duration>, usize) {
    let mut world = world(3, 8, seed);
    world.set_items(1);
    world.run(3 * SECOND);
    for i in 0..4 {
        world.report(0, &target(&format!("t{i}"), Stage::Ready, 1));
    }
    world.run(SECOND);
    world.loss = loss;
    let entries = world.with_role(Role::Entry);
    let suspected = world.suspected;
    let serials = 0..400;
    let times = serials.map(|serial| {
        let i = entries[serial as usize % entries.len()];
        decision_time(&mut world, i, serial)
    });
    let times = times.collect();
    (times, world.suspected - suspected)
}

fn decision_time(world: &mut World, i: usize, serial: u64) -> Duration {
    let started = world.now;
    world.request_permit(i, serial);
    world.run_until(2 * SECOND, |w| w.decision(i, serial).is_some());
    let took = world.now.since(started);
    world.release_permit(i, serial, &RequestReport::CANCELLED);
    took
}

// The round trip was timed from the first transmission, whichever was answered.
// So each lost datagram lengthened the timeout, up to half a second.
#[test]
fn loss_keeps_timeout_short() {
    for seed in 0..5 {
        let (mut times, _) = decision_times(seed, 0.2);
        times.sort();
        let tenth = times[times.len() * 9 / 10];
        assert!(tenth < SECOND / 4, "seed {seed}: {tenth:?}");
    }
}

// Two VMs that grant permits of the same targets use more slots than there are,
// and neither knows which keys the targets are warm for.
#[test]
fn loss_is_no_death() {
    for seed in 0..5 {
        let (times, suspected) = decision_times(seed, 0.15);
        assert!(
            suspected * 100 <= times.len(),
            "seed {seed}: {suspected} suspicions of live VMs"
        );
    }
}
