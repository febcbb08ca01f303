//! Long runs of the seeded schedules of faults.

use crate::sim::Sim;
use anyhow::ensure;

/// The schedules that run without another number.
const SEEDS: u64 = 10_000;
/// The schedules of the short form.
const SHORT: u64 = 300;

/// Runs schedules from a seed on and prints the seeds that failed.
pub fn run(first: u64, count: Option<u64>, short: bool) -> anyhow::Result<()> {
    let count = count.unwrap_or(if short { SHORT } else { SEEDS });
    let (mut failed, mut elections, mut reads, mut acked) = (Vec::new(), 0, 0, 0);
    for seed in first..first + count {
        match std::panic::catch_unwind(|| Sim::run_schedule(seed)) {
            Ok(sim) => {
                elections += sim.oracle.elections;
                reads += sim.oracle.served_reads.len();
                acked += sim.oracle.acked.len();
            }
            Err(_) => failed.push(seed),
        }
    }
    println!("schedules: {count}, elections {elections}, reads {reads}, commits {acked}");
    ensure!(
        failed.is_empty(),
        "failed seeds {failed:?}; replay with `schedules --seed N --seeds 1`"
    );
    Ok(())
}
