//! Snapshots of the note log.

use crate::{AcceptedNote, Digest, NoteError, NoteLog, Page, Rules};
use prost::Message as _;
use std::collections::VecDeque;

#[derive(Clone, PartialEq, prost::Message)]
struct WireNoteLog {
    /// Version of the compacted rules.
    #[prost(uint64, tag = "1")]
    base: u64,
    /// The compacted rules, page by page.
    #[prost(message, repeated, tag = "2")]
    pages: Vec<Page>,
    /// The encoded notes that are not compacted yet, in order.
    #[prost(bytes = "vec", repeated, tag = "3")]
    notes: Vec<Vec<u8>>,
    /// Number of the note that the oldest record describes. The numbers of the
    /// other records follow without a gap.
    #[prost(uint64, tag = "4")]
    oldest: u64,
    /// The concatenated digests of the records.
    #[prost(bytes = "vec", tag = "5")]
    digests: Vec<u8>,
    /// The times of the records.
    #[prost(uint64, repeated, tag = "6")]
    times: Vec<u64>,
}

impl NoteLog {
    /// Encodes the whole log as a snapshot.
    pub fn snapshot(&self) -> Vec<u8> {
        let (pages, notes) = self.parts();
        let history = || self.history();
        let encoded = WireNoteLog {
            base: self.version() - notes.len() as u64,
            pages,
            notes,
            oldest: history().next().map_or(0, |record| record.number),
            digests: history().flat_map(|r| *r.digest.as_bytes()).collect(),
            times: history().map(|record| record.time).collect(),
        };
        encoded.encode_to_vec()
    }

    /// Restores a log from the output of [`Self::snapshot`].
    ///
    /// # Errors
    ///
    /// Returns a [`NoteError`] if the bytes are not a valid snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, NoteError> {
        let Ok(encoded) = WireNoteLog::decode(bytes) else {
            return Err(NoteError::Damaged("snapshot"));
        };
        let records = encoded.records().ok_or(NoteError::Damaged("history"))?;
        let base = Rules::from_pages(encoded.base, &encoded.pages)?;
        Self::from_parts(base, &encoded.notes, records)
    }
}

impl WireNoteLog {
    fn records(&self) -> Option<VecDeque<AcceptedNote>> {
        let (digests, remainder) = self.digests.as_chunks::<{ Digest::LEN }>();
        if digests.len() != self.times.len() || !remainder.is_empty() {
            return None;
        }
        let numbers = self.oldest..self.oldest.checked_add(digests.len() as u64)?;
        let fields = numbers.zip(digests).zip(&self.times);
        let record = |((number, digest), time): ((u64, &[u8; Digest::LEN]), &u64)| {
            let digest = Digest::from_slice(digest)?;
            let time = *time;
            Some(AcceptedNote {
                number,
                digest,
                time,
            })
        };
        fields.map(record).collect()
    }
}
