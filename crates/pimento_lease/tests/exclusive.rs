//! Two entry VMs never hold one target at once, and one soon does.

mod common;
mod world;

use world::{Chaos, Fault, World};

/// The real time of one schedule, in milliseconds.
const RUN: u64 = 40_000;

fn overlaps(seed: u64, fault: Fault) -> u64 {
    let vms = 2 + (seed / 2 % 3) as usize;
    let mut world = World::new(vms, Chaos::FULL, fault, seed);
    world.run(RUN);
    world.overlaps
}

#[test]
fn one_holder() {
    let input = bolero::check!().with_iterations(1_500).with_type::<u64>();
    input.cloned().for_each(|seed| {
        assert_eq!(overlaps(seed, Fault::None), 0, "seed {seed}");
    });
}

#[test]
fn slight_drift() {
    for seed in 0..50 {
        let chaos = Chaos {
            drift: 2,
            ..Chaos::FULL
        };
        let mut world = World::new(3, chaos, Fault::None, seed);
        world.run(RUN);
        assert_eq!(world.overlaps, 0, "seed {seed}");
    }
}

/// The schedules out of some that show a faulty rule.
fn caught(fault: Fault) -> usize {
    let seeds = 0..60;
    seeds.filter(|seed| overlaps(*seed, fault) > 0).count()
}

#[test]
fn catches_no_wait() {
    let n = caught(Fault::NoWait);
    eprintln!("caught in {n} of 60 schedules");
    assert!(n > 0);
}

#[test]
fn catches_receipt() {
    let n = caught(Fault::FromReceipt);
    eprintln!("caught in {n} of 60 schedules");
    assert!(n > 0);
}

#[test]
fn catches_old_epoch() {
    let n = caught(Fault::OldEpoch);
    eprintln!("caught in {n} of 60 schedules");
    assert!(n > 0);
}

#[test]
fn served_at_all() {
    let served = (0..20).map(|seed| {
        let mut world = World::new(3, Chaos::FULL, Fault::None, seed);
        world.run(RUN);
        world.served
    });
    // The invariant would hold as well if nobody ever held a lease.
    assert!(
        served.sum::<u64>() > 20 * RUN / 5 / 10,
        "a tenth of the time"
    );
}

#[test]
fn soon_held() {
    for seed in 0..100 {
        let mut world = World::new(3, Chaos::FULL, Fault::None, seed);
        world.run(20_000);
        world.calm();
        // Messages that were held back arrive in the first 5 s; then come a
        // lost holder's timeouts and one lengthened term of 2 s.
        world.run(5_000 + 2_000 + 3_000);
        assert!(world.is_served(), "seed {seed}");
    }
}

#[test]
fn no_flapping() {
    for seed in 0..20 {
        let mut world = World::new(4, Chaos::NONE, Fault::None, seed);
        for _ in 0..300 {
            world.disagree();
            world.run(100);
        }
        assert_eq!(world.changes, 0, "seed {seed}");
        assert!(world.is_served(), "seed {seed}");
    }
}
