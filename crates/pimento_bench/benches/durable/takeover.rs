//! The time from the loss of a leader to the next commit, in virtual time.

use crate::{
    TARGET,
    sim::{FaultPlan, Sim},
};
use anyhow::{Context, ensure};
use std::time::Duration;

/// The groups whose leader is lost.
const GROUPS: u64 = 500;
/// The groups of the short form.
const SHORT: u64 = 50;
/// The longest one-way delay between two control VMs, in milliseconds.
const DELAY: u64 = 25;

/// Prints the distribution of the time without commits.
pub fn run(short: bool) -> anyhow::Result<()> {
    let groups = if short { SHORT } else { GROUPS };
    let mut times = Vec::new();
    for seed in 0..groups {
        times.push(takeover(seed).with_context(|| format!("seed {seed}"))?);
    }
    times.sort_unstable();
    let at = |share: f64| times[(share * (times.len() - 1) as f64) as usize].as_millis();
    let (half, most, longest) = (at(0.5), at(0.99), at(1.0));
    println!("takeover: {groups} groups, p50 {half} ms, p99 {most} ms, longest {longest} ms");
    ensure!(times[times.len() - 1] < TARGET, "bound {TARGET:?} broken");
    Ok(())
}

fn takeover(seed: u64) -> anyhow::Result<Duration> {
    let mut sim = Sim::new(3, FaultPlan::production(DELAY), seed);
    ensure!(
        sim.run_until(TARGET, |sim| sim.voters() == 3),
        "not founded"
    );
    sim.run_for(Duration::from_millis(500 + seed % 300));
    let old = sim.leader().context("no leader")?;
    sim.crash(old);
    let start = sim.now;
    while sim.now.since(start) < TARGET {
        sim.run_for(Duration::from_millis(5));
        let Some(leader) = sim.leader() else { continue };
        let id = sim.propose(leader);
        let limit = Duration::from_secs(1);
        if sim.run_until(limit, |sim| sim.oracle.acked.contains_key(&id)) {
            return Ok(sim.now.since(start));
        }
    }
    Ok(TARGET)
}
