//! Replication and commits by a leader.

use crate::{
    AppendEntries, AppendEntriesReply, Body, Effect, Entry, EntryKind, Raft, Role, TimeoutNow,
    progress::{Progress, ReplicationMode},
};
use bytes::Bytes;
use pimento_core::{Time, VmId};

impl Raft {
    /// Becomes leader and appends a no-op entry of the new term.
    pub(crate) fn become_leader(&mut self, now: Time) {
        self.role = Role::Leader;
        self.leader = Some(self.config.vm.clone());
        self.granted_votes.clear();
        self.peers.clear();
        self.round = 0;
        self.pending_reads.drain();
        self.refresh_peers(now);
        self.term_start = self.append_entry(EntryKind::Noop, Bytes::new());
        self.deadline = now + self.config.election_timeout;
        self.emit(Effect::BecameLeader);
        self.start_heartbeat_round(now);
    }

    /// Appends an entry of the current term; returns its index.
    pub(crate) fn append_entry(&mut self, kind: EntryKind, payload: Bytes) -> u64 {
        let index = self.log.last_index() + 1;
        self.append_to_log(Entry {
            index,
            term: self.hard_state.term,
            kind: kind as i32,
            payload,
        });
        index
    }

    /// Appends an entry for a request and reports where.
    pub(crate) fn append_for_request(&mut self, id: u64, kind: EntryKind, payload: Bytes) {
        let index = self.append_entry(kind, payload);
        let term = self.hard_state.term;
        self.emit(Effect::Accepted { id, index, term });
    }

    pub(crate) fn tick_leader(&mut self, now: Time) {
        if now >= self.deadline {
            self.deadline = now + self.config.election_timeout;
            if !self.has_quorum_contact(now) {
                self.become_follower(now, self.hard_state.term, None);
                return;
            }
        }
        if now >= self.heartbeat_due {
            self.start_heartbeat_round(now);
        }
    }

    /// Whether a quorum was heard from within the election timeout.
    pub(crate) fn has_quorum_contact(&self, now: Time) -> bool {
        let members = self.members();
        let is_active_voter = |p: &&Progress| {
            let voter = members.get(&p.vm).is_some_and(|m| m.voter);
            voter && now.since(p.last_heard) < self.config.election_timeout
        };
        let others = self.peers.iter().filter(is_active_voter).count();
        others + usize::from(self.is_voter()) >= members.quorum()
    }

