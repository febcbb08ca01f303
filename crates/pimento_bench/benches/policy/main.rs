//! The policy bench: admission and steering under load and faults, in virtual
//! time, beside three baselines.
//!
//! The cores are the ones that the running entry VM uses; targets, links and
//! callers are small fakes around an event queue. See `docs/MEASUREMENTS.md`.

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

/// Seconds of a run.
const LONG: u64 = 15;
/// Seconds of a run of the short form.
const SHORT: u64 = 6;

/// Measures the policies.
#[derive(Debug, Parser)]
struct Options {
    /// Runs a few cases of the project's own policy, with the hard bounds.
    #[arg(long)]
    short: bool,
    /// Seeds to run each case with.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Runs only cases whose name contains this text.
    #[arg(long, default_value = "")]
    only: String,
    /// Given by cargo.
    #[arg(long, hide = true)]
    bench: bool,
}

/// The pairs of faults that come together.
const PAIRS: [[Fault; 2]; 8] = [
    [Fault::DomainFails, Fault::ReportsStop],
    [Fault::SlowTarget, Fault::Silent],
    [Fault::RegionCut, Fault::SlowTarget],
    [Fault::Drain, Fault::ReportsStop],
    [Fault::ColdRestart, Fault::ReportsLow],
    [Fault::DomainFails, Fault::Drain],
    [Fault::RegionCut, Fault::ColdRestart],
    [Fault::Silent, Fault::ColdRestart],
];

/// The load under which faults come.
const FAULT_LOAD: f64 = 0.7;

fn loads(end: u64) -> Vec<Scenario> {
    let loads = [0.05, 0.5, 0.8, 0.95, 1.0, 1.2];
    let mut cases: Vec<_> = loads.map(|load| Scenario::new(load, end)).into();
    cases.push(Scenario::new(0.4, end).rushed());
    cases
}

fn faulted(end: u64) -> Vec<Scenario> {
    let case = |faults: &[Fault]| Scenario::new(FAULT_LOAD, end).with(faults);
    let singles = Fault::ALL.iter().map(|fault| case(&[*fault]));
    let pairs = PAIRS.iter().map(|pair| case(pair));
    let mut cases: Vec<_> = singles.chain(pairs).collect();
    let peak = Scenario::new(0.4, end).rushed();
    cases.push(peak.clone().with(&[Fault::Drain]));
    cases.push(peak.with(&[Fault::SlowTarget]));
    cases
}

fn run(preset: &Preset, policy: Policy, scenario: &Scenario) -> Stats {
    World::new(preset, policy, scenario).run()
}

fn main() -> ExitCode {
    let options = Options::parse();
    let end = if options.short { SHORT } else { LONG };
    let mut broken = 0;
    for preset in [Preset::kitahoro(), Preset::armor()] {
        for seed in 1..=options.seeds {
            broken += measure(&preset, seed, end, &options);
        }
    }
    if broken > 0 {
        println!("{broken} bounds broken");
        return ExitCode::FAILURE;
    }
    println!("all bounds hold");
    ExitCode::SUCCESS
}

/// Runs all cases of a preset and counts broken bounds.
fn measure(preset: &Preset, seed: u64, end: u64, options: &Options) -> usize {
    let policies = if options.short {
        &Policy::ALL[..1]
    } else {
        &Policy::ALL[..]
    };
    let mut broken = 0;
    let mut plain = Vec::new();
    report::heading(preset, seed);
    for mut scenario in loads(end).into_iter().chain(faulted(end)) {
        if !scenario.name().contains(&options.only) {
            continue;
        }
        scenario.seed = seed;
        let runs: Vec<Stats> = policies
            .iter()
            .map(|policy| run(preset, *policy, &scenario))
            .collect();
        for (policy, stats) in policies.iter().zip(&runs) {
            report::line(&scenario, *policy, stats);
        }
        broken += report::hard_bounds(&scenario, &runs[0]);
        report::comparison(&scenario, policies, &runs);
        if scenario.faults.is_empty() && !scenario.rush {
            plain.push((scenario.load, runs.into_iter().next()));
        }
    }
    broken + report::load_bounds(&plain)
}
