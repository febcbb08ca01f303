//! The scale bench: how the cost of membership grows with the system.
//!
//! It runs the members' core of every VM in one process and in virtual time,
//! and fails if a bound of the design size is broken. The figures and what they
//! led to are in `docs/design/members.md` and `docs/CAPACITY.md`.

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

/// The command line.
#[derive(Parser)]
struct Args {
    /// Run one small size and the counted bounds only.
    #[arg(long)]
    short: bool,
    /// Run this one size.
    #[arg(long)]
    nodes: Option<usize>,
    /// The seed of all randomness.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Passed by cargo.
    #[arg(long, hide = true)]
    bench: bool,
}

/// The sizes that the slopes are drawn from.
const SIZES: [usize; 4] = [100, 300, 600, 1_100];

/// The size of the short form.
const SHORT: usize = 192;

fn main() {
    let args = Args::parse();
    let mut broken = Vec::new();
    let sizes = match args.nodes {
        Some(nodes) => vec![nodes],
        None if args.short => vec![SHORT],
        None => SIZES.to_vec(),
    };
    for size in &sizes {
        broken.extend(steady::run(Layout::new(*size), args.seed, args.short));
    }
    let largest = sizes.last().copied().unwrap_or(SHORT);
    broken.extend(faults::run(Layout::new(largest), args.seed, args.short));
    dissemination::run(Layout::new(largest), args.seed, args.short);
    for fault in &broken {
        println!("BROKEN: {fault}");
    }
    if !broken.is_empty() {
        std::process::exit(1);
    }
    println!("all bounds hold");
}
