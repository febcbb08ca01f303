//! The state bench: release notes at the design size, the ledger's memory and
//! speed, and schedules of claims. See `docs/design/notes.md` and
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

/// Schedules in the long form.
const SCHEDULES: u64 = 10_000;

/// Schedules in the short form.
const SHORT_SCHEDULES: u64 = 1_000;

/// Measures notes and ledger; exits with an error if a bound is broken.
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
    /// Passed by cargo.
    #[arg(long, hide = true)]
    bench: bool,
}

/// A part of the bench.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Part {
    /// Notes with the blocks of the design size.
    Notes,
    /// Claims with their answers.
    Claims,
    /// Seeded schedules of claims.
    Schedules,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let runs = |part| args.parts.is_empty() || args.parts.contains(&part);
    // The claims go first: what the notes leave to the allocator would hide
    // the memory that they take.
    if runs(Part::Claims) {
        claims::run(args.short)?;
    }
    if runs(Part::Notes) {
        notes::run(args.short)?;
    }
    if runs(Part::Schedules) {
        let count = if args.short {
            SHORT_SCHEDULES
        } else {
            SCHEDULES
        };
        let reached = (args.seed..args.seed + count).map(world::run_schedule);
        let (runs, cancelled) = reached.fold((0, 0), |(runs, cancelled), one| {
            (runs + one.runs, cancelled + one.cancelled)
        });
        println!(
            "schedules: {count} from seed {}; {runs} keys ran, none twice; {cancelled} cancelled",
            args.seed
        );
    }
    Ok(())
}
