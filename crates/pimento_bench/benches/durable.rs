//! The durable bench: long property schedules of the replicated log.

#[path = "../../pimento_consensus/tests/sim/mod.rs"]
mod sim;

use sim::Sim;

/// The seeds that run without another number.
const SEEDS: u64 = 10_000;

fn main() {
    let number = std::env::args().find_map(|arg| arg.parse().ok());
    let seeds: u64 = number.unwrap_or(SEEDS);
    let failed = |seed: &u64| std::panic::catch_unwind(|| Sim::schedule(*seed)).is_err();
    let failed: Vec<u64> = (0..seeds).filter(failed).collect();
    println!("{seeds} schedules, failed seeds: {failed:?}");
    assert!(failed.is_empty());
}
