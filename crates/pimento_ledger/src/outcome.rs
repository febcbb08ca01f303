//! What the operations did.

use crate::Answer;

/// Why it is not known, or not stored, what a request did.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Cause {
    /// The holder's time is up.
    Expired = 0,
    /// The holder's process has been replaced by a new one.
    HolderDied = 1,
    /// The request ran; its answer was too large to store.
    NotStored = 2,
}

/// A field that makes an operation malformed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Field {
    /// The key is no `UUIDv7`, or its time lies too far ahead.
    Key = 0,
    /// The tenant is missing or no name.
    Tenant = 1,
    /// The service is missing or no name.
    Service = 2,
    /// The fingerprint does not have 32 bytes.
    Fingerprint = 3,
    /// The resource is empty or too long.
    Resource = 4,
    /// The holder is missing or its VM no name.
    Holder = 5,
}

/// The outcome of an operation of the ledger.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Outcome {
    /// What the operation did.
    #[prost(
        oneof = "OutcomeKind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15"
    )]
    pub kind: Option<OutcomeKind>,
}

/// What an operation of the ledger did.
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum OutcomeKind {
    /// The holder, and nobody else, may run the request now.
    #[prost(message, tag = "1")]
    Granted(()),
    /// The request ran before, with this answer.
    #[prost(message, tag = "2")]
    Replay(Answer),
    /// Another attempt may still run it, for so many milliseconds at most.
    #[prost(uint64, tag = "3")]
    InFlight(u64),
    /// An earlier attempt may have run it; see [`Cause`].
    #[prost(enumeration = "Cause", tag = "4")]
    MayHaveRun(i32),
    /// The key was used for another request.
    #[prost(message, tag = "5")]
    Mismatch(()),
    /// The resource has no place left under this limit; not run.
    #[prost(uint32, tag = "6")]
    CapFull(u32),
    /// The key is older than the retention, which ends at this time in
    /// milliseconds since the Unix epoch.
    #[prost(uint64, tag = "7")]
    TooOld(u64),
    /// The ledger, or the tenant's share of it, is full; not run.
    #[prost(message, tag = "8")]
    LedgerFull(()),
    /// The claim is not held by this holder.
    #[prost(message, tag = "9")]
    NotHolder(()),
    /// The answer is recorded; whether it is stored for resends.
    #[prost(bool, tag = "10")]
    Finished(bool),
    /// The claim may be granted again.
    #[prost(message, tag = "11")]
    Freed(()),
    /// Whether a place was given back just now.
    #[prost(bool, tag = "12")]
    Cancelled(bool),
    /// The claim may still run, so its place stays taken.
    #[prost(message, tag = "13")]
    Unfinished(()),
    /// The limit is set; the places taken.
    #[prost(uint32, tag = "14")]
    CapSet(u32),
    /// The operation is malformed and had no effect; see [`Field`].
    #[prost(enumeration = "Field", tag = "15")]
    Malformed(i32),
}

impl From<OutcomeKind> for Outcome {
    fn from(kind: OutcomeKind) -> Self {
        Self { kind: Some(kind) }
    }
}
