//! The settings of a replica and what it saved.

use crate::{Entry, HardState, Member, Snapshot};
use pimento_core::VmId;
use std::time::Duration;

/// The settings of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM of the replica.
    pub vm: VmId,
    /// The data folder of the replica; never 0, never used twice.
    pub folder_id: u64,
    /// The first members. The first by name founds the group, once all of them
    /// have said that they know of none. Ignored if anything was saved.
    pub initial_members: Vec<Member>,
    /// The shortest silence of a leader before an election; the longest is
    /// twice as long.
    pub election_timeout: Duration,
    /// The interval of a leader's messages.
    pub heartbeat_interval: Duration,
    /// The most payload bytes in one append or part of a snapshot.
    pub batch_bytes: usize,
    /// The most appends under way to one replica.
    pub max_inflight: usize,
    /// The most uncommitted entries of a leader.
    pub max_uncommitted: u64,
    /// The entries kept before a snapshot, for replicas that lag a little.
    pub trailing_entries: u64,
    /// The voters without which no command is taken, so that what is
    /// acknowledged outlives the loss of as many disks as was promised.
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
    /// The defaults for a VM: elections after 1 to 2 s of silence, heartbeats
    /// each 150 ms.
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
    /// Whether nothing was ever saved.
    pub fn is_empty(&self) -> bool {
        self.hard_state.term == 0 && self.snapshot.is_none() && self.entries.is_empty()
    }
}
