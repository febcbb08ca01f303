//! The settings of a replica and what it saved.

use crate::{Entry, Hard, Member, Snapshot};
use pimento_core::VmId;
use std::time::Duration;

/// The settings of a replica.
#[derive(Clone, Debug)]
pub struct Config {
    /// The VM of the replica.
    pub me: VmId,
    /// The data folder of the replica; never 0, never used twice.
    pub instance: u64,
    /// The first members. The first by name founds the group, once all of them
    /// have said that they know of none. Ignored if anything was saved.
    pub peers: Vec<Member>,
    /// The shortest silence of a leader before an election; the longest is
    /// twice as long.
    pub election: Duration,
    /// The interval of a leader's messages.
    pub heartbeat: Duration,
    /// The most payload bytes in one append or part of a snapshot.
    pub batch: usize,
    /// The most appends under way to one replica.
    pub window: usize,
    /// The most uncommitted entries of a leader.
    pub backlog: u64,
    /// The entries kept before a snapshot, for replicas that lag a little.
    pub trail: u64,
    /// The voters without which no command is taken, so that what is
    /// acknowledged outlives the loss of as many disks as was promised.
    pub voters: usize,
}

/// What a replica had made durable before it started.
#[derive(Clone, Debug, Default)]
pub struct Saved {
    /// The term and vote.
    pub hard: Hard,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Config {
    /// The defaults for a VM: elections after 1 to 2 s of silence, heartbeats
    /// each 150 ms.
    pub fn new(me: VmId, instance: u64, peers: Vec<Member>) -> Self {
        Self {
            me,
            instance,
            peers,
            election: Duration::from_secs(1),
            heartbeat: Duration::from_millis(150),
            batch: 256 * 1024,
            window: 16,
            backlog: 16 * 1024,
            trail: 1_000,
            voters: 1,
        }
    }
}

impl Saved {
    /// Whether nothing was ever saved.
    pub fn is_empty(&self) -> bool {
        self.hard.term == 0 && self.snapshot.is_none() && self.entries.is_empty()
    }
}
