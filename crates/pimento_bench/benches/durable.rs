//! The durable bench: the replicated log under faults, its commit rate on a
//! disk, leader takeover, and replica catch-up. See `docs/design/consensus.md`.

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

/// Time limit for an accepted change to take effect everywhere; it also bounds
/// elections and catch-up in the control group.
const CHANGE_DEADLINE: Duration = Duration::from_secs(13);

/// Benchmarks the replicated log; exits with an error if a bound is exceeded.
#[derive(Debug, Parser)]
struct Args {
    /// The parts to run; all parts if none is given.
    parts: Vec<Part>,
    /// Runs fewer schedules, commits and groups, for CI.
    #[arg(long)]
    short: bool,
    /// The first schedule seed; later schedules use the seeds that follow.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Number of schedules, overriding the default.
    #[arg(long)]
    seeds: Option<u64>,
    /// Accepted and ignored, since cargo passes it.
    #[arg(long, hide = true)]
    bench: bool,
}

/// A part of the bench.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Part {
    /// Seeded random fault schedules.
    Schedules,
    /// Commits per second on this disk.
    Commits,
    /// Time without commits after the leader is lost.
    Takeover,
    /// Bytes that a replica fetches after missing 1,000 changes.
    Catchup,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let is_selected = |part| args.parts.is_empty() || args.parts.contains(&part);
    if is_selected(Part::Schedules) {
        schedules::run(args.seed, args.seeds, args.short)?;
    }
    if is_selected(Part::Commits) {
        commits::run(args.short)?;
    }
    if is_selected(Part::Takeover) {
        takeover::run(args.short)?;
    }
    if is_selected(Part::Catchup) {
        catchup::run()?;
    }
    Ok(())
}
