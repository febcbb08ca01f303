//! What the log holds and what must survive a restart.

use crate::Members;
use bytes::Bytes;

/// What an entry of the log does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// Nothing; a new leader commits one to learn what is committed.
    Noop = 0,
    /// The payload is a command for the replicated state.
    Command = 1,
    /// The payload is the encoded [`Members`] of the group.
    Members = 2,
}

/// An entry of the log.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Entry {
    /// The place in the log, from 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the leader that created it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// What it does.
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// The content, by kind.
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: Bytes,
}

/// The term and vote, which must be durable before a message that shows them.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct HardState {
    /// The newest term seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The VM that got this replica's vote in the term, or empty.
    #[prost(string, tag = "2")]
    pub vote: String,
}

/// The replicated state after an entry, in place of the log up to it.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Snapshot {
    /// The last entry that is contained.
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
