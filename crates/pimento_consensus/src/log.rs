//! The in-memory log of a replica.

use crate::{Entry, EntryKind, Members, Snapshot};
use bytes::Bytes;
use prost::Message as _;

/// The retained entries, the newest snapshot and the members over time.
#[derive(Debug)]
pub(crate) struct Log {
    /// The newest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// The entry before the first retained one.
    base_index: u64,
    /// The term of that entry.
    base_term: u64,
    /// The entries after the base.
    entries: Vec<Entry>,
    /// The members, by the index of the entry that set them, ascending.
    members_history: Vec<(u64, Members)>,
}

impl Log {
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot: None,
            base_index: 0,
            base_term: 0,
            entries: Vec::new(),
            members_history: Vec::new(),
        };
        if let Some(snapshot) = snapshot {
            log.reset(snapshot);
        }
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base_term, |e| e.term)
    }

    /// The term of an entry, if it is known.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// The entries from an index on.
    pub(crate) fn entries_from(&self, index: u64) -> &[Entry] {
        let at = index.saturating_sub(self.base_index + 1);
        let at = usize::try_from(at).unwrap_or(usize::MAX);
        self.entries.get(at..).unwrap_or_default()
    }

    /// The entries from an index on, up to a total size, but at least one.
    pub(crate) fn batch_from(&self, index: u64, max_bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let fits = |e: &&Entry| {
            let first = size == 0;
            size += e.payload.len() + ENTRY_OVERHEAD_BYTES;
            first || size <= max_bytes
        };
        self.entries_from(index)
            .iter()
            .take_while(fits)
            .cloned()
            .collect()
    }

    /// Appends an entry; removes an entry with the same index and all later ones
    /// first.
    pub(crate) fn push(&mut self, entry: Entry) {
        self.truncate_from(entry.index);
        if entry.index != self.last_index() + 1 {
            return;
        }
        if entry.kind == EntryKind::Members as i32
            && let Ok(members) = Members::decode(entry.payload.clone())
        {
            self.members_history.push((entry.index, members));
        }
        self.entries.push(entry);
    }

    /// Removes the entry at an index and all later ones.
    fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.members_history.retain(|(at, _)| *at < index);
    }

    /// The newest members, and the index of the entry that set them.
    pub(crate) fn newest_members(&self) -> Option<(u64, &Members)> {
        self.members_history
            .last()
            .map(|(at, members)| (*at, members))
    }

    /// The members in force after an entry.
    pub(crate) fn members_at(&self, index: u64) -> Members {
        let found = self
            .members_history
            .iter()
            .rev()
            .find(|(at, _)| *at <= index);
        found
            .map(|(_, members)| members.clone())
            .unwrap_or_default()
    }

    /// Stores a snapshot of the state after an entry and drops older entries,
    /// except for some that replicas which lag a little still need.
    pub(crate) fn compact(&mut self, index: u64, data: Bytes, trailing: u64) -> Option<&Snapshot> {
        let term = self.term_at(index)?;
        let members = self.members_at(index);
        let base_index = index.saturating_sub(trailing).max(self.base_index);
        let base_term = self.term_at(base_index)?;
        let drop = usize::try_from(base_index - self.base_index).unwrap_or(usize::MAX);
        self.entries.drain(..drop);
        self.base_index = base_index;
        self.base_term = base_term;
        let older = self
            .members_history
            .iter()
            .filter(|(at, _)| *at <= base_index)
            .count();
        self.members_history.drain(..older.saturating_sub(1));
        self.snapshot = Some(Snapshot {
            index,
            term,
            members,
            data,
        });
        self.snapshot.as_ref()
    }

    /// Replaces the log by a snapshot; keeps later entries if the log matches the
    /// snapshot's last entry.
    pub(crate) fn reset(&mut self, snapshot: Snapshot) {
        let matches = self.term_at(snapshot.index) == Some(snapshot.term);
        let later = if matches {
            self.entries_from(snapshot.index + 1).to_vec()
        } else {
            Vec::new()
        };
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.members_history = vec![(snapshot.index, snapshot.members.clone())];
        self.entries.clear();
        self.snapshot = Some(snapshot);
        for entry in later {
            self.push(entry);
        }
    }
}

/// The maximum encoded size of an entry without its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;
