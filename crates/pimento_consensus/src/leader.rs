//! What a leader does.

use crate::{
    AppendEntries, AppendEntriesReply, Body, Effect, Entry, EntryKind, Raft, Role, TimeoutNow,
    progress::{Mode, Progress},
};
use bytes::Bytes;
use pimento_core::{Time, VmId};

impl Raft {
    /// Begins to lead with an entry of the new term.
    pub(crate) fn lead(&mut self, now: Time) {
        self.role = Role::Leader;
        self.leader = Some(self.config.vm.clone());
        self.votes.clear();
        self.peers.clear();
        self.round = 0;
        self.reads.drain();
        self.refresh_peers(now);
        self.start = self.append_own(EntryKind::Noop, Bytes::new());
        self.deadline = now + self.config.election_timeout;
        self.emit(Effect::BecameLeader);
        self.begin_round(now);
    }

    /// Appends an entry of this leader; its index.
    pub(crate) fn append_own(&mut self, kind: EntryKind, payload: Bytes) -> u64 {
        let index = self.log.last() + 1;
        self.push(Entry {
            index,
            term: self.hard_state.term,
            kind: kind as i32,
            payload,
        });
        index
    }

    /// Appends an entry for a caller.
    pub(crate) fn accept(&mut self, id: u64, kind: EntryKind, payload: Bytes) {
        let index = self.append_own(kind, payload);
        let term = self.hard_state.term;
        self.emit(Effect::Accepted { id, index, term });
    }

    pub(crate) fn tick_leader(&mut self, now: Time) {
        if now >= self.deadline {
            self.deadline = now + self.config.election_timeout;
            if !self.hears_quorum(now) {
                self.follow(now, self.hard_state.term, None);
                return;
            }
        }
        if now >= self.beat {
            self.begin_round(now);
        }
    }

    /// Whether a quorum has answered within the election timeout.
    fn hears_quorum(&self, now: Time) -> bool {
        let members = self.members();
        let heard = |p: &&Progress| {
            let voter = members.get(&p.vm).is_some_and(|m| m.voter);
            voter && now.since(p.heard) < self.config.election_timeout
        };
        let others = self.peers.iter().filter(heard).count();
        others + usize::from(self.is_voter()) >= members.quorum()
    }

    /// The largest value that a quorum of voters has reached.
    pub(crate) fn quorum_value(&self, own: u64, of: impl Fn(&Progress) -> u64) -> u64 {
        let members = self.members();
        let value = |vm: &str| {
            let found = self.peers.binary_search_by(|p| p.vm.as_str().cmp(vm));
            found.map_or(0, |at| of(&self.peers[at]))
        };
        let me = self.config.vm.as_str();
        let pick = |vm: &str| if vm == me { own } else { value(vm) };
        let mut values: Vec<u64> = members.voters().map(|m| pick(&m.vm)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let at = members.quorum() - 1;
        values.get(at).copied().unwrap_or(0)
    }

    /// Commits what a quorum has made durable, if it is of this term.
    pub(crate) fn advance_commit(&mut self, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        let index = self.quorum_value(self.durable, |peer| peer.matched);
        if index > self.commit && self.log.term(index) == Some(self.hard_state.term) {
            self.learn_commit(index);
            self.confirm_reads(now);
            self.leave_if_removed(now);
            self.promote_learner(now);
        }
    }

    /// Steps down once this leader's own removal is committed.
    fn leave_if_removed(&mut self, now: Time) {
        let gone = |(at, _)| at <= self.commit && !self.is_voter();
        if self.log.members().is_some_and(gone) {
            // The others learn of the commit before they lose their leader.
            self.send_heartbeats();
            self.follow(now, self.hard_state.term, None);
        }
    }

    /// The place of a peer whose message counts.
    pub(crate) fn known_peer(&mut self, now: Time, from: &VmId, folder_id: u64) -> Option<usize> {
        if self.role != Role::Leader {
            return None;
        }
        let members = self.members();
        let member = members.get(from)?;
        let found = self.peers.binary_search_by(|p| p.vm.cmp(from));
        let at = found.ok()?;
        let peer = &mut self.peers[at];
        if !peer.admits(member, folder_id) {
            return None;
        }
        peer.heard = now;
        Some(at)
    }

    pub(crate) fn append_reply(
        &mut self,
        now: Time,
        from: &VmId,
        folder_id: u64,
        reply: &AppendEntriesReply,
    ) {
        let Some(at) = self.known_peer(now, from, folder_id) else {
            return;
        };
        let peer = &mut self.peers[at];
        peer.round = peer.round.max(reply.round);
        if reply.accepted {
            peer.accept(reply.index);
            self.advance_commit(now);
            self.promote_learner(now);
        } else {
            peer.refuse(reply.index);
        }
        self.confirm_reads(now);
    }

    /// Sends new entries to all replicas that can take more.
    pub(crate) fn replicate(&mut self, _now: Time) {
        for at in 0..self.peers.len() {
            self.replicate_to(at);
        }
    }

    fn replicate_to(&mut self, at: usize) {
        while self.peers[at].next <= self.log.last()
            && self.peers[at].free(self.config.max_inflight)
        {
            if self.peers[at].next <= self.log.base() {
                self.send_part(at);
                return;
            }
            let next = self.peers[at].next;
            let entries = self.log.batch(next, self.config.batch_bytes);
            let last = next + entries.len() as u64 - 1;
            self.send_append(at, entries);
            let peer = &mut self.peers[at];
            peer.flight.push(last);
            if peer.mode == Mode::Pipeline {
                peer.next = last + 1;
            }
        }
    }

    /// Shows all replicas that this leader lives, and repeats what may be lost.
    pub(crate) fn send_heartbeats(&mut self) {
        for at in 0..self.peers.len() {
            let lags = self.peers[at].next <= self.log.base();
            if lags || matches!(self.peers[at].mode, Mode::Snapshot { .. }) {
                self.send_part(at);
                continue;
            }
            if self.peers[at].mode == Mode::Probe {
                self.peers[at].flight.clear();
            }
            self.send_append(at, Vec::new());
        }
    }

    /// Asks the voter that has come furthest to stand for election.
    pub(crate) fn send_handover(&mut self) {
        let members = self.members();
        let voter = |p: &&Progress| members.get(&p.vm).is_some_and(|m| m.voter);
        let best = self.peers.iter().filter(voter).max_by_key(|p| p.matched);
        let Some(vm) = best.map(|p| p.vm.clone()) else {
            return;
        };
        let last_index = self.log.last();
        self.send(&vm, Body::TimeoutNow(TimeoutNow { last_index }));
    }

    fn send_append(&mut self, at: usize, entries: Vec<Entry>) {
        let prev_index = self.peers[at].next - 1;
        let vm = self.peers[at].vm.clone();
        let append = AppendEntries {
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            leader_commit: self.commit,
            round: self.round,
            entries,
        };
        self.send(&vm, Body::AppendEntries(append));
    }

    /// Sends a part of the snapshot.
    pub(crate) fn send_part(&mut self, at: usize) {
        let Some((mode, install)) = self.part(&self.peers[at]) else {
            return;
        };
        let vm = self.peers[at].vm.clone();
        self.peers[at].mode = mode;
        self.peers[at].flight.clear();
        self.send(&vm, Body::InstallSnapshot(install));
    }
}
