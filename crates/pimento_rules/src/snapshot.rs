//! The encoding of a whole book.

use crate::{AcceptedNote, Digest, NoteError, NoteLog, Page, Rules};
use prost::Message as _;
use std::collections::VecDeque;

#[derive(Clone, PartialEq, prost::Message)]
struct WireBook {
    /// The version of the compacted rules.
    #[prost(uint64, tag = "1")]
    base: u64,
    #[prost(message, repeated, tag = "2")]
    pages: Vec<Page>,
    #[prost(bytes = "vec", repeated, tag = "3")]
    notes: Vec<Vec<u8>>,
    /// The number of the oldest record; the others follow without a gap.
    #[prost(uint64, tag = "4")]
    oldest: u64,
    /// The digests of the records, one after the other.
    #[prost(bytes = "vec", tag = "5")]
    digests: Vec<u8>,
    #[prost(uint64, repeated, tag = "6")]
    times: Vec<u64>,
}

impl NoteLog {
    /// Encodes the whole book.
    pub fn snapshot(&self) -> Vec<u8> {
        let (pages, notes) = self.parts();
        let history = || self.history();
        let wire = WireBook {
            base: self.version() - notes.len() as u64,
            pages,
            notes,
            oldest: history().next().map_or(0, |record| record.number),
            digests: history().flat_map(|r| *r.digest.as_bytes()).collect(),
            times: history().map(|record| record.time).collect(),
        };
        wire.encode_to_vec()
    }

    /// Decodes what [`Self::snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Returns a [`NoteError`] if the bytes are not a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, NoteError> {
        let Ok(wire) = WireBook::decode(bytes) else {
            return Err(NoteError::Damaged("snapshot"));
        };
        let records = wire.records().ok_or(NoteError::Damaged("history"))?;
        let base = Rules::from_pages(wire.base, &wire.pages)?;
        Self::from_parts(base, &wire.notes, records)
    }
}

impl WireBook {
    fn records(&self) -> Option<VecDeque<AcceptedNote>> {
        let (digests, rest) = self.digests.as_chunks::<{ Digest::LEN }>();
        if digests.len() != self.times.len() || !rest.is_empty() {
            return None;
        }
        let numbers = self.oldest..self.oldest.checked_add(digests.len() as u64)?;
        let all = numbers.zip(digests).zip(&self.times);
        let record = |((number, digest), time): ((u64, &[u8; Digest::LEN]), &u64)| {
            let digest = Digest::from_slice(digest)?;
            let time = *time;
            Some(AcceptedNote {
                number,
                digest,
                time,
            })
        };
        all.map(record).collect()
    }
}
