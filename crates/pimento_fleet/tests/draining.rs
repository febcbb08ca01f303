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

// An entry VM whose heartbeats are lost counts as dead, but serves and can be told.
#[test]
fn drain_reaches_vm_with_full_uplink() {
    for control in 0..6 {
        let mut world = settled_world(1);
        let silent = world.with_role(Role::Entry)[0];
        world.processes[silent].mute = true;
        world.run(3 * SECOND);
        world.report(control, &target("t", Stage::Draining, 2));
        world.run(SECOND);
        assert_eq!(entries_with(&world), 0, "control VM {control}");
    }
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

/// Repeats a target's last report until a control VM acknowledges it, and checks
/// that no entry VM sends requests to the target afterwards.
fn assert_binds(world: &mut World, control: usize, report: impl Fn(&mut World) -> Option<u64>) {
    const RETRY_INTERVAL: Duration = Duration::from_millis(100);
    let acknowledged = (0..40).any(|_| {
        let Some(update_id) = report(world) else {
            return true;
        };
        world.run_until(RETRY_INTERVAL, |w| {
            w.processes[control].confirmed.contains(&update_id)
        })
    });
    assert!(acknowledged);
    assert_eq!(entries_with(world), 0);
    world.run(3 * SECOND);
    assert_eq!(entries_with(world), 0);
}

// A control VM that had just started acknowledged that a target it didn't know leaves or
// drains, and no entry VM heard of it.
#[test]
fn leave_after_restart_of_all_controls() {
    for delay_ms in [0, 20, 100, 300, 800] {
        for stage in [Stage::Draining, Stage::Gone] {
            let mut world = settled_world(delay_ms);
            for i in world.with_role(Role::Control) {
                world.restart(i);
            }
            world.run(Duration::from_millis(delay_ms));
            assert_binds(&mut world, 2, |w| match stage {
                Stage::Gone => w.end(2, "t", Some(1)),
                _ => w.report(2, &target("t", stage, 2)),
            });
        }
    }
}

// The same for a control VM that was frozen: all entry VMs look dead to it. The other
// control VMs can't help, since they are cut off from the entry VMs.
#[test]
fn leave_at_frozen_control() {
    for stage in [Stage::Draining, Stage::Gone] {
        let mut world = settled_world(1);
        world.processes[2].frozen = true;
        world.run(5 * SECOND);
        for i in world.with_role(Role::Control) {
            world.processes[i].cut_from = (i != 2).then_some(Role::Entry);
        }
        world.processes[2].frozen = false;
        assert_binds(&mut world, 2, |w| match stage {
            Stage::Gone => w.end(2, "t", Some(1)),
            _ => w.report(2, &target("t", stage, 2)),
        });
    }
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
