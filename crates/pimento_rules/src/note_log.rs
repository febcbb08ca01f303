//! The log of accepted notes, and the rules that result from them.

use crate::{Digest, Note, NoteError, Page, Rules, RulesPull, RulesPush};
use std::{collections::VecDeque, sync::Arc};

/// Maximum number of notes that are kept in full.
const MAX_FULL_NOTES: usize = 1_024;

/// Maximum total size of the notes that are kept in full.
const MAX_FULL_NOTE_BYTES: usize = 16 << 20;

/// Number of notes that one compaction merges into the base. Compacting in
/// batches seldom changes the full copy, which other VMs fetch page by page.
const COMPACTION_BATCH_NOTES: usize = 256;

/// Maximum number of records: about one month at 4,500 notes per day.
const MAX_RECORDS: usize = 131_072;

/// Maximum size of the notes in one push, unless a single note is larger.
const MAX_PUSH_NOTE_BYTES: usize = 256 << 10;

/// The record of an accepted note, which is kept longer than its content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcceptedNote {
    /// Sequence number of the note.
    pub number: u64,
    /// Digest of its canonical encoding.
    pub digest: Digest,
    /// Time of the proposal, in milliseconds since the Unix epoch.
    pub time: u64,
}

/// The result of offering a note to the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The note was appended and is now in force.
    Accepted(AcceptedNote),
    /// The same note was accepted earlier, with this record.
    AlreadyAccepted(AcceptedNote),
    /// A different note with this number was accepted earlier.
    Conflict(AcceptedNote),
    /// The number is greater than the next expected number.
    Gap {
        /// The number that the next note must have: the last accepted one plus one.
        expected: u64,
    },
    /// A note with this number was accepted so long ago that its record has been
    /// discarded.
    Forgotten {
        /// Number of the oldest record that is kept.
        oldest: u64,
    },
    /// The note is malformed or its content is invalid.
    Refused(NoteError),
}

/// The accepted notes: recent ones in full, older ones compacted into the base
/// rules.
#[derive(Clone, Debug, Default)]
pub struct NoteLog {
    base: Arc<Rules>,
    current: Arc<Rules>,
    /// The encoded notes that follow `base`, in the order of their numbers.
    notes: VecDeque<Arc<[u8]>>,
    note_bytes: usize,
    records: VecDeque<AcceptedNote>,
}

impl NoteLog {
    /// Creates a log that starts from compacted rules.
    pub fn from_base(base: Rules) -> Self {
        let base = Arc::new(base);
        Self {
            current: Arc::clone(&base),
            base,
            ..Self::default()
        }
    }

    /// Returns the rules in force.
    pub const fn rules(&self) -> &Arc<Rules> {
        &self.current
    }

    /// Returns the number of the newest accepted note.
    pub fn version(&self) -> u64 {
        self.current.version
    }

    /// Appends an encoded note if it has the next number and valid content.
    ///
    /// The time is stored in the record and has no other effect.
    pub fn offer(&mut self, time: u64, bytes: &[u8]) -> OfferOutcome {
        let note = match Note::decode(bytes) {
            Ok(note) => note,
            Err(e) => return OfferOutcome::Refused(e),
        };
        // Digests are of the canonical encoding, which the sender may not have
        // used.
        let bytes = note.encode();
        let digest = Digest::of(&bytes);
        let expected = self.version().saturating_add(1);
        if note.number <= self.version() {
            return self.compare_accepted(note.number, digest);
        }
        if note.number > expected {
            return OfferOutcome::Gap { expected };
        }
        let rules = match self.current.apply(&note) {
            Ok(rules) => rules,
            Err(e) => return OfferOutcome::Refused(e),
        };
        let number = note.number;
        let record = AcceptedNote {
            number,
            digest,
            time,
        };
        self.append(rules, bytes.into(), record);
        OfferOutcome::Accepted(record)
    }

    /// Compares a note with the earlier one that was accepted with its number.
    fn compare_accepted(&self, number: u64, digest: Digest) -> OfferOutcome {
        match self.find_record(number) {
            Some(record) if record.digest == digest => OfferOutcome::AlreadyAccepted(record),
            Some(record) => OfferOutcome::Conflict(record),
            None => OfferOutcome::Forgotten {
                oldest: self.records.front().map_or(0, |record| record.number),
            },
        }
    }

