//! One VM grants the places of a target, and another one when it is lost.

mod world;

use pimento_broker::RequestOutcome;
use pimento_fleet::{PermitDecision, RefusalReason, RequestReport, Role};
use pimento_registry::Stage;
use std::time::Duration;
use world::{World, target, world};

const SECOND: Duration = Duration::from_secs(1);

fn settled(seed: u64) -> World {
    let mut world = world(3, 8, seed);
    world.set_items(1);
    world.run(3 * SECOND);
    world.report(0, &target("t", Stage::Ready, 1));
    world.run(SECOND);
    world
}

fn grants(world: &World) -> usize {
    let verdicts = world.processes.iter().flat_map(|p| &p.verdicts);
    verdicts
        .filter(|(_, v)| matches!(v, PermitDecision::Grant(_)))
        .count()
}

const fn answered() -> RequestReport {
    RequestReport {
        outcome: RequestOutcome::Answered,
        took: Duration::from_millis(50),
        load: None,
        cold: None,
    }
}

#[test]
fn slots_counted_once() {
    for seed in 0..50 {
        let mut world = settled(seed);
        world.loss = 0.05;
        for i in world.of(Role::Entry) {
            world.ask(i, i as u64);
        }
        world.run(SECOND / 10);
        assert!(
            grants(&world) <= 3,
            "seed {seed}: a target with three slots"
        );
        world.run(SECOND);
        assert_eq!(grants(&world), 3, "seed {seed}");
    }
}

#[test]
fn places_come_back() {
    for seed in 0..50 {
        let mut world = settled(seed);
        world.loss = 0.02;
        let entries = world.of(Role::Entry);
        for round in 0..20 {
            for i in &entries {
                let serial = round * 100 + *i as u64;
                world.ask(*i, serial);
                world.until(SECOND, |w| w.verdict(*i, serial).is_some());
                if matches!(world.verdict(*i, serial), Some(PermitDecision::Grant(_))) {
                    world.done(*i, serial, &answered());
                }
            }
        }
        assert!(grants(&world) > 100, "seed {seed}: {}", grants(&world));
    }
}

#[test]
fn granter_lost() {
    for seed in 0..20 {
        let mut world = settled(seed);
        let entries = world.of(Role::Entry);
        // The granter is one of the domain's four; two of them fall silent.
        world.processes[entries[0]].alive = false;
        world.processes[entries[2]].alive = false;
        let asking = entries[1];
        let mut tries = 0;
        let served = (0..4).any(|serial| {
            tries += 1;
            world.ask(asking, serial);
            world.until(SECOND, |w| w.verdict(asking, serial).is_some());
            matches!(
                world.verdict(asking, serial),
                Some(PermitDecision::Grant(_))
            )
        });
        assert!(served, "seed {seed}");
        assert!(tries <= 3, "seed {seed}: the lost ones are left out");
    }
}

#[test]
fn unreachable_told() {
    let mut world = settled(1);
    let entries = world.of(Role::Entry);
    let asking = entries[1];
    for i in &entries {
        world.processes[*i].alive = *i == asking;
    }
    world.ask(asking, 1);
    let before = world.now;
    world.until(SECOND, |w| w.verdict(asking, 1).is_some());
    let verdict = world.verdict(asking, 1);
    let expected = PermitDecision::Refuse(RefusalReason::Unreachable);
    assert_eq!(verdict, Some(&expected));
    assert!(world.now.since(before) < SECOND / 2);
}

#[test]
fn caller_gone() {
    let mut world = settled(1);
    let entries = world.of(Role::Entry);
    for i in &entries[..3] {
        world.ask(*i, 1);
    }
    world.run(SECOND / 5);
    let cancelled = RequestReport {
        outcome: RequestOutcome::Cancelled,
        ..answered()
    };
    for i in &entries[..3] {
        world.done(*i, 1, &cancelled);
    }
    world.run(SECOND / 5);
    world.ask(entries[4], 1);
    world.run(SECOND / 5);
    assert!(matches!(
        world.verdict(entries[4], 1),
        Some(PermitDecision::Grant(_))
    ));
}

#[test]
fn starting_granter_declines() {
    let mut world = settled(1);
    let entries = world.of(Role::Entry);
    // All VMs of the domain but the asking one have just started anew, and no
    // control VM tells.
    for i in world.of(Role::Control) {
        world.processes[i].alive = false;
    }
    let asking = entries[1];
    let others: Vec<_> = entries.iter().filter(|i| **i != asking).collect();
    for i in others {
        world.stage(*i, pimento_fleet::Stage::Starting);
    }
    let before = world.now;
    let served = (0..8).any(|serial| {
        world.ask(asking, serial);
        world.until(SECOND, |w| w.verdict(asking, serial).is_some());
        matches!(
            world.verdict(asking, serial),
            Some(PermitDecision::Grant(_))
        )
    });
    assert!(served);
    assert!(world.now.since(before) < SECOND / 3);
}

#[test]
fn pending_asks_follow() {
    // Ten asks to a lost VM: all go elsewhere once the first is given up.
    let mut world = settled(1);
    let entries = world.of(Role::Entry);
    let asking = entries[1];
    for i in &entries {
        world.processes[*i].alive = *i == asking;
    }
    for serial in 0..10 {
        world.ask(asking, serial);
        world.run(SECOND / 50);
    }
    world.run(SECOND / 10);
    let decided = (0..10).filter(|s| world.verdict(asking, *s).is_some());
    assert_eq!(decided.count(), 10);
}

#[test]
fn late_answers_are_not_lost() {
    // The asking VM's link is full: answers take 160 ms for a while.
    let mut world = settled(1);
    let entries = world.of(Role::Entry);
    let asking = entries[1];
    let mut suspected = 0;
    for serial in 0..60 {
        // The delay grows as a queue does.
        world.delay = Duration::from_millis((4 * serial).min(160));
        world.ask(asking, serial);
        world.run(SECOND / 20);
        if serial >= 10 {
            world.done(asking, serial - 10, &answered());
        }
        suspected += std::mem::take(&mut world.suspected);
    }
    world.run(SECOND);
    assert_eq!(suspected + world.suspected, 0);
}
