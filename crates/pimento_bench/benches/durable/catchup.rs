//! What a replica fetches that was away for 1,000 changes.

use crate::{
    TARGET,
    sim::{FaultPlan, Sim},
};
use anyhow::{Context, ensure};
use std::time::Duration;

/// The changes that pass the replica by.
const CHANGES: usize = 1_000;
/// The bytes of a change.
const SIZE: usize = 400;
/// The longest one-way delay between two control VMs, in milliseconds.
const DELAY: u64 = 25;
/// The most bytes fetched for each byte of the changes.
const OVERHEAD: usize = 2;

/// Prints the bytes and the virtual time, by entries and by snapshot.
pub fn run() -> anyhow::Result<()> {
    let entries = measure("entries", u64::MAX / 2)?;
    let bound = OVERHEAD * CHANGES * SIZE;
    ensure!(entries <= bound, "{entries} bytes, bound {bound}");
    // The trail of a thousand entries before a snapshot is left behind.
    let snapshot = measure("snapshot", 10)?;
    ensure!(snapshot <= bound, "{snapshot} bytes, bound {bound}");
    Ok(())
}

fn measure(what: &str, compact: u64) -> anyhow::Result<usize> {
    let mut plan = FaultPlan::production(DELAY);
    plan.compact_every = compact;
    let mut sim = Sim::new(3, plan, 1);
    ensure!(
        sim.run_until(TARGET, |sim| sim.voters() == 3),
        "not founded"
    );
    sim.run_for(Duration::from_secs(1));
    let leader = sim.leader().context("no leader")?;
    let away = (leader + 1) % 3;
    sim.crash(away);
    // Some more than the trail, so that a snapshot is needed if one was taken.
    for _ in 0..CHANGES + 50 {
        sim.propose_size(leader, SIZE);
        sim.run_for(Duration::from_millis(5));
    }
    sim.run_for(Duration::from_secs(1));
    let applied = sim.nodes[leader].applied;
    sim.received_bytes[away] = 0;
    let start = sim.now;
    sim.start(away);
    let done = sim.run_until(TARGET, |sim| sim.nodes[away].applied >= applied);
    ensure!(done, "not caught up within {TARGET:?}");
    let (bytes, took) = (sim.received_bytes[away], sim.now.since(start));
    println!("catchup by {what}: {bytes} bytes in {took:?} for {applied} entries");
    Ok(bytes)
}
