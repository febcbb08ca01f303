//! Random schedules of resends, frees, expired deadlines, restarted holders, late
//! duplicates and restores. The request of each key must run at most once, and
//! no cap may be exceeded.

mod world;

use world::run_schedule;

/// Number of seeds that every run of the tests covers.
const FIXED_SEEDS: u64 = 400;

#[test]
fn fixed_seeds_uphold_the_invariants() {
    // The schedules only test the ledger if requests run and are cancelled.
    let mut runs = 0;
    let mut cancelled = 0;
    for seed in 0..FIXED_SEEDS {
        let totals = run_schedule(seed);
        runs += totals.runs;
        cancelled += totals.cancelled;
    }
    assert!(runs > 2 * FIXED_SEEDS as u32, "only {runs} requests ran");
    assert!(
        cancelled > FIXED_SEEDS as usize / 4,
        "only {cancelled} requests were cancelled"
    );
}

#[test]
fn random_seeds_uphold_the_invariants() {
    let fuzz = bolero::check!().with_type::<u64>();
    fuzz.with_iterations(100).for_each(|seed| {
        run_schedule(*seed);
    });
}