    fn append(&mut self, rules: Rules, bytes: Arc<[u8]>, record: AcceptedNote) {
        self.current = Arc::new(rules);
        self.note_bytes += bytes.len();
        self.notes.push_back(bytes);
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
        self.compact();
    }

    /// Merges the oldest full notes into the base once there are too many.
    fn compact(&mut self) {
        if self.notes.len() <= MAX_FULL_NOTES && self.note_bytes <= MAX_FULL_NOTE_BYTES {
            return;
        }
        for _ in 0..COMPACTION_BATCH_NOTES.min(self.notes.len() - 1) {
            let Some(bytes) = self.notes.pop_front() else {
                break;
            };
            self.note_bytes -= bytes.len();
            let applied = Note::decode(&bytes).and_then(|note| self.base.apply(&note));
            self.base = Arc::new(applied.expect("the note was applied before"));
        }
    }

    /// Returns the record of a note, if it is still kept.
    pub fn find_record(&self, number: u64) -> Option<AcceptedNote> {
        let index = self.records.binary_search_by_key(&number, |r| r.number);
        index.ok().map(|i| self.records[i])
    }

    /// Iterates over the kept records, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = AcceptedNote> + '_ {
        self.records.iter().copied()
    }

    /// Returns a note, if it is still kept in full.
    pub fn note(&self, number: u64) -> Option<Note> {
        let index = number.checked_sub(self.base.version)?.checked_sub(1)?;
        let bytes = self.notes.get(usize::try_from(index).ok()?)?;
        Note::decode(bytes).ok()
    }

    /// Builds a push for a VM that has the given version in force; see
    /// [`Self::answer_pull`].
    pub fn push_since(&self, version: u64) -> RulesPush {
        self.answer_pull(&RulesPull {
            version,
            ..RulesPull::default()
        })
    }

    /// Answers the pull of a VM with the notes that follow its version, or with a
    /// page of a full copy if those are compacted. The size of a push is bounded.
    pub fn answer_pull(&self, pull: &RulesPull) -> RulesPush {
        let version = self.version();
        if let Some(skip) = pull.version.checked_sub(self.base.version) {
            let notes = self.notes_after(usize::try_from(skip).unwrap_or(usize::MAX));
            return RulesPush {
                version,
                notes,
                page: None,
            };
        }
        let resumes =
            pull.copy_version == self.base.version && pull.next_page < self.base.page_count();
        let index = if resumes { pull.next_page } else { 0 };
        RulesPush {
            version,
            notes: Vec::new(),
            page: Some(self.base.page(index)),
        }
    }

    /// Returns as many notes as fit in one push, starting at an offset; at least
    /// one if there is any.
    fn notes_after(&self, skip: usize) -> Vec<Vec<u8>> {
        let mut remaining = MAX_PUSH_NOTE_BYTES;
        let mut selected = Vec::new();
        for bytes in self.notes.iter().skip(skip) {
            if bytes.len() > remaining && !selected.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(bytes.len());
            selected.push(bytes.to_vec());
        }
        selected
    }

    /// Returns the parts of a snapshot: the pages of the base, and the notes.
    pub(crate) fn parts(&self) -> (Vec<Page>, Vec<Vec<u8>>) {
        let pages = (0..self.base.page_count()).map(|i| self.base.page(i));
        let notes = self.notes.iter().map(|bytes| bytes.to_vec());
        (pages.collect(), notes.collect())
    }

    /// Rebuilds a log from the parts of a snapshot.
    pub(crate) fn from_parts(
        base: Rules,
        notes: &[Vec<u8>],
        records: VecDeque<AcceptedNote>,
    ) -> Result<Self, NoteError> {
        let mut log = Self::from_base(base);
        let mut rules = Rules::clone(&log.base);
        for bytes in notes {
            rules = rules.apply(&Note::decode(bytes)?)?;
            log.note_bytes += bytes.len();
            log.notes.push_back(bytes.as_slice().into());
        }
        let last = records.back().map_or(0, |record| record.number);
        let sorted = records.iter().is_sorted_by(|a, b| a.number < b.number);
        if !sorted || last != rules.version {
            return Err(NoteError::Damaged("history"));
        }
        log.current = Arc::new(rules);
        log.records = records;
        Ok(log)
    }
}

impl PartialEq for NoteLog {
    fn eq(&self, other: &Self) -> bool {
        self.base == other.base && self.notes == other.notes && self.records == other.records
    }
}

impl Eq for NoteLog {}
