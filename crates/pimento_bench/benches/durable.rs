//! The durable bench: the replicated log under faults, its speed on a disk,
//! takeover and catch-up. See `docs/design/consensus.md`.

#[path = "durable/catchup.rs"]
mod catchup;
#[path = "durable/commits.rs"]
mod commits;
#[path = "durable/schedules.rs"]
mod schedules;
#[path = "../../pimento_consensus/tests/sim/mod.rs"]
mod sim;
#[path = "durable/takeover.rs"]
mod takeover;

use clap::{Parser, ValueEnum};
use std::time::Duration;

/// The time within which an accepted change is in force everywhere; what the
/// control group does is bounded by it.
const TARGET: Duration = Duration::from_secs(13);

/// Measures the replicated log; exits with an error if a bound is broken.
#[derive(Debug, Parser)]
struct Args {
    /// The parts to run; all of them if none is named.
    parts: Vec<Part>,
    /// The short form for CI.
    #[arg(long)]
    short: bool,
    /// The first seed of the schedules.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// The number of schedules.
    #[arg(long)]
    seeds: Option<u64>,
    /// Passed by cargo.
    #[arg(long, hide = true)]
    bench: bool,
}

/// A part of the bench.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Part {
    /// Seeded schedules of faults.
    Schedules,
    /// Commits a second on this disk.
    Commits,
    /// The time without a leader.
    Takeover,
    /// What a replica fetches after 1,000 changes.
    Catchup,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let runs = |part| args.parts.is_empty() || args.parts.contains(&part);
    if runs(Part::Schedules) {
        schedules::run(args.seed, args.seeds, args.short)?;
    }
    if runs(Part::Commits) {
        commits::run(args.short)?;
    }
    if runs(Part::Takeover) {
        takeover::run(args.short)?;
    }
    if runs(Part::Catchup) {
        catchup::run()?;
    }
    Ok(())
}
