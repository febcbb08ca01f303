//! The commands of the replicated log and their outcomes.

use pimento_items::{Changeset, ChangesetError};
use pimento_ledger as ledger;
use pimento_rules::{AcceptedNote, Digest, Note, NoteError, OfferOutcome};

/// A change to the replicated state.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Command {
    /// Wall-clock time at the proposer, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub time: u64,
    /// The operation; a command without one changes nothing.
    #[prost(oneof = "Op", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub op: Option<Op>,
}

/// The operation of a [`Command`].
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum Op {
    /// A release note, as [`Note::encode`] encodes it.
    #[prost(bytes, tag = "2")]
    Note(Vec<u8>),
    /// Claims the exclusive right to run a request.
    #[prost(message, tag = "3")]
    Claim(ledger::Claim),
    /// Records that a request ran.
    #[prost(message, tag = "4")]
    Finish(ledger::Finish),
    /// Records that a request was not run.
    #[prost(message, tag = "5")]
    Free(ledger::Free),
    /// Releases the reservation of a claim after a request that cancels the
    /// claimed one ran.
    #[prost(message, tag = "6")]
    Cancel(ledger::Cancel),
    /// Sets the limit of a resource.
    #[prost(message, tag = "7")]
    SetCap(ledger::SetCap),
    /// Changes nothing.
    #[prost(message, tag = "8")]
    Noop(()),
    /// Applies a changeset of items.
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
    /// Whether the domain is evacuated; its targets then get no requests.
    #[prost(bool, tag = "2")]
    pub on: bool,
    /// The log index of the last order for the domain, as it was when this one
    /// arrived; 0 if there was none. The command has no effect if another order was
    /// carried out since. `None` in logs of versions that didn't check this.
    #[prost(uint64, optional, tag = "3")]
    pub last_order: Option<u64>,
}

impl Command {
    /// Creates a command that proposes a release note.
    pub fn note(time: u64, note: &Note) -> Self {
        let op = Some(Op::Note(note.encode()));
        Self { time, op }
    }

    /// Creates a command from an operation.
    pub const fn new(time: u64, op: Op) -> Self {
        Self { time, op: Some(op) }
    }
}

/// The outcome of applying a [`Command`].
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Outcome {
    /// The log index of the command.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The effect; none for a command that changes nothing.
    #[prost(oneof = "Effect", tags = "2, 3, 4, 5")]
    pub effect: Option<Effect>,
}

/// The effect of a [`Command`] that changes something.
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum Effect {
    /// The outcome of a release note.
    #[prost(message, tag = "2")]
    Note(NoteOutcome),
    /// The outcome of a ledger operation.
    #[prost(message, tag = "3")]
    Ledger(ledger::Outcome),
    /// The outcome of a changeset of items.
    #[prost(message, tag = "4")]
    Items(ItemsOutcome),
    /// The outcome of an order to evacuate a failure domain.
    #[prost(message, tag = "5")]
    Evacuation(EvacuationOutcome),
}

/// The outcome of an order to evacuate a failure domain.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct EvacuationOutcome {
    /// Whether another order was carried out first, so that this one had no effect.
    #[prost(bool, tag = "1")]
    pub overtaken: bool,
}

/// The outcome of a changeset of items, which takes effect as a whole or not
/// at all.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct ItemsOutcome {
    /// Why the changeset was refused; none if it took effect.
    #[prost(message, optional, tag = "1")]
    pub refusal: Option<ItemsRefusal>,
}

/// Why a changeset of items was refused.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct ItemsRefusal {
    /// Whether an item with the same version but other content is stored.
    #[prost(bool, tag = "1")]
    pub conflict: bool,
    /// A message for the operator with the item, the field and the problem.
    #[prost(string, tag = "2")]
    pub detail: String,
}

impl From<ChangesetError> for ItemsRefusal {
    fn from(error: ChangesetError) -> Self {
        Self {
            conflict: matches!(error, ChangesetError::Conflict { .. }),
            detail: error.to_string(),
        }
    }
}

/// The outcome of a proposed release note.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct NoteOutcome {
    /// Whether the note was accepted, and why not.
    #[prost(oneof = "NoteResult", tags = "1, 2, 3, 4, 5, 6")]
    pub kind: Option<NoteResult>,
}

/// The content of a [`NoteOutcome`].
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum NoteResult {
    /// The note is in force.
    #[prost(message, tag = "1")]
    Accepted(NoteRecord),
    /// The same note was accepted before; this is its record.
    #[prost(message, tag = "2")]
    AlreadyAccepted(NoteRecord),
    /// Another note with this number was accepted before; this is its record.
    #[prost(message, tag = "3")]
    Conflict(NoteRecord),
    /// The number is not the last accepted one plus one; this is the expected
    /// number.
    #[prost(uint64, tag = "4")]
    Gap(u64),
    /// A note with this number was accepted before, but its digest is no longer
    /// kept; this is the oldest number whose digest is.
    #[prost(uint64, tag = "5")]
    Forgotten(u64),
    /// The content is invalid.
    #[prost(message, tag = "6")]
    Refused(NoteRefusal),
}

/// The record that is kept of an accepted note.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct NoteRecord {
    /// The number of the note, which is also the version of the rules.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The 32-byte digest of the canonical content.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// When the note was proposed, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub time: u64,
}

/// The invalid field of a refused note.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct NoteRefusal {
    /// The path of the field within the note.
    #[prost(string, tag = "1")]
    pub field: String,
    /// A message for the operator about what is wrong with the field.
    #[prost(string, tag = "2")]
    pub detail: String,
}

impl NoteRecord {
    /// Returns the digest, or `None` if it does not have 32 bytes.
    pub fn digest(&self) -> Option<Digest> {
        Digest::from_slice(&self.digest)
    }
}

impl From<AcceptedNote> for NoteRecord {
    fn from(record: AcceptedNote) -> Self {
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

impl From<OfferOutcome> for NoteOutcome {
    fn from(offer: OfferOutcome) -> Self {
        let kind = match offer {
            OfferOutcome::Accepted(record) => NoteResult::Accepted(record.into()),
            OfferOutcome::AlreadyAccepted(record) => NoteResult::AlreadyAccepted(record.into()),
            OfferOutcome::Conflict(record) => NoteResult::Conflict(record.into()),
            OfferOutcome::Gap { expected } => NoteResult::Gap(expected),
            OfferOutcome::Forgotten { oldest } => NoteResult::Forgotten(oldest),
            OfferOutcome::Refused(error) => NoteResult::Refused(error.into()),
        };
        Self { kind: Some(kind) }
    }
}
