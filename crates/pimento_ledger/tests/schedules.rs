//! Random schedules of resends, frees, deadlines, dead holders, late
//! duplicates and restores: a key runs at most once, and no cap is passed.

mod world;

use world::run_schedule;

/// Schedules in the fixed set.
const SEEDS: u64 = 400;

#[test]
fn fixed_seeds() {
    // The schedules are worth something only if they reach what they are for.
    let mut runs = 0;
    let mut cancelled = 0;
    for seed in 0..SEEDS {
        let reached = run_schedule(seed);
        runs += reached.runs;
        cancelled += reached.cancelled;
    }
    assert!(runs > 2 * SEEDS as u32, "only {runs} runs");
    assert!(cancelled > SEEDS as usize / 4, "only {cancelled} cancelled");
}

#[test]
fn any_seed() {
    let check = bolero::check!().with_type::<u64>();
    check.with_iterations(100).for_each(|seed| {
        run_schedule(*seed);
    });
}
