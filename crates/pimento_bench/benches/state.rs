//! The state bench: release notes at the design size, memory and speed of the
//! ledger, and random schedules of claims. See `docs/design/notes.md` and
//! `docs/design/ledger.md`.

#[path = "state/claims.rs"]
mod claims;
#[path = "state/memory.rs"]
mod memory;
#[path = "state/notes.rs"]
mod notes;
#[path = "../../pimento_ledger/tests/world/mod.rs"]
mod world;

use clap::{Parser, ValueEnum};

/// Number of schedules in a full run.
const FULL_SCHEDULES: u64 = 10_000;

/// Number of schedules with `--short`.
const SHORT_SCHEDULES: u64 = 1_000;

/// Benchmarks notes and the ledger; exits with an error if a bound is exceeded.
#[derive(Debug, Parser)]
struct Args {
    /// The parts to run; all parts if none is given.
    parts: Vec<Part>,
    /// Runs smaller sizes, for CI.
    #[arg(long)]
    short: bool,
    /// The first schedule seed; later schedules use the seeds that follow.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Accepted and ignored, since cargo passes it.
    #[arg(long, hide = true)]
    bench: bool,
}

/// A part of the bench.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Part {
    /// Release notes with as many blocks as the design size.
    Notes,
    /// Claims with stored answers.
    Claims,
    /// Seeded random schedules of claims.
    Schedules,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let is_selected = |part| args.parts.is_empty() || args.parts.contains(&part);
    // Claims run first: memory that the notes free but the allocator retains
    // would hide what the claims use.
    if is_selected(Part::Claims) {
        claims::run(args.short)?;
    }
    if is_selected(Part::Notes) {
        notes::run(args.short)?;
    }
    if is_selected(Part::Schedules) {
        let count = if args.short {
            SHORT_SCHEDULES
        } else {
            FULL_SCHEDULES
        };
        let totals = (args.seed..args.seed + count).map(world::run_schedule);
        let (runs, cancelled) = totals.fold((0, 0), |(runs, cancelled), schedule| {
            (runs + schedule.runs, cancelled + schedule.cancelled)
        });
        println!(
            "schedules: {count} from seed {}; {runs} keys ran, none of them twice; {cancelled} cancelled",
            args.seed
        );
    }
    Ok(())
}
