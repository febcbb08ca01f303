//! A drain is acknowledged once every VM in reach knows of it.

mod world;

use pimento_fleet::Role;
use pimento_registry::Stage;
use std::time::Duration;
use world::{World, target, world};

const SECOND: Duration = Duration::from_secs(1);

/// A settled world in which all know a target.
fn settled(seed: u64) -> World {
    let mut world = world(6, 8, seed);
    world.set_items(1);
    world.run(3 * SECOND);
    world.report(0, &target("t", Stage::Ready, 1));
    world.run(SECOND);
    assert!(entries_with(&world) == 8, "seed {seed}");
    world
}

/// The entry VMs that would send requests to the target.
fn entries_with(world: &World) -> usize {
    let entries = world.of(Role::Entry);
    let has = |i: &&usize| {
        let process = &world.processes[**i];
        process.alive && process.fleet.view().target("t").is_some()
    };
    entries.iter().filter(has).count()
}

#[test]
fn known_everywhere() {
    for seed in 0..100 {
        let mut world = settled(seed);
        world.loss = 0.05;
        let update_id = world.report(4, &target("t", Stage::Draining, 2)).unwrap();
        let known = world.until(SECOND, |w| w.processes[4].known.contains(&update_id));
        assert!(known, "seed {seed}");
        assert_eq!(entries_with(&world), 0, "seed {seed}");
    }
}

#[test]
fn minority_never_acknowledges() {
    let mut world = settled(1);
    // A control VM is cut off with all entry VMs.
    for i in 1..6 {
        world.processes[i].side = 1;
    }
    let update_id = world.report(0, &target("t", Stage::Draining, 2)).unwrap();
    world.run(5 * SECOND);
    assert!(!world.processes[0].known.contains(&update_id));
}

#[test]
fn lost_entry_excused() {
    let mut world = settled(1);
    let lost = world.of(Role::Entry)[0];
    world.processes[lost].alive = false;
    let update_id = world.report(0, &target("t", Stage::Draining, 2)).unwrap();
    let known = world.until(3 * SECOND, |w| w.processes[0].known.contains(&update_id));
    assert!(known);
}

#[test]
fn asked_elsewhere() {
    let mut world = settled(1);
    let first = world.report(0, &target("t", Stage::Draining, 2));
    assert!(first.is_some());
    // The first control VM dies before it is known; the target asks the next.
    world.processes[0].alive = false;
    world.run(SECOND);
    let next = world.report(3, &target("t", Stage::Draining, 3));
    if let Some(update_id) = next {
        let known = world.until(SECOND, |w| w.processes[3].known.contains(&update_id));
        assert!(known);
    }
    assert_eq!(entries_with(&world), 0);
}

#[test]
fn restarted_entry_learns() {
    let mut world = settled(1);
    world.report(0, &target("t", Stage::Draining, 2));
    world.run(SECOND);
    // A late beat that was held up reaches another control VM.
    world.report(2, &target("t", Stage::Ready, 1));
    world.run(2 * SECOND);
    assert_eq!(entries_with(&world), 0);
}

#[test]
fn all_control_restarted() {
    let mut world = settled(1);
    world.report(0, &target("t", Stage::Draining, 2));
    world.run(SECOND);
    let entries = world.of(Role::Entry).len() as u8;
    // New control processes know nothing; entry VMs tell them of the drain.
    let fresh = world::world(6, entries, 9);
    for (i, process) in fresh.processes.into_iter().enumerate().take(6) {
        world.processes[i] = process;
    }
    world.set_items(1);
    world.run(3 * SECOND);
    world.report(3, &target("t", Stage::Ready, 1));
    world.run(2 * SECOND);
    assert_eq!(entries_with(&world), 0);
}

/// While it drains a target goes on reporting, to any control VM: it isn't told
/// to all VMs each time.
#[test]
fn spread_once() {
    let mut world = settled(1);
    let update_id = world.report(0, &target("t", Stage::Draining, 2)).unwrap();
    assert!(world.until(SECOND, |w| w.processes[0].known.contains(&update_id)));
    world.run(SECOND / 10);
    for i in world.of(Role::Control) {
        let seq = 3 + i as u64;
        assert_eq!(world.report(i, &target("t", Stage::Draining, seq)), None);
    }
}
