//! Tables and bounds.

use crate::{
    preset::Preset,
    scenario::{Policy, Scenario},
    stats::Stats,
};
use pimento_core::prelude::*;

/// The longest time from a drain to the last new request.
const DRAIN: Duration = Duration::from_secs(3);
/// The p99 of critical requests at 80% load over that of the path without a
/// queue.
const QUEUEING: f64 = 2.0;
/// Goodput at 120% load over that at 100%.
const GOODPUT: f64 = 0.95;
/// The share of critical requests that are answered in time at 120% load.
const IN_TIME: f64 = 0.99;

pub fn heading(preset: &Preset, seed: u64) {
    println!("\n{} (seed {seed})", preset.name);
    println!(
        "{:28} {:8} {:>7} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>5} {:>5} {:>5} {:>5} \
         {:>5} {:>5} {:>4} {:>4}",
        "case",
        "policy",
        "good/s",
        "c.p50",
        "c.p99",
        "s.p99",
        "b.p99",
        "c.not",
        "s.not",
        "b.not",
        "doubt",
        "late",
        "slot%",
        "full%",
        "link%",
        "drain",
        "over",
        "dup"
    );
}

/// Prints the figures of one run.
pub fn line(scenario: &Scenario, policy: Policy, stats: &Stats) {
    let p = |class, percentile| stats.percentile(class, percentile);
    println!(
        "{:28} {:8} {:7.0} {:6.1} {:6.1} {:6.1} {:6.1} {:6} {:6} {:6} {:5} {:5} {:5.1} {:5.1} \
         {:5.1} {:5.2} {:4} {:4}",
        scenario.name(),
        policy.as_str(),
        stats.goodput(),
        p(Class::Critical, 50.0),
        p(Class::Critical, 99.0),
        p(Class::Standard, 99.0),
        p(Class::Background, 99.0),
        stats.not_run[0],
        stats.not_run[1],
        stats.not_run[2],
        stats.unsure.iter().sum::<u64>(),
        stats.late.iter().sum::<u64>(),
        stats.slot_use * 100.0,
        stats.at_limit * 100.0,
        stats.link_use * 100.0,
        stats.drain.as_secs_f64(),
        stats.slot_overruns,
        stats.duplicates
    );
}

fn check(broken: &mut usize, holds: bool, what: impl std::fmt::Display) {
    if !holds {
        *broken += 1;
        println!("  BROKEN: {what}");
    }
}

/// Bounds that hold in every case.
pub fn hard_bounds(scenario: &Scenario, stats: &Stats) -> usize {
    let mut broken = 0;
    let name = scenario.name();
    let zero = [
        ("slot overruns", stats.slot_overruns),
        ("link overruns", stats.link_overruns),
        ("duplicate runs", stats.duplicates),
        ("false not-run", stats.false_not_run),
    ];
    for (what, count) in zero {
        check(&mut broken, count == 0, format!("{name}: {count} {what}"));
    }
    let drain = format!("{name}: last new request after {:?}", stats.drain);
    check(&mut broken, stats.drain <= DRAIN, drain);
    broken
}

/// Bounds between the loads without faults.
pub fn load_bounds(plain: &[(f64, Option<Stats>)]) -> usize {
    let find = |load: f64| {
        let found = plain.iter().find(|run| (run.0 - load).abs() < 1e-9);
        found.and_then(|run| run.1.as_ref())
    };
    let runs = [find(0.05), find(0.8), find(1.0), find(1.2)];
    let [Some(free), Some(busy), Some(full), Some(over)] = runs else {
        return 0;
    };
    let mut broken = 0;
    let class = Class::Critical;
    let ratio = busy.strict_p99(class) / free.strict_p99(class);
    println!("  critical p99 at 80% over the path without a queue: {ratio:.2}");
    check(&mut broken, ratio <= QUEUEING, "critical p99 at 80% load");
    let kept = over.goodput() / full.goodput();
    println!("  goodput at 120% over that at 100%: {kept:.3}");
    check(&mut broken, kept >= GOODPUT, "goodput at 120% load");
    let answers = over.latency[0].len() as f64 / over.requests[0] as f64;
    println!("  critical requests answered in time at 120%: {answers:.4}");
    check(&mut broken, answers >= IN_TIME, "critical requests at 120%");
    // A run that its deadline ended was not refused.
    let shed = over.not_run[2] > 0 && over.unsure[2] <= over.expired[2];
    check(&mut broken, shed, "background refused as not run at 120%");
    broken
}

/// Names the baselines that a case is lost against.
pub fn comparison(scenario: &Scenario, policies: &[Policy], runs: &[Stats]) {
    let own = &runs[0];
    for (policy, other) in policies.iter().zip(runs).skip(1) {
        let class = Class::Critical;
        let (a, b) = (own.strict_p99(class), other.strict_p99(class));
        // Equal within the step of the histogram.
        if a > b * 1.01 {
            println!(
                "  LOST: {} p99 {a:.1} to {} {b:.1}",
                scenario.name(),
                policy.as_str()
            );
        }
        let (a, b) = (own.goodput(), other.goodput());
        if a < b * 0.999 {
            println!(
                "  LOST: {} goodput {a:.0} to {} {b:.0}",
                scenario.name(),
                policy.as_str()
            );
        }
    }
}
