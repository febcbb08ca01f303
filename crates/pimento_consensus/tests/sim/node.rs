//! A simulated replica with its disk and replicated state.

use super::ELECTION_TIMEOUT;
use bytes::Bytes;
use pimento_consensus::{Config, Effect, Entry, Member, PersistentState, Raft, Write};
use pimento_core::{Time, VmId};
use std::{collections::VecDeque, time::Duration};

/// A replica with its disk and replicated state.
#[derive(Debug)]
pub struct Node {
    pub vm: VmId,
    pub folder_id: u64,
    pub raft: Option<Raft>,
    /// The members that found the group, at the first start only.
    pub initial_members: Vec<Member>,
    pub min_voters: usize,
    /// Whether the machine was removed for good.
    pub removed: bool,
    /// When the paused replica runs on.
    pub resumes_at: Option<Time>,
    /// The part of the current pause that its clock does not count.
    pub suspends_for: Duration,
    /// The time that its clock did not count.
    pub suspended: Duration,
    /// The content of the disk that is durable.
    pub saved: PersistentState,
    /// The writes that are not synced yet.
    pub pending: VecDeque<Write>,
    /// The replicated state: the last applied entry and a digest of all entries.
    pub applied: u64,
    pub digest: u64,
}

impl Node {
    pub fn new(vm: VmId, folder_id: u64, initial_members: Vec<Member>, min_voters: usize) -> Self {
        Self {
            vm,
            folder_id,
            raft: None,
            initial_members,
            min_voters,
            removed: false,
            resumes_at: None,
            suspends_for: Duration::ZERO,
            suspended: Duration::ZERO,
            saved: PersistentState::default(),
            pending: VecDeque::new(),
            applied: 0,
            digest: 0,
        }
    }

    pub fn start(&mut self, now: Time, seed: u64, production: bool) -> Vec<Effect> {
        let mut config = Config::new(
            self.vm.clone(),
            self.folder_id,
            self.initial_members.clone(),
        );
        config.min_voters = self.min_voters;
        if !production {
            set_test_limits(&mut config);
        }
        (self.applied, self.digest) = (0, 0);
        let (raft, effects) = Raft::new(config, self.saved.clone(), now, seed);
        self.raft = Some(raft);
        effects
    }

    /// The last entry on the disk that is durable.
    pub fn last_durable(&self) -> u64 {
        let base = self.saved.snapshot.as_ref().map_or(0, |s| s.index);
        base + self.saved.entries.len() as u64
    }

    pub fn is_paused(&self) -> bool {
        self.resumes_at.is_some()
    }

    /// The state machine, unless the replica is stopped or paused.
    pub fn running(&mut self) -> Option<&mut Raft> {
        if self.is_paused() {
            return None;
        }
        self.raft.as_mut()
    }

    /// Ends a pause.
    pub fn resume(&mut self) {
        self.resumes_at = None;
        self.suspended += std::mem::take(&mut self.suspends_for);
    }

    /// Crashes the replica; the first `durable` pending writes reached the disk,
    /// and the first `torn_records` records of the next one.
    pub fn crash(&mut self, durable: usize, torn_records: usize) {
        for _ in 0..durable {
            self.sync_next();
        }
        self.tear_next(torn_records);
        self.pending.clear();
        self.resume();
        self.raft = None;
    }

    /// Fails the pending writes, except that the first `durable` and a part of the
    /// next one reached the disk unnoticed.
    pub fn fail_disk(&mut self, durable: usize, torn_records: usize) {
        let Some(raft) = &mut self.raft else { return };
        let rewrite = raft.rewrite();
        for _ in 0..durable {
            self.sync_next();
        }
        self.tear_next(torn_records);
        self.pending.clear();
        self.pending.push_back(rewrite);
    }

    /// Makes the first records of the next write durable: the term and vote, then
    /// the entries. A write with a snapshot replaces the file as a whole.
    fn tear_next(&mut self, records: usize) {
        let Some(write) = self.pending.front_mut() else {
            return;
        };
        if records > 0 && !write.replaces {
            write.entries.truncate(records - 1);
            self.sync_next();
        }
    }

    pub fn replace_disk(&mut self, folder_id: u64) {
        self.saved = PersistentState::default();
        self.folder_id = folder_id;
    }

    /// Syncs a number of writes; returns the sequence number of the last one.
    pub fn sync(&mut self, count: usize) -> u64 {
        (0..count)
            .filter_map(|_| self.sync_next())
            .max()
            .unwrap_or(0)
    }

    fn sync_next(&mut self) -> Option<u64> {
        let write = self.pending.pop_front()?;
        self.saved.hard_state = write.hard_state;
        if write.replaces {
            self.saved.snapshot = write.snapshot;
            self.saved.entries.clear();
        }
        let base = self.saved.snapshot.as_ref().map_or(0, |s| s.index);
        for entry in write.entries {
            let keep = entry.index - base - 1;
            assert!(
                keep <= self.saved.entries.len() as u64,
                "the entries on disk have a gap"
            );
            self.saved.entries.truncate(keep as usize);
            self.saved.entries.push(entry);
        }
        Some(write.seq)
    }

    pub fn apply(&mut self, entry: &Entry) {
        assert_eq!(
            entry.index,
            self.applied + 1,
            "an entry was applied out of order"
        );
        self.applied = entry.index;
        self.digest = digest(self.digest, entry);
    }

    pub fn restore(&mut self, index: u64, data: &Bytes) {
        assert!(index >= self.applied, "an older state was restored");
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&data[..8]);
        self.applied = index;
        self.digest = u64::from_le_bytes(bytes);
    }

    /// The applied index and the encoded state, larger than one snapshot chunk.
    pub fn state(&self) -> (u64, Bytes) {
        let mut data = self.digest.to_le_bytes().to_vec();
        data.resize(600, 0);
        (self.applied, data.into())
    }
}

/// Sets short timeouts, and limits that short schedules reach.
fn set_test_limits(config: &mut Config) {
    config.election_timeout = ELECTION_TIMEOUT;
    config.heartbeat_interval = Duration::from_millis(20);
    config.batch_bytes = 256;
    config.max_inflight = 4;
    config.max_uncommitted = 2_000;
    config.trailing_entries = 10;
}

/// Extends a digest of the log by an entry.
pub fn digest(before: u64, entry: &Entry) -> u64 {
    const PRIME: u64 = 0x0100_0000_01b3;
    let mix = |hash: u64, value: u64| (hash ^ value).wrapping_mul(PRIME).rotate_left(23);
    let head = mix(mix(before, entry.index), entry.term);
    entry
        .payload
        .iter()
        .fold(head, |hash, b| mix(hash, u64::from(*b)))
}
