//! The messages between replicas.

use crate::{Entry, Members};
use bytes::Bytes;

/// A message between two replicas.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Message {
    /// The term of the sender, or in a pre-vote the term it would start.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The ID of the sender's data folder.
    #[prost(uint64, tag = "2")]
    pub folder_id: u64,
    /// The content; a message without one is ignored.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<Body>,
}

/// The content of a [`Message`].
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum Body {
    /// A candidate requests a vote.
    #[prost(message, tag = "3")]
    RequestVote(RequestVote),
    /// The reply to [`Body::RequestVote`].
    #[prost(message, tag = "4")]
    RequestVoteReply(RequestVoteReply),
    /// A leader replicates entries or sends a heartbeat.
    #[prost(message, tag = "5")]
    AppendEntries(AppendEntries),
    /// The reply to [`Body::AppendEntries`], and to a complete snapshot.
    #[prost(message, tag = "6")]
    AppendEntriesReply(AppendEntriesReply),
    /// A leader sends a chunk of its snapshot.
    #[prost(message, tag = "7")]
    InstallSnapshot(InstallSnapshot),
    /// The reply to [`Body::InstallSnapshot`].
    #[prost(message, tag = "8")]
    InstallSnapshotReply(InstallSnapshotReply),
    /// An initial member reports whether it knows of a group.
    #[prost(message, tag = "9")]
    BootstrapProbe(BootstrapProbe),
    /// A leader that is about to stop asks the receiver to start an election.
    #[prost(message, tag = "10")]
    TimeoutNow(TimeoutNow),
}

/// A candidate requests a vote.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct RequestVote {
    /// Whether this is a pre-vote, which changes no state of the voter.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// The last entry of the candidate's log.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// The ID of the voter's data folder in the candidate's member list. A voter
    /// with another folder has lost its earlier votes and must not vote.
    #[prost(uint64, tag = "4")]
    pub voter_folder: u64,
    /// Whether the leader asked for the election, so that voters grant a vote
    /// although the leader is alive.
    #[prost(bool, tag = "5")]
    pub leader_transfer: bool,
}

/// The reply to a [`RequestVote`].
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct RequestVoteReply {
    /// Whether it is the reply to a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote was granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// A leader replicates entries or sends a heartbeat.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct AppendEntries {
    /// The entry before the first one in `entries`.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// The leader's commit index.
    #[prost(uint64, tag = "3")]
    pub leader_commit: u64,
    /// The heartbeat round; reads are confirmed once a quorum echoes it.
    #[prost(uint64, tag = "4")]
    pub round: u64,
    /// New entries, or none in a heartbeat.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<Entry>,
}

/// The reply to an [`AppendEntries`].
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct AppendEntriesReply {
    /// Whether the log matches the leader's at the previous entry.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// If accepted, the last durable entry that matches the leader's log;
    /// otherwise the entry that the leader should try as the previous one.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The newest round received.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// A leader sends a chunk of its snapshot.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct InstallSnapshot {
    /// The last entry that the snapshot contains.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    /// The members after that entry.
    #[prost(message, required, tag = "3")]
    pub members: Members,
    /// The offset of this chunk, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// The size of the whole snapshot.
    #[prost(uint64, tag = "5")]
    pub total_bytes: u64,
    /// The content of this chunk.
    #[prost(bytes = "bytes", tag = "6")]
    pub data: Bytes,
}

/// The reply to an [`InstallSnapshot`].
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct InstallSnapshotReply {
    /// The last entry of the snapshot that is being received.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// The bytes received so far, which is the offset of the next chunk.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// An initial member reports whether it knows of a group, before it bootstraps
/// one.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct BootstrapProbe {
    /// Whether the receiver must reply with a [`BootstrapProbe`] of its own.
    #[prost(bool, tag = "1")]
    pub wants_reply: bool,
    /// Whether the sender has ever been in contact with a group.
    #[prost(bool, tag = "2")]
    pub knows_group: bool,
}

/// A leader that is about to stop asks the receiver to start an election.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct TimeoutNow {
    /// The last entry of the leader's log.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
}
