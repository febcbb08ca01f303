//! The accepted notes and the rules that they give.

use crate::{Digest, Note, NoteError, Page, Rules, RulesPull, RulesPush};
use std::{collections::VecDeque, sync::Arc};

/// The most notes that are kept whole.
const MAX_WHOLE: usize = 1_024;

/// The most bytes of notes that are kept whole.
const MAX_WHOLE_BYTES: usize = 16 << 20;

/// The notes that are compacted at a time, so that the full copy which others
/// fetch page by page seldom changes.
const COMPACT: usize = 256;

/// The most records of accepted notes: about a month at 4,500 changes a day.
const MAX_RECORDS: usize = 131_072;

/// The bytes of notes after which a push is cut.
const PUSH_BYTES: usize = 256 << 10;

/// What is remembered of an accepted note.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcceptedNote {
    /// The number of the note.
    pub number: u64,
    /// The digest of its content.
    pub digest: Digest,
    /// When it was proposed, in milliseconds since the Unix epoch.
    pub time: u64,
}

/// The answer to an offered note.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The note is in force.
    Accepted(AcceptedNote),
    /// The same note was accepted before; this is its record.
    AlreadyAccepted(AcceptedNote),
    /// Another note with this number was accepted before.
    Conflict(AcceptedNote),
    /// The number is not the last plus one.
    Gap {
        /// The number that the next note must have.
        expected: u64,
    },
    /// The number was accepted so long ago that its digest is forgotten.
    Forgotten {
        /// The oldest number that is remembered.
        oldest: u64,
    },
    /// The content is refused.
    Refused(NoteError),
}

/// The accepted notes: the newest ones whole, the older ones compacted.
#[derive(Clone, Debug, Default)]
pub struct NoteLog {
    base: Arc<Rules>,
    current: Arc<Rules>,
    /// The encoded notes after `base`, in the order of their numbers.
    notes: VecDeque<Arc<[u8]>>,
    bytes: usize,
    records: VecDeque<AcceptedNote>,
}

impl NoteLog {
    /// A book that starts from compacted rules.
    pub fn from_base(base: Rules) -> Self {
        let base = Arc::new(base);
        Self {
            current: Arc::clone(&base),
            base,
            ..Self::default()
        }
    }

    /// The rules in force.
    pub const fn rules(&self) -> &Arc<Rules> {
        &self.current
    }

    /// The number of the newest accepted note.
    pub fn version(&self) -> u64 {
        self.current.version
    }

    /// Takes an encoded note if its number is next and its content valid.
    ///
    /// The time is only noted in the record.
    pub fn offer(&mut self, time: u64, bytes: &[u8]) -> OfferOutcome {
        let note = match Note::decode(bytes) {
            Ok(note) => note,
            Err(e) => return OfferOutcome::Refused(e),
        };
        // The canonical form is what counts, whatever the sender encoded.
        let bytes = note.encode();
        let digest = Digest::of(&bytes);
        let expected = self.version().saturating_add(1);
        if note.number <= self.version() {
            return self.known(note.number, digest);
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
        self.push(rules, bytes.into(), record);
        OfferOutcome::Accepted(record)
    }

    /// The answer to a note whose number was accepted before.
    fn known(&self, number: u64, digest: Digest) -> OfferOutcome {
        match self.find_record(number) {
            Some(record) if record.digest == digest => OfferOutcome::AlreadyAccepted(record),
            Some(record) => OfferOutcome::Conflict(record),
            None => OfferOutcome::Forgotten {
                oldest: self.records.front().map_or(0, |record| record.number),
            },
        }
    }

    fn push(&mut self, rules: Rules, bytes: Arc<[u8]>, record: AcceptedNote) {
        self.current = Arc::new(rules);
        self.bytes += bytes.len();
        self.notes.push_back(bytes);
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
        self.compact();
    }

    /// Moves the oldest whole notes into the base once there are too many.
    fn compact(&mut self) {
        if self.notes.len() <= MAX_WHOLE && self.bytes <= MAX_WHOLE_BYTES {
            return;
        }
        for _ in 0..COMPACT.min(self.notes.len() - 1) {
            let Some(bytes) = self.notes.pop_front() else {
                break;
            };
            self.bytes -= bytes.len();
            let applied = Note::decode(&bytes).and_then(|note| self.base.apply(&note));
            self.base = Arc::new(applied.expect("the note was applied before"));
        }
    }

    /// What is remembered of a note.
    pub fn find_record(&self, number: u64) -> Option<AcceptedNote> {
        let at = self.records.binary_search_by_key(&number, |r| r.number);
        at.ok().map(|i| self.records[i])
    }

    /// What is remembered, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = AcceptedNote> + '_ {
        self.records.iter().copied()
    }

