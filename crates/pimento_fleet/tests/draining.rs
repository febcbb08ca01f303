//! A drain must be acknowledged only after every reachable VM has received it.

mod world;

use pimento_fleet::Role;
use pimento_registry::Stage;
use std::time::Duration;
use world::{World, target, world};

const SECOND: Duration = Duration::from_secs(1);

/// A stable world in which all processes know the target `t`.
fn settled_world(seed: u64) -> World {
    let mut world = world(6, 8, seed);
    world.set_items(1);
    world.run(3 * SECOND);
    world.report(0, &target("t", Stage::Ready, 1));
    world.run(SECOND);
    assert!(entries_with(&world) == 8, "seed {seed}");
    world
}

/// The number of entry VMs that would send requests to the target.
fn entries_with(world: &World) -> usize {
    let entries = world.with_role(Role::Entry);
    let knows_target = |i: &&usize| {
        let process = &world.processes[**i];
        process.alive && process.fleet.view().target("t").is_some()
    };
    entries.iter().filter(knows_target).count()
}

#[test]
fn drain_reaches_all_entries() {
    for seed in 0..100 {
        let mut world = settled_world(seed);
        world.loss = 0.05;
        let update_id = world.report(4, &target("t", Stage::Draining, 2)).unwrap();
        let confirmed = world.run_until(SECOND, |w| w.processes[4].confirmed.contains(&update_id));
        assert!(confirmed, "seed {seed}");
        assert_eq!(entries_with(&world), 0, "seed {seed}");
    }
}

#[test]
fn minority_never_acknowledges() {
    let mut world = settled_world(1);
    // One control VM and all entry VMs are cut off from the other control VMs.
    for i in 1..6 {
        world.processes[i].partition = 1;
    }
    let update_id = world.report(0, &target("t", Stage::Draining, 2)).unwrap();
    world.run(5 * SECOND);
    assert!(!world.processes[0].confirmed.contains(&update_id));
}

#[test]
fn dead_entry_does_not_block_drain() {
    let mut world = settled_world(1);
    let dead = world.with_role(Role::Entry)[0];
    world.processes[dead].alive = false;
    let update_id = world.report(0, &target("t", Stage::Draining, 2)).unwrap();
    let confirmed = world.run_until(3 * SECOND, |w| {
        w.processes[0].confirmed.contains(&update_id)
    });
    assert!(confirmed);
}

#[test]
fn drain_repeated_at_another_control() {
    let mut world = settled_world(1);
    let first = world.report(0, &target("t", Stage::Draining, 2));
    assert!(first.is_some());
    // The first control VM dies before the drain is confirmed; the target
    // reports to another one.
    world.processes[0].alive = false;
    world.run(SECOND);
    let next = world.report(3, &target("t", Stage::Draining, 3));
    if let Some(update_id) = next {
        let confirmed = world.run_until(SECOND, |w| w.processes[3].confirmed.contains(&update_id));
        assert!(confirmed);
    }
    assert_eq!(entries_with(&world), 0);
}

#[test]
fn late_ready_report_is_ignored() {
    let mut world = settled_world(1);
    world.report(0, &target("t", Stage::Draining, 2));
    world.run(SECOND);
    // An earlier report of the target that was delayed reaches another control
    // VM.
    world.report(2, &target("t", Stage::Ready, 1));
    world.run(2 * SECOND);
    assert_eq!(entries_with(&world), 0);
}

#[test]
fn drain_survives_control_restart() {
    let mut world = settled_world(1);
    world.report(0, &target("t", Stage::Draining, 2));
    world.run(SECOND);
    let entries = world.with_role(Role::Entry).len() as u8;
    // The new control processes have no state; entry VMs send them the drain.
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

/// Restarts all processes, one after the other.
fn restart_in_turn(world: &mut World) {
    for i in 0..world.processes.len() {
        world.restart(i);
        if world.processes[i].role == Role::Control {
            world.set_items_at(i, 1);
        }
        world.run(SECOND * 3 / 2);
    }
}

#[test]
fn left_target_stays_away_after_restarts() {
    for stage in [Stage::Draining, Stage::Gone] {
        let mut world = settled_world(1);
        world.report(0, &target("t", stage, 2));
        world.run(SECOND);
        restart_in_turn(&mut world);
        // A report of its earlier state was held up all the while.
        for control in world.with_role(Role::Control) {
            world.report(control, &target("t", Stage::Ready, 1));
            world.run(SECOND);
        }
        assert_eq!(entries_with(&world), 0, "{stage:?}");
    }
}

/// A draining target keeps sending reports, to any control VM. They must not be
/// broadcast to all VMs each time.
#[test]
fn drain_is_broadcast_once() {
    let mut world = settled_world(1);
    let update_id = world.report(0, &target("t", Stage::Draining, 2)).unwrap();
    assert!(world.run_until(SECOND, |w| w.processes[0].confirmed.contains(&update_id)));
    world.run(SECOND / 10);
    for i in world.with_role(Role::Control) {
        let seq = 3 + i as u64;
        assert_eq!(world.report(i, &target("t", Stage::Draining, seq)), None);
    }
}
