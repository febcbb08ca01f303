//! The outcomes of operations.

use crate::Answer;

/// Why the result of a request is unknown or not stored.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Cause {
    /// The holder did not finish before its timeout.
    Expired = 0,
    /// The holder's process was replaced by a newer incarnation.
    HolderDied = 1,
    /// The request ran, but its answer was not stored, because it was too large
    /// or no space was left.
    NotStored = 2,
}

/// A missing or invalid field of a malformed operation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum Field {
    /// The key is not a `UUIDv7`, or its creation time is too far in the future.
    Key = 0,
    /// The tenant is missing or not a valid name.
    Tenant = 1,
    /// The service is missing or not a valid name.
    Service = 2,
    /// The fingerprint is not 32 bytes long.
    Fingerprint = 3,
    /// The name of the resource is empty or too long.
    Resource = 4,
    /// The holder is missing, or its VM is not a valid name.
    Holder = 5,
}

/// The outcome of an operation of the ledger.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Outcome {
    /// The result; always present in an outcome that the ledger returned.
    #[prost(
        oneof = "OutcomeKind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15"
    )]
    pub kind: Option<OutcomeKind>,
}

/// The result of an operation of the ledger.
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum OutcomeKind {
    /// The claim was granted: only this holder may run the request.
    #[prost(message, tag = "1")]
    Granted(()),
    /// The request ran earlier, with this answer.
    #[prost(message, tag = "2")]
    Replay(Answer),
    /// Another attempt holds the claim and may run the request, for at most this
    /// many milliseconds.
    #[prost(uint64, tag = "3")]
    InFlight(u64),
    /// An earlier attempt ran the request or may have run it; see [`Cause`].
    #[prost(enumeration = "Cause", tag = "4")]
    MayHaveRun(i32),
    /// The key was used earlier for a different request.
    #[prost(message, tag = "5")]
    Mismatch(()),
    /// The resource has reached this limit, so the claim was not granted.
    #[prost(uint32, tag = "6")]
    CapFull(u32),
    /// The key is too old: it was created before this time, in milliseconds since
    /// the Unix epoch.
    #[prost(uint64, tag = "7")]
    TooOld(u64),
    /// The ledger or the tenant's share of it is full, so the claim was not granted
    /// or the limit was not set.
    #[prost(message, tag = "8")]
    LedgerFull(()),
    /// This holder does not hold the claim.
    #[prost(message, tag = "9")]
    NotHolder(()),
    /// The request is recorded as run. The value tells whether its answer is
    /// stored for resends.
    #[prost(bool, tag = "10")]
    Finished(bool),
    /// The claim may be granted again.
    #[prost(message, tag = "11")]
    Freed(()),
    /// The cancellation is recorded. The value tells whether it released a
    /// reservation.
    #[prost(bool, tag = "12")]
    Cancelled(bool),
    /// The claim is still held, so its reservation was not released.
    #[prost(message, tag = "13")]
    Unfinished(()),
    /// The limit is set. The value is the number of reservations.
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
