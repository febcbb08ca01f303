//! The replica and its public operations.

use crate::{
    Body, Config, Effect, Entry, EntryKind, HardState, MemberChange, Members, Message,
    PersistentState, RejectReason, Role, Snapshot, Status, Write, log::Log, progress::Progress,
    reads::PendingReads, snapshot::PartialSnapshot,
};
use bytes::Bytes;
use pimento_core::{Time, VmId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::VecDeque, time::Duration};

/// A replica of the log.
///
/// Every operation takes the current time first and returns effects for the
/// caller to carry out. An acknowledgement is sent only after
/// [`Raft::record_synced`] has confirmed that what it promises is durable.
#[derive(Debug)]
pub struct Raft {
    pub(crate) config: Config,
    pub(crate) rng: SmallRng,
    pub(crate) role: Role,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) commit_index: u64,
    pub(crate) leader: Option<VmId>,
    /// When the newest message from the leader arrived.
    pub(crate) last_heard: Time,
    /// When the election timer fires; a leader checks for a quorum then.
    pub(crate) deadline: Time,
    /// When the next heartbeat is due.
    pub(crate) heartbeat_due: Time,
    /// The replicas that granted a vote, sorted.
    pub(crate) granted_votes: Vec<VmId>,
    /// The write that contains this candidate's own vote, or 0.
    pub(crate) vote_seq: u64,
    /// The replicas that reported that they know of no group, sorted.
    pub(crate) probe_replies: Vec<VmId>,
    /// Whether this replica waits for such reports to bootstrap the group.
    pub(crate) bootstrapping: bool,
    /// The last entry known to match the current leader's log.
    pub(crate) verified_index: u64,
    /// The newest heartbeat round of the current leader.
    pub(crate) round: u64,
    pub(crate) partial_snapshot: Option<PartialSnapshot>,
    /// The other members, sorted by name, while leading.
    pub(crate) peers: Vec<Progress>,
    /// The no-op entry that this leader appended when it was elected.
    pub(crate) term_start: u64,
    pub(crate) pending_reads: PendingReads,
    /// The last entry that is durable here.
    pub(crate) durable_index: u64,
    /// The newest write.
    write_seq: u64,
    /// The last write that is durable.
    synced_seq: u64,
    /// The write that contains the newest term and vote.
    hard_seq: u64,
    /// Each write in progress, with the last entry of the log after it.
    pending_writes: VecDeque<(u64, u64)>,
    /// Messages to send once a write is durable.
    pending_messages: VecDeque<(u64, VmId, Message)>,
    /// Whether the current operation changed the hard state or the log.
    dirty: bool,
    /// The entries that the current operation appended.
    pub(crate) unsaved_entries: Vec<Entry>,
    /// Whether the next write contains the whole persistent state, since the
    /// snapshot was replaced or an earlier write failed.
    pub(crate) rewrites_all: bool,
    effects: Vec<Effect>,
}

impl Raft {
    /// Starts a replica from its persistent state.
    pub fn new(
        config: Config,
        mut saved: PersistentState,
        now: Time,
        seed: u64,
    ) -> (Self, Vec<Effect>) {
        if saved.is_torn_bootstrap(&config.vm) {
            saved.hard_state = HardState::default();
        }
        let fresh = saved.is_empty();
        let commit_index = saved.snapshot.as_ref().map_or(0, |s| s.index);
        let log = Log::new(saved.snapshot, saved.entries);
        let first = config.initial_members.iter().map(|m| m.vm.as_str()).min();
        let bootstrapping = fresh && first == Some(config.vm.as_str());
        let mut raft = Self {
            rng: SmallRng::seed_from_u64(seed),
            role: Role::Follower,
            hard_state: saved.hard_state,
            durable_index: log.last_index(),
            commit_index,
            leader: None,
            last_heard: now,
            deadline: now,
            heartbeat_due: now,
            granted_votes: Vec::new(),
            vote_seq: 0,
            probe_replies: Vec::new(),
            bootstrapping,
            verified_index: 0,
            round: 0,
            partial_snapshot: None,
            peers: Vec::new(),
            term_start: 0,
            pending_reads: PendingReads::default(),
            write_seq: 0,
            synced_seq: 0,
            hard_seq: 0,
            pending_writes: VecDeque::new(),
            pending_messages: VecDeque::new(),
            dirty: false,
            unsaved_entries: Vec::new(),
            rewrites_all: false,
            effects: Vec::new(),
            log,
            config,
        };
        if let Some(snapshot) = &raft.log.snapshot {
            let (index, data) = (snapshot.index, snapshot.data.clone());
            raft.effects.push(Effect::Restore { index, data });
        }
        raft.start_first_election_timer(now);
        raft.maybe_bootstrap(now);
        let effects = raft.finish(now);
        (raft, effects)
    }

