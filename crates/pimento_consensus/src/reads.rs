//! Linearizable reads, confirmed by a heartbeat round (Raft's `ReadIndex`).

use crate::{Effect, Raft, Role};
use pimento_core::Time;

/// A read that waits for a heartbeat round.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    id: u64,
    /// The round that a quorum must echo.
    round: u64,
    /// The entry that must be applied first.
    index: u64,
}

/// The pending reads, oldest first.
#[derive(Debug, Default)]
pub(crate) struct PendingReads {
    reads: Vec<PendingRead>,
    /// The newest round that a quorum has echoed.
    confirmed_round: u64,
}

impl PendingReads {
    /// Removes all pending reads and returns their request IDs.
    pub(crate) fn drain(&mut self) -> Vec<u64> {
        self.confirmed_round = 0;
        self.reads.drain(..).map(|read| read.id).collect()
    }
}

impl Raft {
    /// Adds a read to the next heartbeat round, and starts that round unless
    /// another one is in progress.
    pub(crate) fn enqueue_read(&mut self, now: Time, id: u64) {
        let is_idle = self.pending_reads.confirmed_round == self.round;
        let read = PendingRead {
            id,
            round: self.round + 1,
            index: self.commit_index.max(self.term_start),
        };
        self.pending_reads.reads.push(read);
        if is_idle {
            self.start_heartbeat_round(now);
        }
    }

    /// Starts a new round and sends its heartbeats.
    pub(crate) fn start_heartbeat_round(&mut self, now: Time) {
        self.round += 1;
        self.heartbeat_due = now + self.config.heartbeat_interval;
        self.send_heartbeats();
        self.confirm_reads(now);
    }

    /// Completes the reads whose round a quorum has echoed, and starts the next
    /// round if other reads wait for it.
    pub(crate) fn confirm_reads(&mut self, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        let round = self.quorum_value(self.round, |peer| peer.round);
        self.pending_reads.confirmed_round = self.pending_reads.confirmed_round.max(round);
        let (round, commit) = (self.pending_reads.confirmed_round, self.commit_index);
        let is_ready = |read: &PendingRead| read.round <= round && read.index <= commit;
        let waiting = std::mem::take(&mut self.pending_reads.reads);
        let (ready, waiting) = waiting.into_iter().partition(is_ready);
        self.pending_reads.reads = waiting;
        let ready: Vec<PendingRead> = ready;
        for read in ready {
            self.emit(Effect::ReadReady { id: read.id });
        }
        let needs_round = self
            .pending_reads
            .reads
            .iter()
            .any(|r| r.round > self.round);
        if needs_round && self.pending_reads.confirmed_round == self.round {
            self.start_heartbeat_round(now);
        }
    }
}
