//! The scale bench: how the cost of membership grows with the number of VMs.
//!
//! It runs the membership core of every VM in one process in virtual time, and
//! fails if a bound of the design size is exceeded. The figures and the
//! decisions based on them are in `docs/design/members.md` and
//! `docs/CAPACITY.md`.

mod scale {
    pub mod dissemination;
    pub mod event;
    pub mod faults;
    pub mod layout;
    pub mod sim;
    pub mod steady;
}

use clap::Parser;
use scale::{dissemination, faults, layout::Layout, steady};

/// Benchmarks membership; exits with an error if a bound is exceeded.
#[derive(Parser)]
struct Args {
    /// Runs one small size and checks only counted bounds, not CPU and memory.
    #[arg(long)]
    short: bool,
    /// Runs only this number of nodes.
    #[arg(long)]
    nodes: Option<usize>,
    /// Seed of all random number generators.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Accepted and ignored, since cargo passes it.
    #[arg(long, hide = true)]
    bench: bool,
}

/// Numbers of nodes in a full run, from which the growth of the cost is read.
const SIZES: [usize; 4] = [100, 300, 600, 1_100];

/// Number of nodes with `--short`.
const SHORT_SIZE: usize = 192;

fn main() {
    let args = Args::parse();
    let mut broken = Vec::new();
    let sizes = match args.nodes {
        Some(nodes) => vec![nodes],
        None if args.short => vec![SHORT_SIZE],
        None => SIZES.to_vec(),
    };
    for size in &sizes {
        broken.extend(steady::run(Layout::new(*size), args.seed, args.short));
    }
    let largest = sizes.last().copied().unwrap_or(SHORT_SIZE);
    broken.extend(faults::run(Layout::new(largest), args.seed, args.short));
    dissemination::run(Layout::new(largest), args.seed, args.short);
    for bound in &broken {
        println!("BROKEN: {bound}");
    }
    if !broken.is_empty() {
        std::process::exit(1);
    }
    println!("all bounds hold");
}
