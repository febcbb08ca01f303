//! Virtual time from the crash of a leader to the next commit.

use crate::{
    CHANGE_DEADLINE,
    sim::{FaultPlan, Sim},
};
use anyhow::{Context, ensure};
use std::time::Duration;

/// Number of groups whose leader crashes.
const GROUPS: u64 = 500;
/// Number of groups with `--short`.
const SHORT_GROUPS: u64 = 50;
/// Maximum one-way delay between two control VMs, in milliseconds.
const MAX_DELAY_MS: u64 = 25;

/// Prints the distribution of the time without commits and checks its maximum.
pub fn run(short: bool) -> anyhow::Result<()> {
    let groups = if short { SHORT_GROUPS } else { GROUPS };
    let mut times = Vec::new();
    for seed in 0..groups {
        times.push(measure_takeover(seed).with_context(|| format!("seed {seed}"))?);
    }
    times.sort_unstable();
    let percentile = |share: f64| times[(share * (times.len() - 1) as f64) as usize].as_millis();
    let (p50, p99, longest) = (percentile(0.5), percentile(0.99), percentile(1.0));
    println!("takeover: {groups} groups, p50 {p50} ms, p99 {p99} ms, longest {longest} ms");
    ensure!(
        times[times.len() - 1] < CHANGE_DEADLINE,
        "the longest takeover exceeds the bound {CHANGE_DEADLINE:?}"
    );
    Ok(())
}

fn measure_takeover(seed: u64) -> anyhow::Result<Duration> {
    let mut sim = Sim::new(3, FaultPlan::production(MAX_DELAY_MS), seed);
    ensure!(
        sim.run_until(CHANGE_DEADLINE, |sim| sim.voters() == 3),
        "the group was not formed in time"
    );
    sim.run_for(Duration::from_millis(500 + seed % 300));
    let old = sim.leader().context("no leader")?;
    sim.crash(old);
    let start = sim.now;
    while sim.now.since(start) < CHANGE_DEADLINE {
        sim.run_for(Duration::from_millis(5));
        let Some(leader) = sim.leader() else { continue };
        let id = sim.propose(leader);
        let limit = Duration::from_secs(1);
        if sim.run_until(limit, |sim| sim.oracle.acked.contains_key(&id)) {
            return Ok(sim.now.since(start));
        }
    }
    Ok(CHANGE_DEADLINE)
}
