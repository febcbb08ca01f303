//! Reads that a quorum confirms.

use crate::{Effect, Raft, Role};
use pimento_core::Time;

/// A read that waits for its round.
#[derive(Clone, Copy, Debug)]
struct Read {
    id: u64,
    /// The round that a quorum must echo.
    round: u64,
    /// The entry that must be applied.
    index: u64,
}

/// The reads that wait, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Reads {
    waiting: Vec<Read>,
    /// The newest round that a quorum has echoed.
    confirmed: u64,
}

impl Reads {
    /// Empties the list and gives back the callers' numbers.
    pub(crate) fn drain(&mut self) -> Vec<u64> {
        self.confirmed = 0;
        self.waiting.drain(..).map(|read| read.id).collect()
    }
}

impl Raft {
    /// Joins the next round, and begins it unless one is under way.
    pub(crate) fn begin_read(&mut self, now: Time, id: u64) {
        let idle = self.reads.confirmed == self.round;
        let read = Read {
            id,
            round: self.round + 1,
            index: self.commit.max(self.start),
        };
        self.reads.waiting.push(read);
        if idle {
            self.begin_round(now);
        }
    }

    /// Sends heartbeats of a new round.
    pub(crate) fn begin_round(&mut self, now: Time) {
        self.round += 1;
        self.beat = now + self.config.heartbeat_interval;
        self.send_heartbeats();
        self.confirm_reads(now);
    }

    /// Answers the reads whose round a quorum has echoed, and begins the next
    /// round if other reads wait for it.
    pub(crate) fn confirm_reads(&mut self, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        let round = self.quorum_value(self.round, |peer| peer.round);
        self.reads.confirmed = self.reads.confirmed.max(round);
        let (round, commit) = (self.reads.confirmed, self.commit);
        let done = |read: &Read| read.round <= round && read.index <= commit;
        let waiting = std::mem::take(&mut self.reads.waiting);
        let (ready, waiting) = waiting.into_iter().partition(done);
        self.reads.waiting = waiting;
        let ready: Vec<Read> = ready;
        for read in ready {
            self.emit(Effect::ReadReady { id: read.id });
        }
        let next = self.reads.waiting.iter().any(|r| r.round > self.round);
        if next && self.reads.confirmed == self.round {
            self.begin_round(now);
        }
    }
}
