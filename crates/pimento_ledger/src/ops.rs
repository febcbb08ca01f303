//! The operations that the log carries.

/// What a key is unique in.
///
/// Tenants are apart: the same key of two tenants names two claims.
#[derive(Clone, Eq, Ord, PartialEq, PartialOrd, prost::Message)]
pub struct ClaimKey {
    /// The key, a `UUIDv7` of 16 bytes; first, so that slots sort by time.
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
    /// The tenant.
    #[prost(string, tag = "1")]
    pub tenant: String,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
}

/// One attempt to run a request.
///
/// The number tells the attempts of a process apart, so that a repeated or
/// late operation of one attempt can never touch another.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Holder {
    /// The entry VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// The start of the entry VM's process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Unique within the process.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
}

/// Asks for the right to run a request.
///
/// Proposing the same claim of the same holder again is idempotent.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Claim {
    /// The key and what it is unique in.
    #[prost(message, optional, tag = "1")]
    pub claim_key: Option<ClaimKey>,
    /// The [`crate::fingerprint`] of the request, 32 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub fingerprint: Vec<u8>,
    /// The resource whose cap the request counts against.
    #[prost(string, optional, tag = "3")]
    pub resource: Option<String>,
    /// The places of the resource, if it has no limit of its own.
    #[prost(uint32, tag = "4")]
    pub limit: u32,
    /// Who would run the request.
    #[prost(message, optional, tag = "5")]
    pub holder: Option<Holder>,
    /// How long the request may take, in milliseconds of the log's time.
    ///
    /// A duration, so that no clock of an entry VM takes part.
    #[prost(uint64, tag = "6")]
    pub timeout: u64,
}

/// Records that a request ran.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Finish {
    /// The claim.
    #[prost(message, optional, tag = "1")]
    pub claim_key: Option<ClaimKey>,
    /// The holder that the claim was granted to.
    #[prost(message, optional, tag = "2")]
    pub holder: Option<Holder>,
    /// The answer for resends; none if it was too large to send along.
    #[prost(message, optional, tag = "3")]
    pub answer: Option<Answer>,
}

/// Records that a request was not run, so that the claim may be granted again.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Free {
    /// The claim.
    #[prost(message, optional, tag = "1")]
    pub claim_key: Option<ClaimKey>,
    /// The holder that the claim was granted to.
    #[prost(message, optional, tag = "2")]
    pub holder: Option<Holder>,
}

/// Gives a place back after a cancellation that ran.
///
/// Idempotent: the place of a claim is given back once.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Cancel {
    /// The claim that took the place, not that of the cancelling request.
    #[prost(message, optional, tag = "1")]
    pub claim_key: Option<ClaimKey>,
    /// The resource.
    #[prost(string, tag = "2")]
    pub resource: String,
}

/// Sets the limit of one resource.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct SetCap {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The resource.
    #[prost(string, tag = "2")]
    pub resource: String,
    /// The places; none forgets the resource with all places taken, which is
    /// only safe once its target takes no more requests for it.
    #[prost(uint32, optional, tag = "3")]
    pub limit: Option<u32>,
}

/// An answer as a resend sees it again.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Answer {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// The body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// A header of an answer.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Header {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// What a small allocation costs beyond its bytes, so that many tiny headers
/// count for what they take.
const OVERHEAD: usize = 64;

impl Answer {
    /// What the answer takes in memory, in bytes.
    pub fn size(&self) -> usize {
        let header = |h: &Header| h.name.len() + h.value.len() + OVERHEAD;
        let headers: usize = self.headers.iter().map(header).sum();
        OVERHEAD + headers + self.body.len()
    }
}
