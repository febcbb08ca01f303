//! The replica and its public operations.

use crate::{
    Body, Change, Config, Effect, Entry, EntryKind, HardState, Members, Message, PersistentState,
    RejectReason, Role, Snapshot, Status, Write, log::Log, progress::Progress, reads::Reads,
    snapshot::Partial,
};
use bytes::Bytes;
use pimento_core::{Time, VmId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::VecDeque, time::Duration};

/// A replica of the log.
///
/// Every operation takes the time first and returns what the shell must do. An
/// acknowledgement leaves only after [`Raft::record_synced`] said that what it
/// promises is durable.
#[derive(Debug)]
pub struct Raft {
    pub(crate) config: Config,
    pub(crate) rng: SmallRng,
    pub(crate) role: Role,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) commit: u64,
    pub(crate) leader: Option<VmId>,
    /// The newest message from the leader.
    pub(crate) heard: Time,
    /// When an election begins, or a leader checks its quorum.
    pub(crate) deadline: Time,
    /// When the next heartbeat is due.
    pub(crate) beat: Time,
    /// Replicas that granted a vote, sorted.
    pub(crate) votes: Vec<VmId>,
    /// The write that holds this candidate's own vote.
    pub(crate) own_vote: u64,
    /// Replicas that know of no group, while this one waits to found it.
    pub(crate) unfounded: Vec<VmId>,
    pub(crate) founding: bool,
    /// The last entry that equals the current leader's.
    pub(crate) verified: u64,
    /// The newest round of the current leader.
    pub(crate) round: u64,
    pub(crate) partial: Option<Partial>,
    /// The other members, sorted by name, while leading.
    pub(crate) peers: Vec<Progress>,
    /// The entry that began this leader's term.
    pub(crate) start: u64,
    pub(crate) reads: Reads,
    /// The last entry that is durable here.
    pub(crate) durable: u64,
    seq: u64,
    synced: u64,
    /// The write that holds the newest term and vote.
    hard_seq: u64,
    /// The last entry of each write that is under way.
    writes: VecDeque<(u64, u64)>,
    /// Messages that wait for a write.
    held: VecDeque<(u64, VmId, Message)>,
    /// What the current operation must make durable.
    dirty: bool,
    pub(crate) unsaved: Vec<Entry>,
    pub(crate) replaced: bool,
    effects: Vec<Effect>,
}

impl Raft {
    /// Starts a replica from what it had saved.
    pub fn new(
        config: Config,
        saved: PersistentState,
        now: Time,
        seed: u64,
    ) -> (Self, Vec<Effect>) {
        let fresh = saved.is_empty();
        let commit = saved.snapshot.as_ref().map_or(0, |s| s.index);
        let log = Log::new(saved.snapshot, saved.entries);
        let first = config.initial_members.iter().map(|m| m.vm.as_str()).min();
        let founding = fresh && first == Some(config.vm.as_str());
        let mut raft = Self {
            rng: SmallRng::seed_from_u64(seed),
            role: Role::Follower,
            hard_state: saved.hard_state,
            durable: log.last(),
            commit,
            leader: None,
            heard: now,
            deadline: now,
            beat: now,
            votes: Vec::new(),
            own_vote: 0,
            unfounded: Vec::new(),
            founding,
            verified: 0,
            round: 0,
            partial: None,
            peers: Vec::new(),
            start: 0,
            reads: Reads::default(),
            seq: 0,
            synced: 0,
            hard_seq: 0,
            writes: VecDeque::new(),
            held: VecDeque::new(),
            dirty: false,
            unsaved: Vec::new(),
            replaced: false,
            effects: Vec::new(),
            log,
            config,
        };
        if let Some(snapshot) = &raft.log.snapshot {
            let (index, data) = (snapshot.index, snapshot.data.clone());
            raft.effects.push(Effect::Restore { index, data });
        }
        raft.rearm_first(now);
        raft.maybe_found(now);
        let effects = raft.finish(now);
        (raft, effects)
    }

