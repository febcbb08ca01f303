//! Configuration and persistent state of a replica.

use crate::{Entry, HardState, Member, Snapshot};
use pimento_core::VmId;
use std::time::Duration;

/// The settings of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM of the replica.
    pub vm: VmId,
    /// The random ID of the replica's data folder; never 0, never reused.
    pub folder_id: u64,
    /// The members that bootstrap the group. The first by name does so, once
    /// all of them have reported that they know of no group. Ignored if the
    /// replica has persistent state.
    pub initial_members: Vec<Member>,
    /// The minimum election timeout; the maximum is twice as long.
    pub election_timeout: Duration,
    /// The interval between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// The maximum payload bytes in one `AppendEntries` or snapshot chunk.
    pub batch_bytes: usize,
    /// The maximum number of unacknowledged `AppendEntries` per replica.
    pub max_inflight: usize,
    /// The maximum number of uncommitted entries of a leader.
    pub max_uncommitted: u64,
    /// The entries kept before a snapshot, so that replicas which lag a little
    /// need no snapshot.
    pub trailing_entries: u64,
    /// The number of voters below which a leader accepts no commands, so that
    /// acknowledged commands survive the promised number of disk losses.
    pub min_voters: usize,
}

/// What a replica had made durable before it started.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// The term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Config {
    /// The defaults for a VM: election timeouts of 1 to 2 s, heartbeats every
    /// 150 ms.
    pub fn new(vm: VmId, folder_id: u64, initial_members: Vec<Member>) -> Self {
        Self {
            vm,
            folder_id,
            initial_members,
            election_timeout: Duration::from_secs(1),
            heartbeat_interval: Duration::from_millis(150),
            batch_bytes: 256 * 1024,
            max_inflight: 16,
            max_uncommitted: 16 * 1024,
            trailing_entries: 1_000,
            min_voters: 1,
        }
    }
}

impl PersistentState {
    /// Whether nothing was ever persisted.
    pub fn is_empty(&self) -> bool {
        self.hard_state.term == 0 && self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Whether a power loss tore the write with which a VM bootstrapped the group,
    /// so that only its own first vote is left. It was never synced, so nobody
    /// has heard of that group.
    pub(crate) fn is_torn_bootstrap(&self, vm: &str) -> bool {
        let is_first_vote = self.hard_state.term == 1 && self.hard_state.vote == vm;
        is_first_vote && self.snapshot.is_none() && self.entries.is_empty()
    }
}
