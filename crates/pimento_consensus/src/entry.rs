//! Log entries, and the state that must survive a restart.

use crate::Members;
use bytes::Bytes;

/// The type of a log entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// No content. A new leader commits one to learn the commit index.
    Noop = 0,
    /// The payload is a command for the replicated state.
    Command = 1,
    /// The payload is the encoded [`Members`] of the group.
    Members = 2,
}

/// An entry of the log.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Entry {
    /// The position in the log, from 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the leader that created it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Its [`EntryKind`].
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// The content, which depends on the kind.
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: Bytes,
}

/// The term and vote, which must be durable before a message reveals them.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct HardState {
    /// The newest term seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The VM that this replica voted for in the term, or empty.
    #[prost(string, tag = "2")]
    pub vote: String,
}

/// The replicated state after an entry, which replaces the log up to it.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Snapshot {
    /// The last entry that is included.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The members of the group after that entry.
    #[prost(message, required, tag = "3")]
    pub members: Members,
    /// The encoded state.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}
