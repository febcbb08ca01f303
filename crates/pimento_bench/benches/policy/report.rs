//! Result tables and bounds.

use crate::{
    preset::Preset,
    scenario::{Policy, Scenario},
    stats::Stats,
};
use pimento_core::prelude::*;

/// Maximum time from the start of a drain to the target's last new request.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);
/// Maximum ratio of the critical p99 at 80% load to the p99 without queueing
/// (measured at 5% load).
const MAX_P99_RATIO: f64 = 2.0;
/// Minimum ratio of the goodput at 120% load to that at 100%.
const MIN_GOODPUT_RATIO: f64 = 0.95;
/// Minimum share of critical requests answered before the deadline at 120% load.
const MIN_IN_TIME_SHARE: f64 = 0.99;

pub fn print_heading(preset: &Preset, seed: u64) {
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

/// Prints the results of one run as a table row.
pub fn print_row(scenario: &Scenario, policy: Policy, stats: &Stats) {
    let percentile = |class, p| stats.percentile(class, p);
    println!(
        "{:28} {:8} {:7.0} {:6.1} {:6.1} {:6.1} {:6.1} {:6} {:6} {:6} {:5} {:5} {:5.1} {:5.1} \
         {:5.1} {:5.2} {:4} {:4}",
        scenario.name(),
        policy.as_str(),
        stats.goodput(),
        percentile(Class::Critical, 50.0),
        percentile(Class::Critical, 99.0),
        percentile(Class::Standard, 99.0),
        percentile(Class::Background, 99.0),
        stats.not_run[0],
        stats.not_run[1],
        stats.not_run[2],
        stats.uncertain.iter().sum::<u64>(),
        stats.late.iter().sum::<u64>(),
        stats.slot_use * 100.0,
        stats.full_share * 100.0,
        stats.link_use * 100.0,
        stats.drain_time.as_secs_f64(),
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

/// Checks the bounds that apply to every case; returns how many are exceeded.
pub fn check_hard_bounds(scenario: &Scenario, stats: &Stats) -> usize {
    let mut broken = 0;
    let name = scenario.name();
    let must_be_zero = [
        ("slot overruns", stats.slot_overruns),
        ("link overruns", stats.link_overruns),
        ("duplicate runs", stats.duplicates),
        ("false not-run", stats.false_not_run),
    ];
    for (what, count) in must_be_zero {
        check(&mut broken, count == 0, format!("{name}: {count} {what}"));
    }
    let drain_text = format!(
        "{name}: last new request {:?} after the drain began",
        stats.drain_time
    );
    check(&mut broken, stats.drain_time <= MAX_DRAIN_TIME, drain_text);
    broken
}

/// Checks the bounds that compare loads without faults; returns how many are
/// exceeded.
pub fn check_load_bounds(unfaulted: &[(f64, Option<Stats>)]) -> usize {
    let find = |load: f64| {
        let found = unfaulted.iter().find(|run| (run.0 - load).abs() < 1e-9);
        found.and_then(|run| run.1.as_ref())
    };
    let runs = [find(0.05), find(0.8), find(1.0), find(1.2)];
    let [Some(idle), Some(busy), Some(full), Some(over)] = runs else {
        return 0;
    };
    let mut broken = 0;
    let class = Class::Critical;
    let ratio = busy.strict_p99(class) / idle.strict_p99(class);
    println!("  critical p99 at 80% load over that without queueing: {ratio:.2}");
    check(
        &mut broken,
        ratio <= MAX_P99_RATIO,
        "critical p99 at 80% load",
    );
    let goodput_ratio = over.goodput() / full.goodput();
    println!("  goodput at 120% load over that at 100%: {goodput_ratio:.3}");
    check(
        &mut broken,
        goodput_ratio >= MIN_GOODPUT_RATIO,
        "goodput at 120% load",
    );
    let in_time = over.latency[0].len() as f64 / over.requests[0] as f64;
    println!("  critical requests answered in time at 120% load: {in_time:.4}");
    check(
        &mut broken,
        in_time >= MIN_IN_TIME_SHARE,
        "critical requests answered in time at 120% load",
    );
    // Requests that ran until their deadline may end as uncertain; they were not
    // refused.
    let shed = over.not_run[2] > 0 && over.uncertain[2] <= over.expired[2];
    check(
        &mut broken,
        shed,
        "background requests refused as not run at 120% load",
    );
    broken
}

/// Prints the baselines that did better than the project's policy in a case.
pub fn print_losses(scenario: &Scenario, policies: &[Policy], runs: &[Stats]) {
    let pimento = &runs[0];
    for (policy, other) in policies.iter().zip(runs).skip(1) {
        let class = Class::Critical;
        let (a, b) = (pimento.strict_p99(class), other.strict_p99(class));
        // Differences below 1% are within the resolution of the histogram.
        if a > b * 1.01 {
            println!(
                "  LOST: {} p99 {a:.1} to {} {b:.1}",
                scenario.name(),
                policy.as_str()
            );
        }
        let (a, b) = (pimento.goodput(), other.goodput());
        if a < b * 0.999 {
            println!(
                "  LOST: {} goodput {a:.0} to {} {b:.0}",
                scenario.name(),
                policy.as_str()
            );
        }
    }
}