    /// Lets time pass; call it each few tens of milliseconds.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        match self.role {
            Role::Leader => self.tick_leader(now),
            _ => self.tick_follower(now),
        }
        self.finish(now)
    }

    /// Takes a message from another replica.
    pub fn receive(&mut self, now: Time, from: &VmId, message: Message) -> Vec<Effect> {
        let Message {
            term,
            folder_id,
            body,
        } = message;
        let Some(body) = body else {
            return Vec::new();
        };
        if self.admit(now, from, term, &body) {
            self.dispatch(now, from, folder_id, term, body);
        }
        self.finish(now)
    }

    fn dispatch(&mut self, now: Time, from: &VmId, folder_id: u64, term: u64, body: Body) {
        match body {
            Body::RequestVote(vote) => self.vote(now, from, term, &vote),
            Body::RequestVoteReply(reply) => self.vote_reply(now, from, folder_id, term, &reply),
            Body::AppendEntries(append) => self.append(now, from, append),
            Body::AppendEntriesReply(reply) => self.append_reply(now, from, folder_id, &reply),
            Body::InstallSnapshot(install) => self.install(now, from, install),
            Body::InstallSnapshotReply(reply) => self.install_reply(now, from, folder_id, &reply),
            Body::BootstrapProbe(hello) => self.hello(now, from, &hello),
            Body::TimeoutNow(handover) => self.take_over(now, from, &handover),
        }
    }

    /// Takes a command for the replicated state.
    ///
    /// The answer is [`Effect::Accepted`] or [`Effect::Rejected`].
    pub fn propose(&mut self, now: Time, id: u64, payload: Bytes) -> Vec<Effect> {
        match self.refusal() {
            Some(reason) => self.effects.push(Effect::Rejected { id, reason }),
            None => self.accept(id, EntryKind::Command, payload),
        }
        self.finish(now)
    }

    /// Asks when the state as applied here is current.
    ///
    /// The answer is [`Effect::ReadReady`], once a quorum has confirmed that this
    /// replica still led after the call, or [`Effect::Rejected`].
    pub fn read_index(&mut self, now: Time, id: u64) -> Vec<Effect> {
        if self.role == Role::Leader {
            self.begin_read(now, id);
        } else {
            let leader = self.leader.clone();
            let reason = RejectReason::NotLeader { leader };
            self.effects.push(Effect::Rejected { id, reason });
        }
        self.finish(now)
    }

    /// Changes the members of the group, one at a time.
    ///
    /// The answer is [`Effect::Accepted`] or [`Effect::Rejected`].
    pub fn change_members(&mut self, now: Time, id: u64, change: Change) -> Vec<Effect> {
        self.begin_change(now, id, change);
        self.finish(now)
    }

    /// Asks the replica that has come furthest to take over, before a planned
    /// stop; this one goes on until that one is elected.
    pub fn transfer_leadership(&mut self, now: Time) -> Vec<Effect> {
        if self.role == Role::Leader {
            self.send_handover();
        }
        self.finish(now)
    }

    /// Notes that all writes up to a number are durable.
    pub fn record_synced(&mut self, now: Time, seq: u64) -> Vec<Effect> {
        self.synced = self.synced.max(seq);
        let before = self.durable;
        while let Some((done, last)) = self.writes.front().copied()
            && done <= self.synced
        {
            self.durable = last;
            self.writes.pop_front();
        }
        self.release_held();
        if self.own_vote != 0 && self.own_vote <= self.synced {
            self.own_vote = 0;
            self.count_vote(now, &self.config.vm.clone());
        }
        if self.role == Role::Leader {
            self.advance_commit(now);
        } else if self.durable != before {
            self.acknowledge();
        }
        self.finish(now)
    }

    /// Takes a snapshot of the state as of an applied entry, so that older
    /// entries can be dropped.
    pub fn compact(&mut self, now: Time, index: u64, data: Bytes) -> Vec<Effect> {
        let newer = self.log.snapshot.as_ref().is_none_or(|s| s.index < index);
        if newer && index <= self.commit {
            let trail = self.config.trailing_entries;
            self.replaced = self.log.compact(index, data, trail).is_some();
        }
        self.finish(now)
    }

    /// This replica's view of the group, which may be stale.
    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            leader: self.leader.clone(),
            term: self.hard_state.term,
            commit_index: self.commit,
            last_index: self.log.last(),
            members: self.members(),
            members_committed: self.changed_at() <= self.commit,
        }
    }

    /// The newest snapshot, if any.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.log.snapshot.as_ref()
    }

    /// The members by the newest entry in the log.
    pub fn members(&self) -> Members {
        let newest = self.log.members();
        newest
            .map(|(_, members)| members.clone())
            .unwrap_or_default()
    }

    /// When the group was restored from a backup, or 0.
    pub fn restored_at(&self) -> u64 {
        self.log
            .members()
            .map_or(0, |(_, members)| members.restored_at)
    }

    /// Whether this replica votes in the group that it knows.
    pub(crate) fn is_voter(&self) -> bool {
        let newest = self.log.members();
        newest.is_some_and(|(_, m)| m.is_voter(&self.config.vm, self.config.folder_id))
    }

    pub(crate) fn quorum(&self) -> usize {
        self.log.members().map_or(usize::MAX, |(_, m)| m.quorum())
    }

    pub(crate) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Sends a message that promises nothing.
    pub(crate) fn send(&mut self, to: &VmId, body: Body) {
        self.send_as(to, self.hard_state.term, body);
    }

    pub(crate) fn send_as(&mut self, to: &VmId, term: u64, body: Body) {
        let message = self.message(term, body);
        let to = to.clone();
        self.effects.push(Effect::Send { to, message });
    }

    /// Sends a message once all that it rests on is durable.
    pub(crate) fn send_held(&mut self, to: &VmId, body: Body) {
        let message = self.message(self.hard_state.term, body);
        let seq = if self.dirty { self.seq + 1 } else { self.seq };
        if seq <= self.synced {
            let to = to.clone();
            self.effects.push(Effect::Send { to, message });
        } else {
            self.held.push_back((seq, to.clone(), message));
        }
    }

    fn message(&self, term: u64, body: Body) -> Message {
        Message {
            term,
            folder_id: self.config.folder_id,
            body: Some(body),
        }
    }

    fn release_held(&mut self) {
        while let Some((seq, ..)) = self.held.front()
            && *seq <= self.synced
        {
            let Some((_, to, message)) = self.held.pop_front() else {
                return;
            };
            self.effects.push(Effect::Send { to, message });
        }
    }

    /// Changes the term or vote; the number is that of the write to come.
    pub(crate) fn set_hard(&mut self, term: u64, vote: &str) -> u64 {
        self.hard_state = HardState {
            term,
            vote: vote.to_owned(),
        };
        self.dirty = true;
        self.hard_seq = self.seq + 1;
        self.hard_seq
    }

    /// Whether the newest term and vote are durable.
    pub(crate) fn hard_synced(&self) -> bool {
        self.hard_seq <= self.synced
    }

    /// Whether the current operation has something to write.
    pub(crate) fn is_dirty(&self) -> bool {
        self.dirty || self.replaced
    }

    /// Appends an entry here; the write follows at the end of the operation.
    pub(crate) fn push(&mut self, entry: Entry) {
        let before = entry.index - 1;
        self.forget_after(before);
        self.unsaved.push(entry.clone());
        self.log.push(entry);
        self.dirty = true;
    }

    /// Takes back what is known to be durable after an index.
    pub(crate) fn forget_after(&mut self, index: u64) {
        self.durable = self.durable.min(index);
        for (_, last) in &mut self.writes {
            *last = (*last).min(index);
        }
    }

    /// A silence of random length, after which an election begins.
    pub(crate) fn rearm(&mut self, now: Time) {
        let span = self.config.election_timeout.as_micros() as u64;
        let extra = self.rng.random_range(0..span.max(1));
        self.deadline = now + self.config.election_timeout + Duration::from_micros(extra);
    }

    /// A short silence after the start, since all replicas may have stopped; a
    /// leader that lives is not disturbed by a pre-vote.
    fn rearm_first(&mut self, now: Time) {
        let span = self.config.election_timeout.as_micros() as u64;
        let wait = self.rng.random_range(span / 4..span.max(2));
        self.deadline = now + Duration::from_micros(wait);
    }

    /// Ends an operation: sends what is new, then writes, in one go each.
    fn finish(&mut self, now: Time) -> Vec<Effect> {
        if self.role == Role::Leader {
            self.replicate(now);
        }
        if self.dirty || self.replaced {
            let write = self.write();
            self.effects.insert(0, Effect::Persist(write));
        }
        std::mem::take(&mut self.effects)
    }

    fn write(&mut self) -> Write {
        self.seq += 1;
        self.dirty = false;
        self.writes.push_back((self.seq, self.log.last()));
        let mut entries = std::mem::take(&mut self.unsaved);
        let mut snapshot = None;
        if std::mem::take(&mut self.replaced) {
            snapshot.clone_from(&self.log.snapshot);
            let after = snapshot.as_ref().map_or(0, |s| s.index);
            entries = self.log.from(after + 1).to_vec();
        }
        Write {
            seq: self.seq,
            hard_state: self.hard_state.clone(),
            snapshot,
            entries,
        }
    }
}
