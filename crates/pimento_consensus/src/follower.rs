//! What a follower does with a leader's messages.

use crate::{AppendEntries, AppendEntriesReply, Body, Effect, Raft, Role};
use pimento_core::{Time, VmId};

impl Raft {
    /// Notes the leader of the current term; false if that is this replica.
    pub(crate) fn hear_leader(&mut self, now: Time, from: &VmId) -> bool {
        if self.role == Role::Leader {
            return false;
        }
        self.founding = false;
        self.heard = now;
        self.follow(now, self.hard_state.term, Some(from));
        self.rearm(now);
        true
    }

    pub(crate) fn append(&mut self, now: Time, from: &VmId, append: AppendEntries) {
        if !self.hear_leader(now, from) {
            return;
        }
        self.round = self.round.max(append.round);
        if let Some(hint) = self.gap(&append) {
            let reply = AppendEntriesReply {
                accepted: false,
                index: hint,
                round: self.round,
            };
            self.send_held(from, Body::AppendEntriesReply(reply));
            return;
        }
        let last = append.prev_index + append.entries.len() as u64;
        for entry in append.entries {
            self.take(entry);
        }
        // A leader holds all that is committed, so that much is equal too.
        self.verified = self.verified.max(last).max(self.commit);
        self.learn_commit(append.leader_commit.min(self.verified));
        // Otherwise the acknowledgement follows the write.
        if !self.is_dirty() {
            self.acknowledge();
        }
    }

    /// Where the leader should try next, if the logs don't meet.
    fn gap(&self, append: &AppendEntries) -> Option<u64> {
        if append.prev_index < self.log.base() {
            // All up to the base is committed, so it equals the leader's.
            return None;
        }
        let Some(term) = self.log.term(append.prev_index) else {
            return Some(self.log.last());
        };
        if term == append.prev_term {
            return None;
        }
        let mut hint = append.prev_index;
        while hint > self.commit && self.log.term(hint) == Some(term) {
            hint -= 1;
        }
        Some(hint)
    }

    /// Appends an entry unless it is there already.
    fn take(&mut self, entry: crate::Entry) {
        let covered = entry.index <= self.commit;
        if covered || self.log.term(entry.index) == Some(entry.term) {
            return;
        }
        self.push(entry);
    }

    /// Applies the entries up to an index that the leader has committed.
    pub(crate) fn learn_commit(&mut self, index: u64) {
        for at in self.commit + 1..=index.min(self.log.last()) {
            let Some(entry) = self.log.get(at).cloned() else {
                return;
            };
            self.commit = at;
            self.emit(Effect::Apply(entry));
        }
    }

    /// Tells the leader how much is durable here.
    pub(crate) fn acknowledge(&mut self) {
        let Some(leader) = self.leader.clone() else {
            return;
        };
        let reply = Body::AppendEntriesReply(AppendEntriesReply {
            accepted: true,
            index: self.verified.min(self.durable),
            round: self.round,
        });
        if self.hard_synced() {
            self.send(&leader, reply);
        } else {
            self.send_held(&leader, reply);
        }
    }
}
