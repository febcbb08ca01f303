//! Many seeded random fault schedules of the consensus simulation.

use crate::sim::Sim;
use anyhow::ensure;

/// Number of schedules in a full run without `--seeds`.
const FULL_SCHEDULES: u64 = 10_000;
/// Number of schedules with `--short`.
const SHORT_SCHEDULES: u64 = 300;

/// Runs schedules with consecutive seeds; fails with the list of seeds whose
/// schedule panicked.
pub fn run(first: u64, count: Option<u64>, short: bool) -> anyhow::Result<()> {
    let count = count.unwrap_or(if short {
        SHORT_SCHEDULES
    } else {
        FULL_SCHEDULES
    });
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
