//! What a stand-in target counts.

use crate::KeyRuns;
use serde::{Deserialize, Serialize};

/// The counts of a stand-in target since its start, as `GET /counters` shows
/// them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Requests that began to run.
    pub runs: u64,
    /// Runs that ended by themselves.
    pub finished: u64,
    /// Runs that ended because their caller closed the connection.
    pub cancelled: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Runs that began while every slot was taken.
    pub overruns: u64,
    /// Runs of a key that had run before.
    pub duplicates: u64,
    /// Requests that run now.
    pub running: u32,
    /// The most requests that ran at a time.
    pub peak: u32,
    /// Open connections.
    pub connections: u32,
    /// Connections opened while all that the target takes were open.
    pub excess: u64,
    /// Keys and their runs: those that ran more than once, or all of them on
    /// `GET /counters?keys=all`.
    pub keys: Vec<KeyRuns>,
}
