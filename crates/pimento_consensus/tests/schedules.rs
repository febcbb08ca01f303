//! Seeded fault schedules; `sim/oracle.rs` checks the invariants.

mod sim;

use sim::Sim;

/// The number of fixed seeds; the bench runs 10,000 and more.
const FIXED_SEEDS: u64 = 600;
/// The number of fixed seeds with disks whose writes fail.
const FAILING_DISK_SEEDS: u64 = 200;
/// The number of fixed seeds of groups whose replicas join by themselves.
const DYNAMIC_SEEDS: u64 = 100;

#[test]
fn fixed_seeds() {
    for seed in 0..FIXED_SEEDS {
        // Printed only if the schedule fails; `Sim::run_schedule(seed)` replays it.
        print!("\rseed {seed}");
        let sim = Sim::run_schedule(seed);
        assert!(sim.oracle.elections > 0);
    }
}

// A replica whose write had failed never took part again.
#[test]
fn failing_disks() {
    for seed in 0..FAILING_DISK_SEEDS {
        print!("\rseed {seed}");
        let sim = Sim::run_failing_disks(seed);
        assert!(sim.oracle.elections > 0);
    }
}

#[test]
fn dynamic_groups() {
    for seed in 0..DYNAMIC_SEEDS {
        print!("\rseed {seed}");
        let sim = Sim::run_group_schedule(seed);
        assert!(sim.oracle.elections > 0);
    }
}

#[test]
fn random_seeds() {
    bolero::check!()
        .with_iterations(50)
        .with_type::<u64>()
        .cloned()
        .for_each(|seed| {
            Sim::run_schedule(seed);
        });
}
