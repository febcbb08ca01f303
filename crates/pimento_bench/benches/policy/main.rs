//! The policy bench: compares admission and steering with three baseline
//! policies under load and faults, in virtual time.
//!
//! The admission and steering cores are those of the production entry VM;
//! targets, links and callers are simulated around an event queue. See
//! `docs/MEASUREMENTS.md`.

mod caller;
mod entry;
mod faults;
mod preset;
mod report;
mod scenario;
mod stats;
mod target;
mod wire;
mod world;

use clap::Parser;
use preset::Preset;
use scenario::{Fault, Policy, Scenario};
use stats::Stats;
use std::process::ExitCode;
use world::World;

/// Simulated seconds of a full run.
const RUN_SECONDS: u64 = 15;
/// Simulated seconds of a run with `--short`.
const SHORT_RUN_SECONDS: u64 = 6;

/// Benchmarks the policies; exits with an error if a bound is exceeded.
#[derive(Debug, Parser)]
struct Options {
    /// Runs shorter cases with the project's own policy only.
    #[arg(long)]
    short: bool,
    /// Number of seeds to run each case with.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Runs only cases whose name contains this text.
    #[arg(long, default_value = "")]
    only: String,
    /// Accepted and ignored, since cargo passes it.
    #[arg(long, hide = true)]
    bench: bool,
}

/// Pairs of faults that are injected together.
const FAULT_PAIRS: [[Fault; 2]; 8] = [
    [Fault::DomainFails, Fault::ReportsStop],
    [Fault::SlowTarget, Fault::Silent],
    [Fault::RegionCut, Fault::SlowTarget],
    [Fault::Drain, Fault::ReportsStop],
    [Fault::ColdRestart, Fault::ReportsLow],
    [Fault::DomainFails, Fault::Drain],
    [Fault::RegionCut, Fault::ColdRestart],
    [Fault::Silent, Fault::ColdRestart],
];

/// Load of the cases with faults, as a share of the targets' capacity.
const FAULT_CASE_LOAD: f64 = 0.7;

fn load_cases(end: u64) -> Vec<Scenario> {
    let loads = [0.05, 0.5, 0.8, 0.95, 1.0, 1.2];
    let mut cases: Vec<_> = loads.map(|load| Scenario::new(load, end)).into();
    cases.push(Scenario::new(0.4, end).with_rush());
    cases
}

fn fault_cases(end: u64) -> Vec<Scenario> {
    let case = |faults: &[Fault]| Scenario::new(FAULT_CASE_LOAD, end).with_faults(faults);
    let singles = Fault::ALL.iter().map(|fault| case(&[*fault]));
    let pairs = FAULT_PAIRS.iter().map(|pair| case(pair));
    let mut cases: Vec<_> = singles.chain(pairs).collect();
    let rush = Scenario::new(0.4, end).with_rush();
    cases.push(rush.clone().with_faults(&[Fault::Drain]));
    cases.push(rush.with_faults(&[Fault::SlowTarget]));
    cases
}

fn run(preset: &Preset, policy: Policy, scenario: &Scenario) -> Stats {
    World::new(preset, policy, scenario).run()
}

fn main() -> ExitCode {
    let options = Options::parse();
    let end = if options.short {
        SHORT_RUN_SECONDS
    } else {
        RUN_SECONDS
    };
    let mut broken = 0;
    for preset in [Preset::kitahoro(), Preset::armor()] {
        for seed in 1..=options.seeds {
            broken += measure(&preset, seed, end, &options);
        }
    }
    if broken > 0 {
        println!("{broken} bounds exceeded");
        return ExitCode::FAILURE;
    }
    println!("all bounds hold");
    ExitCode::SUCCESS
}

/// Runs all cases of a preset and returns the number of exceeded bounds.
fn measure(preset: &Preset, seed: u64, end: u64, options: &Options) -> usize {
    let policies = if options.short {
        &Policy::ALL[..1]
    } else {
        &Policy::ALL[..]
    };
    let mut broken = 0;
    let mut unfaulted = Vec::new();
    report::print_heading(preset, seed);
    for mut scenario in load_cases(end).into_iter().chain(fault_cases(end)) {
        if !scenario.name().contains(&options.only) {
            continue;
        }
        scenario.seed = seed;
        let runs: Vec<Stats> = policies
            .iter()
            .map(|policy| run(preset, *policy, &scenario))
            .collect();
        for (policy, stats) in policies.iter().zip(&runs) {
            report::print_row(&scenario, *policy, stats);
        }
        broken += report::check_hard_bounds(&scenario, &runs[0]);
        report::print_losses(&scenario, policies, &runs);
        if scenario.faults.is_empty() && !scenario.rush {
            unfaulted.push((scenario.load, runs.into_iter().next()));
        }
    }
    broken + report::check_load_bounds(&unfaulted)
}
