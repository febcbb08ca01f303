//! The operations that are replicated in the log.

/// Identifies a claim: an idempotency key, unique per tenant and service.
///
/// The same key used by two tenants identifies two claims.
#[derive(Clone, Eq, Ord, PartialEq, PartialOrd, prost::Message)]
pub struct ClaimKey {
    /// The key, a `UUIDv7` of 16 bytes. It is the first field so that claim keys
    /// sort by creation time.
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    /// Name of the tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
}

/// One attempt to run a request, which may hold a claim.
///
/// The attempt number distinguishes the attempts of a process, so that a
/// duplicate or late operation of one attempt never affects another.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Holder {
    /// Name of the entry VM that makes the attempt.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Incarnation of the entry VM's process: its start time, so that later
    /// incarnations have larger numbers.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the attempt, unique within the incarnation.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
}

/// Requests the right to run a request.
///
/// Proposing the same claim with the same holder again is idempotent.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Claim {
    /// Identifies the claim.
    #[prost(message, optional, tag = "1")]
    pub claim_key: Option<ClaimKey>,
    /// The [`crate::fingerprint`] of the request, 32 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub fingerprint: Vec<u8>,
    /// The capped resource of which the request needs a reservation, if any.
    #[prost(string, optional, tag = "3")]
    pub resource: Option<String>,
    /// Limit of the resource, if operators have not set one for it.
    #[prost(uint32, tag = "4")]
    pub limit: u32,
    /// The attempt that would run the request.
    #[prost(message, optional, tag = "5")]
    pub holder: Option<Holder>,
    /// Timeout of the request, in milliseconds of the log's time.
    ///
    /// This is a duration and not a deadline, so that it doesn't depend on the
    /// clock of the entry VM.
    #[prost(uint64, tag = "6")]
    pub timeout: u64,
}

/// Records that a request ran.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Finish {
    /// Identifies the claim.
    #[prost(message, optional, tag = "1")]
    pub claim_key: Option<ClaimKey>,
    /// The holder that the claim was granted to.
    #[prost(message, optional, tag = "2")]
    pub holder: Option<Holder>,
    /// The answer to replay to resends, or `None` if it is too large to store.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<Answer>,
}

/// Records that a request was not run, so that the claim may be granted again.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Free {
    /// Identifies the claim.
    #[prost(message, optional, tag = "1")]
    pub claim_key: Option<ClaimKey>,
    /// The holder that the claim was granted to.
    #[prost(message, optional, tag = "2")]
    pub holder: Option<Holder>,
}

/// Releases a reservation after a cancelling request ran.
///
/// This is idempotent: the reservation of a claim is released only once.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Cancel {
    /// The claim that made the reservation, not that of the cancelling request.
    #[prost(message, optional, tag = "1")]
    pub claim_key: Option<ClaimKey>,
    /// The resource whose reservation is released.
    #[prost(string, tag = "2")]
    pub resource: String,
}

/// Sets or removes the limit of one resource.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct SetCap {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Name of the resource within the service.
    #[prost(string, tag = "2")]
    pub resource: String,
    /// Maximum number of reservations. `None` removes the resource with all its
    /// reservations, which is only safe once its target accepts no more requests
    /// for it.
    #[prost(uint32, optional, tag = "3")]
    pub limit: Option<u32>,
}

/// A stored answer, which is replayed to resends.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Answer {
    /// HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// HTTP headers, in order.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// Body of the answer.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// One HTTP header of a stored answer.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Header {
    /// Name of the header.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value of the header; not necessarily text.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// Overhead of a small allocation. It is included in the size of an answer, so
/// that many tiny headers count for the memory that they use.
const ALLOCATION_OVERHEAD_BYTES: usize = 64;

impl Answer {
    /// Returns how much memory the answer takes, in bytes.
    pub fn size(&self) -> usize {
        let header = |h: &Header| h.name.len() + h.value.len() + ALLOCATION_OVERHEAD_BYTES;
        let headers: usize = self.headers.iter().map(header).sum();
        ALLOCATION_OVERHEAD_BYTES + headers + self.body.len()
    }
}
