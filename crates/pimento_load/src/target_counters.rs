//! Checks of the run against the counters of the stand-in targets.

use crate::{report::TargetRow, tally::KeyOutcome};
use awc::Client;
use pimento_standin::{Counters, KeyRuns};
use std::{net::SocketAddr, time::Duration};

const COUNTERS_TIMEOUT: Duration = Duration::from_secs(5);

/// How long to wait for a target's last runs to end.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(3);

/// How often to check whether a target's runs have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum size of a `/counters` response, which may list a million keys.
const MAX_COUNTERS_BYTES: usize = 256 << 20;

/// The targets' counters at the start of a run; `None` for a target that did
/// not answer.
#[derive(Debug)]
pub(crate) struct CounterBaseline {
    before: Vec<(SocketAddr, Option<Counters>)>,
}

/// What the targets' counters show about a run.
#[derive(Debug, Default)]
pub(crate) struct TargetFindings {
    pub(crate) targets: Vec<TargetRow>,
    /// Targets whose counters could not be read.
    pub(crate) unread: u64,
    /// Runs of an idempotency key beyond its first.
    pub(crate) duplicates: u64,
    /// Keys that ran although every attempt was reported as `not-run` or could
    /// not connect.
    pub(crate) denied: u64,
    /// Keys that were answered although no target ran them.
    pub(crate) unfounded: u64,
}

impl CounterBaseline {
    /// Reads the counters before the run.
    pub(crate) async fn read(client: &Client, targets: &[SocketAddr]) -> Self {
        let mut before = Vec::new();
        for target in targets {
            before.push((*target, read_counters(client, *target, "repeated").await));
        }
        Self { before }
    }

    /// Reads the counters after the run and compares them with what the callers
    /// were told.
    pub(crate) async fn compare(self, client: &Client, outcomes: &[KeyOutcome]) -> TargetFindings {
        let mut findings = TargetFindings::default();
        let mut keys = Vec::new();
        let wait_start = tokio::time::Instant::now();
        for (address, before) in self.before {
            while has_runs(client, address).await && wait_start.elapsed() < MAX_SETTLE_TIME {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            let after = read_counters(client, address, "all").await;
            let (Some(before), Some(after)) = (before, after) else {
                findings.unread += 1;
                continue;
            };
            findings
                .targets
                .push(TargetRow::new(address, &before, &after));
            keys.extend(after.keys);
        }
        findings.check_keys(&sum_by_key(keys), outcomes);
        findings
    }
}

impl TargetFindings {
    fn check_keys(&mut self, keys: &[KeyRuns], outcomes: &[KeyOutcome]) {
        for outcome in outcomes {
            let found = keys.binary_search_by(|k| k.key.cmp(&outcome.key));
            let runs = found.map_or(0, |i| keys[i].runs);
            self.duplicates += u64::from(runs.saturating_sub(1));
            self.denied += u64::from(runs > 0 && outcome.not_run);
            let all_read = self.unread == 0 && !self.targets.is_empty();
            self.unfounded += u64::from(runs == 0 && outcome.answered && all_read);
        }
    }
}

/// Sums the runs of each key over all targets; the result is sorted by key.
fn sum_by_key(mut keys: Vec<KeyRuns>) -> Vec<KeyRuns> {
    keys.sort_by(|a, b| a.key.cmp(&b.key));
    keys.dedup_by(|next, kept| {
        let same = next.key == kept.key;
        if same {
            kept.runs += next.runs;
        }
        same
    });
    keys
}

async fn has_runs(client: &Client, target: SocketAddr) -> bool {
    let counters = read_counters(client, target, "repeated").await;
    counters.is_some_and(|c| c.running > 0)
}

async fn read_counters(client: &Client, target: SocketAddr, keys: &str) -> Option<Counters> {
    let url = format!("http://{target}/counters?keys={keys}");
    let mut response = client
        .get(url)
        .timeout(COUNTERS_TIMEOUT)
        .send()
        .await
        .ok()?;
    response.json().limit(MAX_COUNTERS_BYTES).await.ok()
}