    /// The largest value that a quorum of voters has reached, given this
    /// replica's own value and a function for those of its peers.
    pub(crate) fn quorum_value(
        &self,
        own_value: u64,
        peer_value: impl Fn(&Progress) -> u64,
    ) -> u64 {
        let members = self.members();
        let peer = |vm: &str| {
            let found = self.peers.binary_search_by(|p| p.vm.as_str().cmp(vm));
            found.map_or(0, |at| peer_value(&self.peers[at]))
        };
        let own_vm = self.config.vm.as_str();
        let value = |vm: &str| if vm == own_vm { own_value } else { peer(vm) };
        let mut values: Vec<u64> = members.voters().map(|m| value(&m.vm)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let at = members.quorum() - 1;
        values.get(at).copied().unwrap_or(0)
    }

    /// Commits the entries that a quorum has made durable, if the last of them
    /// is of the current term.
    pub(crate) fn advance_commit(&mut self, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        let index = self.quorum_value(self.durable_index, |peer| peer.match_index);
        if index > self.commit_index && self.log.term_at(index) == Some(self.hard_state.term) {
            self.commit_up_to(index);
            self.confirm_reads(now);
            self.step_down_if_removed(now);
            self.promote_learner(now);
        }
    }

    /// Steps down once the removal of this leader from the members is committed.
    fn step_down_if_removed(&mut self, now: Time) {
        let removed = |(at, _)| at <= self.commit_index && !self.is_voter();
        if self.log.newest_members().is_some_and(removed) {
            // The followers learn of the commit before the leader steps down.
            self.send_heartbeats();
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    /// Records that a message from a peer arrived; returns the position of the
    /// peer, or `None` if its messages must be ignored.
    pub(crate) fn record_peer_contact(
        &mut self,
        now: Time,
        from: &VmId,
        folder_id: u64,
    ) -> Option<usize> {
        if self.role != Role::Leader {
            return None;
        }
        let members = self.members();
        let member = members.get(from)?;
        let found = self.peers.binary_search_by(|p| p.vm.cmp(from));
        let at = found.ok()?;
        let peer = &mut self.peers[at];
        if !peer.check_folder(member, folder_id) {
            return None;
        }
        peer.last_heard = now;
        Some(at)
    }

    pub(crate) fn handle_append_reply(
        &mut self,
        now: Time,
        from: &VmId,
        folder_id: u64,
        reply: &AppendEntriesReply,
    ) {
        let Some(at) = self.record_peer_contact(now, from, folder_id) else {
            return;
        };
        let peer = &mut self.peers[at];
        peer.round = peer.round.max(reply.round);
        if reply.accepted {
            peer.record_match(reply.index);
            self.advance_commit(now);
            self.promote_learner(now);
        } else {
            peer.record_mismatch(reply.index);
        }
        self.confirm_reads(now);
    }

    /// Sends new entries to all peers that may be sent more.
    pub(crate) fn replicate(&mut self, _now: Time) {
        for at in 0..self.peers.len() {
            self.replicate_to(at);
        }
    }

    fn replicate_to(&mut self, at: usize) {
        while self.peers[at].next_index <= self.log.last_index()
            && self.peers[at].can_send(self.config.max_inflight)
        {
            if self.peers[at].next_index <= self.log.base_index() {
                self.send_snapshot_chunk(at);
                return;
            }
            let next = self.peers[at].next_index;
            let entries = self.log.batch_from(next, self.config.batch_bytes);
            let last = next + entries.len() as u64 - 1;
            self.send_append(at, entries);
            let peer = &mut self.peers[at];
            peer.inflight.push(last);
            if peer.mode == ReplicationMode::Pipeline {
                peer.next_index = last + 1;
            }
        }
    }

    /// Sends heartbeats to all peers, and resends what may have been lost.
    pub(crate) fn send_heartbeats(&mut self) {
        for at in 0..self.peers.len() {
            let needs_snapshot = self.peers[at].next_index <= self.log.base_index();
            if needs_snapshot || matches!(self.peers[at].mode, ReplicationMode::Snapshot { .. }) {
                self.send_snapshot_chunk(at);
                continue;
            }
            if self.peers[at].mode == ReplicationMode::Probe {
                self.peers[at].inflight.clear();
            }
            self.send_append(at, Vec::new());
        }
    }

    /// Asks the most up-to-date voter to start an election.
    pub(crate) fn send_timeout_now(&mut self) {
        let members = self.members();
        let is_voter = |p: &&Progress| members.get(&p.vm).is_some_and(|m| m.voter);
        let best = self
            .peers
            .iter()
            .filter(is_voter)
            .max_by_key(|p| p.match_index);
        let Some(vm) = best.map(|p| p.vm.clone()) else {
            return;
        };
        let last_index = self.log.last_index();
        self.send(&vm, Body::TimeoutNow(TimeoutNow { last_index }));
    }

    fn send_append(&mut self, at: usize, entries: Vec<Entry>) {
        let prev_index = self.peers[at].next_index - 1;
        let vm = self.peers[at].vm.clone();
        let append = AppendEntries {
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or(0),
            leader_commit: self.commit_index,
            round: self.round,
            entries,
        };
        self.send(&vm, Body::AppendEntries(append));
    }

    /// Sends a chunk of the snapshot.
    pub(crate) fn send_snapshot_chunk(&mut self, at: usize) {
        let Some((mode, install)) = self.snapshot_chunk(&self.peers[at]) else {
            return;
        };
        let vm = self.peers[at].vm.clone();
        self.peers[at].mode = mode;
        self.peers[at].inflight.clear();
        self.send(&vm, Body::InstallSnapshot(install));
    }
}
