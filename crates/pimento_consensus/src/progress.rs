//! Replication progress of a peer.

use crate::Member;
use pimento_core::{Time, VmId};

/// How a leader replicates its log to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReplicationMode {
    /// One `AppendEntries` at a time, until the logs are known to match.
    Probe,
    /// Several `AppendEntries` in flight.
    Pipeline,
    /// Chunks of the snapshot with this index, from this byte offset on.
    Snapshot { index: u64, offset: u64 },
}

/// Replication progress of a peer, as its leader knows it.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub vm: VmId,
    /// The ID of the data folder in its messages, or 0.
    pub folder_id: u64,
    /// The last entry known to match and to be durable on the peer.
    pub match_index: u64,
    /// The next entry to send.
    pub next_index: u64,
    pub mode: ReplicationMode,
    /// The last index of each `AppendEntries` in flight.
    pub inflight: Vec<u64>,
    /// When its newest message arrived.
    pub last_heard: Time,
    /// The newest heartbeat round that it echoed.
    pub round: u64,
}

impl Progress {
    pub(crate) fn new(vm: VmId, next_index: u64, now: Time) -> Self {
        Self {
            vm,
            folder_id: 0,
            match_index: 0,
            next_index,
            mode: ReplicationMode::Probe,
            inflight: Vec::new(),
            last_heard: now,
            round: 0,
        }
    }

    /// Whether a message from this data folder is from the replica that is the
    /// member. Restarts the replication to a learner that lost its disk.
    pub(crate) fn check_folder(&mut self, member: &Member, folder_id: u64) -> bool {
        if member.folder_id != 0 {
            self.folder_id = member.folder_id;
            return folder_id == member.folder_id;
        }
        if self.folder_id != folder_id {
            self.folder_id = folder_id;
            self.match_index = 0;
            self.mode = ReplicationMode::Probe;
            self.inflight.clear();
        }
        true
    }

    /// Records that all entries up to an index are durable on the peer.
    pub(crate) fn record_match(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.inflight.retain(|last| *last > index);
        match self.mode {
            ReplicationMode::Snapshot { index: at, .. } if self.match_index < at => {}
            _ => self.mode = ReplicationMode::Pipeline,
        }
    }

    /// Moves the next index back to where the logs may match.
    pub(crate) fn record_mismatch(&mut self, hint: u64) {
        if matches!(self.mode, ReplicationMode::Snapshot { .. }) {
            return;
        }
        self.next_index = (hint + 1).clamp(
            self.match_index + 1,
            self.next_index.max(self.match_index + 1),
        );
        self.mode = ReplicationMode::Probe;
        self.inflight.clear();
    }

    /// Whether another `AppendEntries` may be sent before the next reply.
    pub(crate) fn can_send(&self, max_inflight: usize) -> bool {
        match self.mode {
            ReplicationMode::Probe => self.inflight.is_empty(),
            ReplicationMode::Pipeline => self.inflight.len() < max_inflight,
            ReplicationMode::Snapshot { .. } => false,
        }
    }
}
