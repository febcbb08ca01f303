//! The counters of a stand-in target.

use crate::KeyRuns;
use serde::{Deserialize, Serialize};

/// The counters of a stand-in target since its start, in the JSON form of
/// `GET /counters`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Requests that started to run.
    pub runs: u64,
    /// Runs that completed.
    pub finished: u64,
    /// Runs cancelled because the connection was closed.
    pub cancelled: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Runs that started while every slot was in use.
    pub overruns: u64,
    /// Runs of an idempotency key beyond its first.
    pub duplicates: u64,
    /// Requests that are running now.
    pub running: u32,
    /// Maximum number of concurrent runs.
    pub peak: u32,
    /// Open connections.
    pub connections: u32,
    /// Connections opened beyond the announced limit.
    pub excess: u64,
    /// Number of runs per idempotency key: only of keys that ran more than
    /// once, or of all with `GET /counters?keys=all`.
    pub keys: Vec<KeyRuns>,
}