    /// A note that is still kept whole.
    pub fn note(&self, number: u64) -> Option<Note> {
        let after = number.checked_sub(self.base.version)?.checked_sub(1)?;
        let bytes = self.notes.get(usize::try_from(after).ok()?)?;
        Note::decode(bytes).ok()
    }

    /// What a VM with a version lacks; see [`Self::answer`].
    pub fn push_since(&self, version: u64) -> RulesPush {
        self.answer_pull(&RulesPull {
            version,
            ..RulesPull::default()
        })
    }

    /// Answers a VM that asks for what it lacks, in bounded parts.
    pub fn answer_pull(&self, pull: &RulesPull) -> RulesPush {
        let version = self.version();
        if let Some(lag) = pull.version.checked_sub(self.base.version) {
            let notes = self.notes_after(usize::try_from(lag).unwrap_or(usize::MAX));
            return RulesPush {
                version,
                notes,
                page: None,
            };
        }
        let goes_on =
            pull.copy_version == self.base.version && pull.next_page < self.base.page_count();
        let index = if goes_on { pull.next_page } else { 0 };
        RulesPush {
            version,
            notes: Vec::new(),
            page: Some(self.base.page(index)),
        }
    }

    /// Whole notes from an offset on, at least one if there is one.
    fn notes_after(&self, skip: usize) -> Vec<Vec<u8>> {
        let mut room = PUSH_BYTES;
        let mut out = Vec::new();
        for bytes in self.notes.iter().skip(skip) {
            if bytes.len() > room && !out.is_empty() {
                break;
            }
            room = room.saturating_sub(bytes.len());
            out.push(bytes.to_vec());
        }
        out
    }

    /// The parts of a snapshot.
    pub(crate) fn parts(&self) -> (Vec<Page>, Vec<Vec<u8>>) {
        let pages = (0..self.base.page_count()).map(|i| self.base.page(i));
        let notes = self.notes.iter().map(|bytes| bytes.to_vec());
        (pages.collect(), notes.collect())
    }

    /// Puts a book together again from the parts of a snapshot.
    pub(crate) fn from_parts(
        base: Rules,
        notes: &[Vec<u8>],
        records: VecDeque<AcceptedNote>,
    ) -> Result<Self, NoteError> {
        let mut book = Self::from_base(base);
        let mut rules = Rules::clone(&book.base);
        for bytes in notes {
            rules = rules.apply(&Note::decode(bytes)?)?;
            book.bytes += bytes.len();
            book.notes.push_back(bytes.as_slice().into());
        }
        let last = records.back().map_or(0, |record| record.number);
        let sorted = records.iter().is_sorted_by(|a, b| a.number < b.number);
        if !sorted || last != rules.version {
            return Err(NoteError::Damaged("history"));
        }
        book.current = Arc::new(rules);
        book.records = records;
        Ok(book)
    }
}

impl PartialEq for NoteLog {
    fn eq(&self, other: &Self) -> bool {
        self.base == other.base && self.notes == other.notes && self.records == other.records
    }
}

impl Eq for NoteLog {}
