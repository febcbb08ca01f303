//! The log of a replica in memory.

use crate::{Entry, EntryKind, Members, Snapshot};
use bytes::Bytes;
use prost::Message as _;

/// The entries that are kept, the snapshot, and the members by entry.
#[derive(Debug)]
pub(crate) struct Log {
    /// The newest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// The entry before the first one kept.
    base: u64,
    /// The term of that entry.
    base_term: u64,
    /// The entries after the base.
    entries: Vec<Entry>,
    /// The members by the index of the entry that set them, ascending.
    history: Vec<(u64, Members)>,
}

impl Log {
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot: None,
            base: 0,
            base_term: 0,
            entries: Vec::new(),
            history: Vec::new(),
        };
        if let Some(snapshot) = snapshot {
            log.reset(snapshot);
        }
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) fn base(&self) -> u64 {
        self.base
    }

    pub(crate) fn last(&self) -> u64 {
        self.base + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base_term, |e| e.term)
    }

    /// The term of an entry, if it is known.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// The entries from an index on.
    pub(crate) fn from(&self, index: u64) -> &[Entry] {
        let at = index.saturating_sub(self.base + 1);
        let at = usize::try_from(at).unwrap_or(usize::MAX);
        self.entries.get(at..).unwrap_or_default()
    }

    /// The entries from an index on, up to some payload bytes but at least one.
    pub(crate) fn batch(&self, index: u64, limit: usize) -> Vec<Entry> {
        let mut size = 0;
        let fits = |e: &&Entry| {
            let first = size == 0;
            size += e.payload.len() + ENTRY_OVERHEAD;
            first || size <= limit
        };
        self.from(index).iter().take_while(fits).cloned().collect()
    }

    /// Appends an entry, in place of the entry with its index and all later
    /// ones.
    pub(crate) fn push(&mut self, entry: Entry) {
        self.truncate(entry.index);
        if entry.index != self.last() + 1 {
            return;
        }
        if entry.kind == EntryKind::Members as i32
            && let Ok(members) = Members::decode(entry.payload.clone())
        {
            self.history.push((entry.index, members));
        }
        self.entries.push(entry);
    }

    /// Removes the entry with an index and all later ones.
    fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.history.retain(|(at, _)| *at < index);
    }

    /// The newest members, and the index of the entry that set them.
    pub(crate) fn members(&self) -> Option<(u64, &Members)> {
        self.history.last().map(|(at, members)| (*at, members))
    }

    /// The members in force after an entry.
    pub(crate) fn members_at(&self, index: u64) -> Members {
        let found = self.history.iter().rev().find(|(at, _)| *at <= index);
        found
            .map(|(_, members)| members.clone())
            .unwrap_or_default()
    }

    /// Takes a snapshot of the state after an entry and drops old entries, but
    /// for a few that serve replicas which lag a little.
    pub(crate) fn compact(&mut self, index: u64, data: Bytes, trail: u64) -> Option<&Snapshot> {
        let term = self.term(index)?;
        let members = self.members_at(index);
        let cut = index.saturating_sub(trail).max(self.base);
        let cut_term = self.term(cut)?;
        let drop = usize::try_from(cut - self.base).unwrap_or(usize::MAX);
        self.entries.drain(..drop);
        self.base = cut;
        self.base_term = cut_term;
        let older = self.history.iter().filter(|(at, _)| *at <= cut).count();
        self.history.drain(..older.saturating_sub(1));
        self.snapshot = Some(Snapshot {
            index,
            term,
            members,
            data,
        });
        self.snapshot.as_ref()
    }

    /// Begins anew after a snapshot; keeps later entries if they follow it.
    pub(crate) fn reset(&mut self, snapshot: Snapshot) {
        let follows = self.term(snapshot.index) == Some(snapshot.term);
        let later = if follows {
            self.from(snapshot.index + 1).to_vec()
        } else {
            Vec::new()
        };
        self.base = snapshot.index;
        self.base_term = snapshot.term;
        self.history = vec![(snapshot.index, snapshot.members.clone())];
        self.entries.clear();
        self.snapshot = Some(snapshot);
        for entry in later {
            self.push(entry);
        }
    }
}

/// The bytes that an entry takes beside its payload, at most.
const ENTRY_OVERHEAD: usize = 32;
