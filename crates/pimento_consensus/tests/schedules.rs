//! Seeded schedules of faults; the invariants are in `sim/oracle.rs`.

mod sim;

use sim::Sim;

/// The schedules of the fixed set; the bench runs 10,000 and more.
const FIXED: u64 = 600;

#[test]
fn fixed_schedules() {
    for seed in 0..FIXED {
        // Printed only if the schedule fails; `Sim::run_schedule(seed)` replays it.
        print!("\rseed {seed}");
        let sim = Sim::run_schedule(seed);
        assert!(sim.oracle.elections > 0);
    }
}

#[test]
fn random_schedules() {
    bolero::check!()
        .with_iterations(50)
        .with_type::<u64>()
        .cloned()
        .for_each(|seed| {
            Sim::run_schedule(seed);
        });
}
