//! One VM, the shard owner, grants the permits of a shard, and another one
//! replaces it when it dies.

mod world;

use pimento_broker::RequestOutcome;
use pimento_fleet::{PermitDecision, RefusalReason, RequestReport, Role};
use pimento_notices::TargetNotice;
use pimento_registry::Stage;
use std::time::Duration;
use world::{World, target, world};

const SECOND: Duration = Duration::from_secs(1);

fn settled_world(seed: u64) -> World {
    let mut world = world(3, 8, seed);
    world.set_items(1);
    world.run(3 * SECOND);
    world.report(0, &target("t", Stage::Ready, 1));
    world.run(SECOND);
    world
}

fn grant_count(world: &World) -> usize {
    let decisions = world.processes.iter().flat_map(|p| &p.decisions);
    decisions
        .filter(|(_, d)| matches!(d, PermitDecision::Grant(_)))
        .count()
}

const fn answered_report() -> RequestReport {
    RequestReport {
        outcome: RequestOutcome::Answered,
        took: Duration::from_millis(50),
        load: None,
        cold: None,
        notice: TargetNotice::NONE,
    }
}

#[test]
fn slots_are_never_overcommitted() {
    for seed in 0..50 {
        let mut world = settled_world(seed);
        world.loss = 0.05;
        for i in world.with_role(Role::Entry) {
            world.request_permit(i, i as u64);
        }
        world.run(SECOND / 10);
        assert!(
            grant_count(&world) <= 3,
            "seed {seed}: a target with three slots"
        );
        world.run(SECOND);
        assert_eq!(grant_count(&world), 3, "seed {seed}");
    }
}

#[test]
fn permits_are_released() {
    for seed in 0..50 {
        let mut world = settled_world(seed);
        world.loss = 0.02;
        let entries = world.with_role(Role::Entry);
        for round in 0..20 {
            for i in &entries {
                let serial = round * 100 + *i as u64;
                world.request_permit(*i, serial);
                world.run_until(SECOND, |w| w.decision(*i, serial).is_some());
                if matches!(world.decision(*i, serial), Some(PermitDecision::Grant(_))) {
                    world.release_permit(*i, serial, &answered_report());
                }
            }
        }
        assert!(
            grant_count(&world) > 100,
            "seed {seed}: {}",
            grant_count(&world)
        );
    }
}

#[test]
fn next_owner_replaces_dead_one() {
    for seed in 0..20 {
        let mut world = settled_world(seed);
        let entries = world.with_role(Role::Entry);
        // The shard owner is one of four VMs in the domain; two of them die.
        world.processes[entries[0]].alive = false;
        world.processes[entries[2]].alive = false;
        let requester = entries[1];
        let mut attempts = 0;
        let served = (0..4).any(|serial| {
            attempts += 1;
            world.request_permit(requester, serial);
            world.run_until(SECOND, |w| w.decision(requester, serial).is_some());
            matches!(
                world.decision(requester, serial),
                Some(PermitDecision::Grant(_))
            )
        });
        assert!(served, "seed {seed}");
        assert!(attempts <= 3, "seed {seed}: the dead VMs must be excluded");
    }
}

#[test]
fn unreachable_owner_is_reported() {
    let mut world = settled_world(1);
    let entries = world.with_role(Role::Entry);
    let requester = entries[1];
    for i in &entries {
        world.processes[*i].alive = *i == requester;
    }
    world.request_permit(requester, 1);
    let before = world.now;
    world.run_until(SECOND, |w| w.decision(requester, 1).is_some());
    let decision = world.decision(requester, 1);
    let expected = PermitDecision::Refuse(RefusalReason::Unreachable);
    assert_eq!(decision, Some(&expected));
    assert!(world.now.since(before) < SECOND / 2);
}

#[test]
fn withdrawn_requests_free_slots() {
    let mut world = settled_world(1);
    let entries = world.with_role(Role::Entry);
    for i in &entries[..3] {
        world.request_permit(*i, 1);
    }
    world.run(SECOND / 5);
    let cancelled = RequestReport {
        outcome: RequestOutcome::Cancelled,
        ..answered_report()
    };
    for i in &entries[..3] {
        world.release_permit(*i, 1, &cancelled);
    }
    world.run(SECOND / 5);
    world.request_permit(entries[4], 1);
    world.run(SECOND / 5);
    assert!(matches!(
        world.decision(entries[4], 1),
        Some(PermitDecision::Grant(_))
    ));
}

#[test]
fn starting_owner_declines() {
    let mut world = settled_world(1);
    let entries = world.with_role(Role::Entry);
    // All VMs of the domain except the requester have just restarted, and no
    // control VM is alive to announce it.
    for i in world.with_role(Role::Control) {
        world.processes[i].alive = false;
    }
    let requester = entries[1];
    let others: Vec<_> = entries.iter().filter(|i| **i != requester).collect();
    for i in others {
        world.set_stage(*i, pimento_fleet::Stage::Starting);
    }
    let before = world.now;
    let served = (0..8).any(|serial| {
        world.request_permit(requester, serial);
        world.run_until(SECOND, |w| w.decision(requester, serial).is_some());
        matches!(
            world.decision(requester, serial),
            Some(PermitDecision::Grant(_))
        )
    });
    assert!(served);
    assert!(world.now.since(before) < SECOND / 3);
}

#[test]
fn pending_requests_are_abandoned_together() {
    // Ten requests to a dead VM: all are abandoned as soon as the first one is.
    let mut world = settled_world(1);
    let entries = world.with_role(Role::Entry);
    let requester = entries[1];
    for i in &entries {
        world.processes[*i].alive = *i == requester;
    }
    for serial in 0..10 {
        world.request_permit(requester, serial);
        world.run(SECOND / 50);
    }
    world.run(SECOND / 10);
    let decided = (0..10).filter(|s| world.decision(requester, *s).is_some());
    assert_eq!(decided.count(), 10);
}

#[test]
fn queued_request_outlives_owner() {
    let mut world = settled_world(1);
    let entries = world.with_role(Role::Entry);
    let requester = entries[1];
    // The target has three slots, so the fourth request is queued.
    for serial in 0..4 {
        world.request_permit(requester, serial);
    }
    world.run(SECOND / 20);
    assert_eq!(world.decision(requester, 3), None);
    for i in &entries {
        world.processes[*i].alive = *i == requester;
    }
    world.run(SECOND * 9 / 10);
    assert!(world.decision(requester, 3).is_some());
}

#[test]
fn late_answers_cause_no_suspicion() {
    // The link of the requesting VM is saturated: answers take 160 ms for a
    // while.
    let mut world = settled_world(1);
    let entries = world.with_role(Role::Entry);
    let requester = entries[1];
    let mut suspected = 0;
    for serial in 0..60 {
        // The delay grows like that of a filling queue.
        world.delay = Duration::from_millis((4 * serial).min(160));
        world.request_permit(requester, serial);
        world.run(SECOND / 20);
        if serial >= 10 {
            world.release_permit(requester, serial - 10, &answered_report());
        }
        suspected += std::mem::take(&mut world.suspected);
    }
    world.run(SECOND);
    assert_eq!(suspected + world.suspected, 0);
}
