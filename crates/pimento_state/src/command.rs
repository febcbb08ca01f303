//! Commands of the replicated log and their outcomes.

use pimento_items::{Changeset, ChangesetError};
use pimento_ledger as ledger;
use pimento_rules::{Digest, Note, NoteError, Offer, Record};

/// A change of the replicated state.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Command {
    /// Wall-clock time at the proposer, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub time: u64,
    /// The change; none changes nothing.
    #[prost(oneof = "Op", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub op: Option<Op>,
}

/// The kinds of [`Command`].
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum Op {
    /// A release note, as [`Note::encode`] encodes it.
    #[prost(bytes, tag = "2")]
    Note(Vec<u8>),
    /// Asks for the right to run a request.
    #[prost(message, tag = "3")]
    Claim(ledger::Claim),
    /// Records that a request ran.
    #[prost(message, tag = "4")]
    Finish(ledger::Finish),
    /// Records that a request was not run.
    #[prost(message, tag = "5")]
    Free(ledger::Free),
    /// Gives a place back after a cancellation that ran.
    #[prost(message, tag = "6")]
    Cancel(ledger::Cancel),
    /// Sets the limit of a resource.
    #[prost(message, tag = "7")]
    SetCap(ledger::SetCap),
    /// Changes nothing.
    #[prost(message, tag = "8")]
    Noop(()),
    /// Changes items.
    #[prost(message, tag = "9")]
    Items(Changeset),
    /// Begins or ends the evacuation of a failure domain.
    #[prost(message, tag = "10")]
    Evacuate(Evacuate),
}

/// Begins or ends the evacuation of a failure domain.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Evacuate {
    /// The failure domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// Whether its targets are to get nothing.
    #[prost(bool, tag = "2")]
    pub on: bool,
}

impl Command {
    /// A command that puts a note in force.
    pub fn note(time: u64, note: &Note) -> Self {
        let op = Some(Op::Note(note.encode()));
        Self { time, op }
    }

    /// A command with an operation.
    pub const fn new(time: u64, op: Op) -> Self {
        Self { time, op: Some(op) }
    }
}

/// What applying a [`Command`] did.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Outcome {
    /// The log index that the command was applied at.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The effect; none for a command that changes nothing.
    #[prost(oneof = "Effect", tags = "2, 3, 4")]
    pub effect: Option<Effect>,
}

/// The kinds of [`Outcome`].
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum Effect {
    /// What became of a note.
    #[prost(message, tag = "2")]
    Note(NoteOutcome),
    /// What an operation of the ledger did.
    #[prost(message, tag = "3")]
    Ledger(ledger::Outcome),
    /// What became of a change of items.
    #[prost(message, tag = "4")]
    Items(ItemsOutcome),
}

/// What became of a change of items.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct ItemsOutcome {
    /// Why nothing of it took effect; none if it is in force.
    #[prost(message, optional, tag = "1")]
    pub refusal: Option<ItemsRefusal>,
}

/// Why a change of items is refused.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct ItemsRefusal {
    /// Whether a version is held with another content.
    #[prost(bool, tag = "1")]
    pub conflict: bool,
    /// The item, the field and what is wrong with it, for the operator.
    #[prost(string, tag = "2")]
    pub detail: String,
}

impl From<ChangesetError> for ItemsRefusal {
    fn from(refusal: ChangesetError) -> Self {
        Self {
            conflict: matches!(refusal, ChangesetError::Conflict { .. }),
            detail: refusal.to_string(),
        }
    }
}

/// What became of a proposed note.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct NoteOutcome {
    /// The verdict.
    #[prost(oneof = "NoteResult", tags = "1, 2, 3, 4, 5, 6")]
    pub kind: Option<NoteResult>,
}

/// The kinds of [`NoteOutcome`].
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum NoteResult {
    /// The note is in force.
    #[prost(message, tag = "1")]
    Accepted(NoteRecord),
    /// The same note was accepted before.
    #[prost(message, tag = "2")]
    AlreadyAccepted(NoteRecord),
    /// Another note with the number was accepted before; this one.
    #[prost(message, tag = "3")]
    Conflict(NoteRecord),
    /// The number is not the last plus one; the next number.
    #[prost(uint64, tag = "4")]
    Gap(u64),
    /// The number was accepted before; its digest is no longer kept. The
    /// oldest number that is.
    #[prost(uint64, tag = "5")]
    Forgotten(u64),
    /// The content is refused.
    #[prost(message, tag = "6")]
    Refused(NoteRefusal),
}

/// What is remembered of an accepted note.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct NoteRecord {
    /// The number of the note, which is also the version of the rules.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The digest of the canonical content, 32 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// When it was proposed, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub time: u64,
}

/// The field at fault in a refused note.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct NoteRefusal {
    /// The path of the field.
    #[prost(string, tag = "1")]
    pub field: String,
    /// What is wrong with it, for the operator.
    #[prost(string, tag = "2")]
    pub detail: String,
}

impl NoteRecord {
    /// The digest, if it is whole.
    pub fn digest(&self) -> Option<Digest> {
        Digest::from_slice(&self.digest)
    }
}

impl From<Record> for NoteRecord {
    fn from(record: Record) -> Self {
        Self {
            number: record.number,
            digest: record.digest.as_bytes().to_vec(),
            time: record.time,
        }
    }
}

impl From<NoteError> for NoteRefusal {
    fn from(error: NoteError) -> Self {
        Self {
            field: error.field().to_owned(),
            detail: error.to_string(),
        }
    }
}

impl From<Offer> for NoteOutcome {
    fn from(offer: Offer) -> Self {
        let kind = match offer {
            Offer::Accepted(record) => NoteResult::Accepted(record.into()),
            Offer::Again(record) => NoteResult::AlreadyAccepted(record.into()),
            Offer::Conflict(record) => NoteResult::Conflict(record.into()),
            Offer::Gap { expected } => NoteResult::Gap(expected),
            Offer::Forgotten { oldest } => NoteResult::Forgotten(oldest),
            Offer::Refused(error) => NoteResult::Refused(error.into()),
        };
        Self { kind: Some(kind) }
    }
}
