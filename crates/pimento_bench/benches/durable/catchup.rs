//! Bytes that a replica fetches to catch up after missing 1,000 changes.

use crate::{
    CHANGE_DEADLINE,
    sim::{FaultPlan, Sim},
};
use anyhow::{Context, ensure};
use std::time::Duration;

/// Number of changes that the replica misses.
const CHANGES: usize = 1_000;
/// Size of a change, in bytes.
const CHANGE_BYTES: usize = 400;
/// Maximum one-way delay between two control VMs, in milliseconds.
const MAX_DELAY_MS: u64 = 25;
/// Maximum number of bytes fetched per byte of changes.
const MAX_OVERHEAD: usize = 2;

/// Prints the bytes and the virtual time of a catch-up by log entries and of
/// one by snapshot.
pub fn run() -> anyhow::Result<()> {
    let entries = measure("entries", u64::MAX / 2)?;
    let bound = MAX_OVERHEAD * CHANGES * CHANGE_BYTES;
    ensure!(entries <= bound, "{entries} bytes, bound {bound}");
    // Compacting this often drops the missed entries from the log; it keeps
    // only a thousand entries before a snapshot.
    let snapshot = measure("snapshot", 10)?;
    ensure!(snapshot <= bound, "{snapshot} bytes, bound {bound}");
    Ok(())
}

fn measure(what: &str, compact_every: u64) -> anyhow::Result<usize> {
    let mut plan = FaultPlan::production(MAX_DELAY_MS);
    plan.compact_every = compact_every;
    let mut sim = Sim::new(3, plan, 1);
    ensure!(
        sim.run_until(CHANGE_DEADLINE, |sim| sim.voters() == 3),
        "the group was not formed in time"
    );
    sim.run_for(Duration::from_secs(1));
    let leader = sim.leader().context("no leader")?;
    let lagging = (leader + 1) % 3;
    sim.crash(lagging);
    // More entries than the log keeps before a snapshot, so that the replica
    // needs the snapshot if one was taken.
    for _ in 0..CHANGES + 50 {
        sim.propose_size(leader, CHANGE_BYTES);
        sim.run_for(Duration::from_millis(5));
    }
    sim.run_for(Duration::from_secs(1));
    let applied = sim.nodes[leader].applied;
    sim.received_bytes[lagging] = 0;
    let start = sim.now;
    sim.start(lagging);
    let done = sim.run_until(CHANGE_DEADLINE, |sim| sim.nodes[lagging].applied >= applied);
    ensure!(done, "not caught up within {CHANGE_DEADLINE:?}");
    let (bytes, elapsed) = (sim.received_bytes[lagging], sim.now.since(start));
    println!("catchup by {what}: {bytes} bytes in {elapsed:?} for {applied} entries");
    Ok(bytes)
}
