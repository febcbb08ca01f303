//! What the stand-in targets saw.

use crate::{report::TargetRow, tally::Fate};
use awc::Client;
use pimento_standin::{Counters, KeyRuns};
use std::{net::SocketAddr, time::Duration};

/// The longest wait for one target's counts.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The longest wait for the last runs to end.
const SETTLE: Duration = Duration::from_secs(3);

/// The time between two looks at runs that have not ended.
const POLL: Duration = Duration::from_millis(50);

/// The largest list of keys that is read, in bytes.
const MAX_BYTES: usize = 256 << 20;

/// The targets' counts at the start of a run.
#[derive(Debug)]
pub(crate) struct Witness {
    before: Vec<(SocketAddr, Option<Counters>)>,
}

/// What the targets' counts say about the run.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    pub(crate) targets: Vec<TargetRow>,
    /// Targets whose counts could not be read.
    pub(crate) unread: u64,
    /// Runs of a key beyond its first.
    pub(crate) duplicates: u64,
    /// Keys that ran although their caller was told that they did not.
    pub(crate) denied: u64,
    /// Keys that were answered and ran nowhere.
    pub(crate) unfounded: u64,
}

impl Witness {
    /// Reads the counts before the run.
    pub(crate) async fn begin(client: &Client, targets: &[SocketAddr]) -> Self {
        let mut before = Vec::new();
        for target in targets {
            before.push((*target, read(client, *target, "repeated").await));
        }
        Self { before }
    }

    /// Reads the counts after the run and compares them with the callers'
    /// knowledge.
    pub(crate) async fn end(self, client: &Client, fates: &[Fate]) -> Evidence {
        let mut evidence = Evidence::default();
        let mut keys = Vec::new();
        let begun = tokio::time::Instant::now();
        for (address, before) in self.before {
            while running(client, address).await && begun.elapsed() < SETTLE {
                tokio::time::sleep(POLL).await;
            }
            let after = read(client, address, "all").await;
            let (Some(before), Some(after)) = (before, after) else {
                evidence.unread += 1;
                continue;
            };
            evidence
                .targets
                .push(TargetRow::new(address, &before, &after));
            keys.extend(after.keys);
        }
        evidence.judge(&merge(keys), fates);
        evidence
    }
}

impl Evidence {
    fn judge(&mut self, keys: &[KeyRuns], fates: &[Fate]) {
        for fate in fates {
            let found = keys.binary_search_by(|k| k.key.cmp(&fate.key));
            let runs = found.map_or(0, |i| keys[i].runs);
            self.duplicates += u64::from(runs.saturating_sub(1));
            self.denied += u64::from(runs > 0 && fate.never_ran);
            let complete = self.unread == 0 && !self.targets.is_empty();
            self.unfounded += u64::from(runs == 0 && fate.answered && complete);
        }
    }
}

/// Adds up the runs of each key over all targets.
fn merge(mut keys: Vec<KeyRuns>) -> Vec<KeyRuns> {
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

async fn running(client: &Client, target: SocketAddr) -> bool {
    let counters = read(client, target, "repeated").await;
    counters.is_some_and(|c| c.running > 0)
}

async fn read(client: &Client, target: SocketAddr, keys: &str) -> Option<Counters> {
    let url = format!("http://{target}/counters?keys={keys}");
    let mut response = client.get(url).timeout(TIMEOUT).send().await.ok()?;
    response.json().limit(MAX_BYTES).await.ok()
}