    /// Runs the timers; call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        match self.role {
            Role::Leader => self.tick_leader(now),
            _ => self.tick_follower(now),
        }
        self.finish(now)
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, now: Time, from: &VmId, message: Message) -> Vec<Effect> {
        let Message {
            term,
            folder_id,
            body,
        } = message;
        let Some(body) = body else {
            return Vec::new();
        };
        if self.check_term(now, from, term, &body) {
            self.dispatch(now, from, folder_id, term, body);
        }
        self.finish(now)
    }

    fn dispatch(&mut self, now: Time, from: &VmId, folder_id: u64, term: u64, body: Body) {
        match body {
            Body::RequestVote(request) => self.handle_request_vote(now, from, term, &request),
            Body::RequestVoteReply(reply) => {
                self.handle_request_vote_reply(now, from, folder_id, term, &reply);
            }
            Body::AppendEntries(append) => self.handle_append(now, from, append),
            Body::AppendEntriesReply(reply) => {
                self.handle_append_reply(now, from, folder_id, &reply);
            }
            Body::InstallSnapshot(install) => self.handle_install(now, from, install),
            Body::InstallSnapshotReply(reply) => {
                self.handle_install_reply(now, from, folder_id, &reply);
            }
            Body::BootstrapProbe(probe) => self.handle_bootstrap_probe(now, from, &probe),
            Body::TimeoutNow(request) => self.handle_timeout_now(now, from, &request),
        }
    }

    /// Proposes a command for the replicated state.
    ///
    /// The outcome is [`Effect::Accepted`] or [`Effect::Rejected`].
    pub fn propose(&mut self, now: Time, id: u64, payload: Bytes) -> Vec<Effect> {
        match self.reject_reason() {
            Some(reason) => self.effects.push(Effect::Rejected { id, reason }),
            None => self.append_for_request(id, EntryKind::Command, payload),
        }
        self.finish(now)
    }

    /// Starts a linearizable read of the state applied here.
    ///
    /// The outcome is [`Effect::ReadReady`], once a quorum has confirmed that
    /// this replica was still the leader after the call, or
    /// [`Effect::Rejected`].
    pub fn read_index(&mut self, now: Time, id: u64) -> Vec<Effect> {
        if self.role == Role::Leader {
            self.enqueue_read(now, id);
        } else {
            let leader = self.leader.clone();
            let reason = RejectReason::NotLeader { leader };
            self.effects.push(Effect::Rejected { id, reason });
        }
        self.finish(now)
    }

    /// Changes the members of the group, one at a time.
    ///
    /// The outcome is [`Effect::Accepted`] or [`Effect::Rejected`].
    pub fn change_members(&mut self, now: Time, id: u64, change: MemberChange) -> Vec<Effect> {
        self.handle_change(now, id, change);
        self.finish(now)
    }

    /// Asks the most up-to-date voter to take over, before a graceful shutdown;
    /// this replica stays leader until the other one is elected.
    pub fn transfer_leadership(&mut self, now: Time) -> Vec<Effect> {
        if self.role == Role::Leader {
            self.send_timeout_now();
        }
        self.finish(now)
    }

    /// Records that all writes up to a sequence number are durable.
    pub fn record_synced(&mut self, now: Time, seq: u64) -> Vec<Effect> {
        self.synced_seq = self.synced_seq.max(seq);
        let previous = self.durable_index;
        while let Some((write_seq, last)) = self.pending_writes.front().copied()
            && write_seq <= self.synced_seq
        {
            self.durable_index = last;
            self.pending_writes.pop_front();
        }
        self.release_pending_messages();
        if self.vote_seq != 0 && self.vote_seq <= self.synced_seq {
            self.vote_seq = 0;
            self.record_vote(now, &self.config.vm.clone());
        }
        if self.role == Role::Leader {
            self.advance_commit(now);
        } else if self.durable_index != previous {
            self.send_ack();
        }
        self.finish(now)
    }

    /// Returns a write of the whole persistent state, which supersedes all earlier
    /// ones. A caller whose write failed can't know what of it reached the disk.
    pub fn rewrite(&mut self) -> Write {
        self.rewrites_all = true;
        self.take_write()
    }

    /// Stores a snapshot of the state as of an applied entry and drops older
    /// entries.
    pub fn compact(&mut self, now: Time, index: u64, data: Bytes) -> Vec<Effect> {
        let newer = self.log.snapshot.as_ref().is_none_or(|s| s.index < index);
        if newer && index <= self.commit_index {
            let trailing = self.config.trailing_entries;
            self.rewrites_all = self.log.compact(index, data, trailing).is_some();
        }
        self.finish(now)
    }

    /// This replica's view of the group, which may be stale.
    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            leader: self.leader.clone(),
            term: self.hard_state.term,
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            members: self.members(),
            members_committed: self.members_index() <= self.commit_index,
        }
    }

    /// The newest snapshot, if any.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.log.snapshot.as_ref()
    }

    /// The members as set by the newest membership entry in the log.
    pub fn members(&self) -> Members {
        let newest = self.log.newest_members();
        newest
            .map(|(_, members)| members.clone())
            .unwrap_or_default()
    }

    /// When the group was restored from a backup, or 0; see
    /// [`Members::restored_at`].
    pub fn restored_at(&self) -> u64 {
        self.log
            .newest_members()
            .map_or(0, |(_, members)| members.restored_at)
    }

    /// Whether this replica is a voter in the newest members that it knows.
    pub(crate) fn is_voter(&self) -> bool {
        let newest = self.log.newest_members();
        newest.is_some_and(|(_, m)| m.is_voter(&self.config.vm, self.config.folder_id))
    }

    pub(crate) fn quorum(&self) -> usize {
        self.log
            .newest_members()
            .map_or(usize::MAX, |(_, m)| m.quorum())
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Sends a message at once, since it depends on no pending write.
    pub(crate) fn send(&mut self, to: &VmId, body: Body) {
        self.send_with_term(to, self.hard_state.term, body);
    }

    pub(crate) fn send_with_term(&mut self, to: &VmId, term: u64, body: Body) {
        let message = self.message(term, body);
        let to = to.clone();
        self.effects.push(Effect::Send { to, message });
    }

    /// Sends a message once all current changes are durable.
    pub(crate) fn send_after_sync(&mut self, to: &VmId, body: Body) {
        let message = self.message(self.hard_state.term, body);
        let seq = if self.dirty {
            self.write_seq + 1
        } else {
            self.write_seq
        };
        if seq <= self.synced_seq {
            let to = to.clone();
            self.effects.push(Effect::Send { to, message });
        } else {
            self.pending_messages.push_back((seq, to.clone(), message));
        }
    }

    fn message(&self, term: u64, body: Body) -> Message {
        Message {
            term,
            folder_id: self.config.folder_id,
            body: Some(body),
        }
    }

    fn release_pending_messages(&mut self) {
        while let Some((seq, ..)) = self.pending_messages.front()
            && *seq <= self.synced_seq
        {
            let Some((_, to, message)) = self.pending_messages.pop_front() else {
                return;
            };
            self.effects.push(Effect::Send { to, message });
        }
    }

    /// Changes the term or vote; returns the sequence number of the write that
    /// will contain the change.
    pub(crate) fn set_hard_state(&mut self, term: u64, vote: &str) -> u64 {
        self.hard_state = HardState {
            term,
            vote: vote.to_owned(),
        };
        self.dirty = true;
        self.hard_seq = self.write_seq + 1;
        self.hard_seq
    }

    /// Whether the newest term and vote are durable.
    pub(crate) fn is_hard_state_durable(&self) -> bool {
        self.hard_seq <= self.synced_seq
    }

    /// Whether the current operation has changes to persist.
    pub(crate) fn is_dirty(&self) -> bool {
        self.dirty || self.rewrites_all
    }

    /// Appends an entry to the log; it is persisted when the operation ends.
    pub(crate) fn append_to_log(&mut self, entry: Entry) {
        let previous = entry.index - 1;
        self.unmark_durable_after(previous);
        self.unsaved_entries.push(entry.clone());
        self.log.push(entry);
        self.dirty = true;
    }

    /// Marks all entries after an index as not durable.
    pub(crate) fn unmark_durable_after(&mut self, index: u64) {
        self.durable_index = self.durable_index.min(index);
        for (_, last) in &mut self.pending_writes {
            *last = (*last).min(index);
        }
    }

    /// Restarts the election timer with a random timeout.
    pub(crate) fn reset_election_timer(&mut self, now: Time) {
        let span = self.config.election_timeout.as_micros() as u64;
        let jitter = self.rng.random_range(0..span.max(1));
        self.deadline = now + self.config.election_timeout + Duration::from_micros(jitter);
    }

    /// Starts the election timer with a shorter timeout after a start, since all
    /// replicas may have been down; a pre-vote does not disturb a live leader.
    fn start_first_election_timer(&mut self, now: Time) {
        let span = self.config.election_timeout.as_micros() as u64;
        let wait = self.rng.random_range(span / 4..span.max(2));
        self.deadline = now + Duration::from_micros(wait);
    }

    /// Ends an operation: replicates new entries and emits all changes to
    /// persist as one write.
    fn finish(&mut self, now: Time) -> Vec<Effect> {
        if self.role == Role::Leader {
            self.replicate(now);
        }
        if self.dirty || self.rewrites_all {
            let write = self.take_write();
            self.effects.insert(0, Effect::Persist(write));
        }
        std::mem::take(&mut self.effects)
    }

    fn take_write(&mut self) -> Write {
        self.write_seq += 1;
        self.dirty = false;
        self.pending_writes
            .push_back((self.write_seq, self.log.last_index()));
        let mut entries = std::mem::take(&mut self.unsaved_entries);
        let mut snapshot = None;
        let replaces = std::mem::take(&mut self.rewrites_all);
        if replaces {
            snapshot.clone_from(&self.log.snapshot);
            let after = snapshot.as_ref().map_or(0, |s| s.index);
            entries = self.log.entries_from(after + 1).to_vec();
        }
        Write {
            seq: self.write_seq,
            replaces,
            hard_state: self.hard_state.clone(),
            snapshot,
            entries,
        }
    }
}
