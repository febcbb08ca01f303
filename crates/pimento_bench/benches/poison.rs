//! The bench of poison requests: many seeded loads in which some requests crash each
//! target that runs them, beside others that must not be refused. See
//! `docs/design/poison.md`.

#[path = "../../pimento_poison/tests/load/mod.rs"]
mod load;

use anyhow::ensure;
use clap::Parser;
use load::{Counts, Load, MAX_LATE};

/// Number of loads in a full run without `--seeds`.
const FULL_LOADS: u64 = 2_000;
/// Number of loads with `--short`.
const SHORT_LOADS: u64 = 200;
/// The share of the requests that met crashes, but caused none, that may be refused.
const MAX_REFUSED_SHARE: f64 = 0.000_5;

/// Runs the loads; exits with an error if a bound is broken.
#[derive(Debug, Parser)]
struct Args {
    /// Runs fewer loads, for CI.
    #[arg(long)]
    short: bool,
    /// The first seed; later loads use the seeds that follow.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Number of loads, overriding the default.
    #[arg(long)]
    seeds: Option<u64>,
    /// Accepted and ignored, since cargo passes it.
    #[arg(long, hide = true)]
    bench: bool,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let default = if args.short { SHORT_LOADS } else { FULL_LOADS };
    let count = args.seeds.unwrap_or(default);
    let (mut total, mut late) = (Counts::default(), Vec::new());
    for seed in args.seed..args.seed + count {
        let counts = Load::run(seed);
        if counts.most_late > MAX_LATE || counts.refused > 0 {
            println!("seed {seed}: {counts:?}");
        }
        if counts.most_late > MAX_LATE {
            late.push(seed);
        }
        total.add(&counts);
    }
    println!("loads: {count} from seed {}; {total:?}", args.seed);
    ensure!(late.is_empty(), "sent too often: seeds {late:?}");
    let refused = f64::from(total.refused) / f64::from(total.met_crash.max(1));
    ensure!(
        refused <= MAX_REFUSED_SHARE,
        "a share of {refused} of others is refused"
    );
    Ok(())
}
