//! How a follower handles a leader's messages.

use crate::{AppendEntries, AppendEntriesReply, Body, Effect, Raft, Role};
use pimento_core::{Time, VmId};

impl Raft {
    /// Records contact with the leader of the current term; returns false if this
    /// replica is the leader.
    pub(crate) fn record_leader_contact(&mut self, now: Time, from: &VmId) -> bool {
        if self.role == Role::Leader {
            return false;
        }
        self.bootstrapping = false;
        self.last_heard = now;
        self.become_follower(now, self.hard_state.term, Some(from));
        self.reset_election_timer(now);
        true
    }

    pub(crate) fn handle_append(&mut self, now: Time, from: &VmId, append: AppendEntries) {
        if !self.record_leader_contact(now, from) {
            return;
        }
        self.round = self.round.max(append.round);
        if let Some(hint) = self.conflict_hint(&append) {
            let reply = AppendEntriesReply {
                accepted: false,
                index: hint,
                round: self.round,
            };
            self.send_after_sync(from, Body::AppendEntriesReply(reply));
            return;
        }
        let last = append.prev_index + append.entries.len() as u64;
        for entry in append.entries {
            self.append_if_missing(entry);
        }
        // A leader has all committed entries, so the logs also match up to the
        // commit index.
        self.verified_index = self.verified_index.max(last).max(self.commit_index);
        self.commit_up_to(append.leader_commit.min(self.verified_index));
        // Otherwise the acknowledgement is sent after the write.
        if !self.is_dirty() {
            self.send_ack();
        }
    }

    /// The index that the leader should try as the previous entry, if the logs
    /// don't match at the one it sent.
    fn conflict_hint(&self, append: &AppendEntries) -> Option<u64> {
        if append.prev_index < self.log.base_index() {
            // Entries up to the base are committed, so they match the leader's.
            return None;
        }
        let Some(term) = self.log.term_at(append.prev_index) else {
            return Some(self.log.last_index());
        };
        if term == append.prev_term {
            return None;
        }
        let mut hint = append.prev_index;
        while hint > self.commit_index && self.log.term_at(hint) == Some(term) {
            hint -= 1;
        }
        Some(hint)
    }

    /// Appends an entry unless the log already has it.
    fn append_if_missing(&mut self, entry: crate::Entry) {
        let committed = entry.index <= self.commit_index;
        if committed || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        self.append_to_log(entry);
    }

    /// Advances the commit index and applies the entries up to it.
    pub(crate) fn commit_up_to(&mut self, index: u64) {
        for at in self.commit_index + 1..=index.min(self.log.last_index()) {
            let Some(entry) = self.log.get(at).cloned() else {
                return;
            };
            self.commit_index = at;
            self.emit(Effect::Apply(entry));
        }
    }

    /// Acknowledges to the leader the matching entries that are durable here.
    pub(crate) fn send_ack(&mut self) {
        let Some(leader) = self.leader.clone() else {
            return;
        };
        let reply = Body::AppendEntriesReply(AppendEntriesReply {
            accepted: true,
            index: self.verified_index.min(self.durable_index),
            round: self.round,
        });
        if self.is_hard_state_durable() {
            self.send(&leader, reply);
        } else {
            self.send_after_sync(&leader, reply);
        }
    }
}
