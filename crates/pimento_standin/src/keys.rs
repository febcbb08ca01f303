//! The log of idempotency keys that a stand-in target has run.

use serde::{Deserialize, Serialize};

/// The most keys that the log holds.
const MAX_KEYS: usize = 1 << 20;

/// How often a key ran at one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRuns {
    /// The idempotency key.
    pub key: String,
    /// How often it ran.
    pub runs: u32,
}

/// The keys that have run, sorted, so that time-ordered keys append.
#[derive(Debug, Default)]
pub(crate) struct KeyLog {
    keys: Vec<KeyRuns>,
}

impl KeyLog {
    /// Notes a run of a key; says whether it ran before.
    pub(crate) fn note(&mut self, key: &str) -> bool {
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

    /// The keys that ran at least `least` times.
    pub(crate) fn list(&self, least: u32) -> Vec<KeyRuns> {
        let often = self.keys.iter().filter(|k| k.runs >= least);
        often.cloned().collect()
    }

    /// Drops the oldest quarter of a full log.
    fn trim(&mut self) {
        if self.keys.len() >= MAX_KEYS {
            self.keys.drain(..MAX_KEYS / 4);
        }
    }
}
