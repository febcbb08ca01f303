//! Number of runs per idempotency key.

use serde::{Deserialize, Serialize};

const MAX_KEYS: usize = 1 << 20;

/// The number of runs of an idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRuns {
    /// The value of the `idempotency-key` header.
    pub key: String,
    /// Number of runs, including cancelled ones.
    pub runs: u32,
}

/// Runs per key, sorted by key: time-ordered keys (UUIDv7) are appended at the
/// end.
#[derive(Debug, Default)]
pub(crate) struct KeyLog {
    keys: Vec<KeyRuns>,
}

impl KeyLog {
    /// Counts a run of a key, and returns whether it had run before.
    pub(crate) fn record_run(&mut self, key: &str) -> bool {
        match self.keys.binary_search_by(|k| k.key.as_str().cmp(key)) {
            Ok(i) => {
                self.keys[i].runs += 1;
                true
            }
            Err(i) => {
                let key = key.to_owned();
                self.keys.insert(i, KeyRuns { key, runs: 1 });
                self.trim();
                false
            }
        }
    }

    /// The keys that ran at least `min_runs` times.
    pub(crate) fn list(&self, min_runs: u32) -> Vec<KeyRuns> {
        let listed = self.keys.iter().filter(|k| k.runs >= min_runs);
        listed.cloned().collect()
    }

    /// Drops the lowest quarter of the keys from a full log; with time-ordered keys
    /// these are the oldest.
    fn trim(&mut self) {
        if self.keys.len() >= MAX_KEYS {
            self.keys.drain(..MAX_KEYS / 4);
        }
    }
}
