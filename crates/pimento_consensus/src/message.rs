//! What replicas say to each other.

use crate::{Entry, Members};
use bytes::Bytes;

/// A message between two replicas.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Message {
    /// The term of the sender, or the term asked for in a pre-vote.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The data folder of the sender.
    #[prost(uint64, tag = "2")]
    pub folder_id: u64,
    /// The content; a message without one is ignored.
    #[prost(oneof = "Body", tags = "3, 4, 5, 6, 7, 8, 9, 10")]
    pub body: Option<Body>,
}

/// The content of a [`Message`].
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum Body {
    /// A candidate asks for a vote.
    #[prost(message, tag = "3")]
    RequestVote(RequestVote),
    /// The answer to [`Body::RequestVote`].
    #[prost(message, tag = "4")]
    RequestVoteReply(RequestVoteReply),
    /// A leader replicates entries, or shows that it lives.
    #[prost(message, tag = "5")]
    AppendEntries(AppendEntries),
    /// The answer to [`Body::AppendEntries`], also to a whole snapshot.
    #[prost(message, tag = "6")]
    AppendEntriesReply(AppendEntriesReply),
    /// A leader sends a part of its snapshot.
    #[prost(message, tag = "7")]
    InstallSnapshot(InstallSnapshot),
    /// The answer to [`Body::InstallSnapshot`].
    #[prost(message, tag = "8")]
    InstallSnapshotReply(InstallSnapshotReply),
    /// A first member says whether it knows of a group.
    #[prost(message, tag = "9")]
    BootstrapProbe(BootstrapProbe),
    /// A leader that is about to stop asks the receiver to take over.
    #[prost(message, tag = "10")]
    TimeoutNow(TimeoutNow),
}

/// A candidate asks for a vote.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct RequestVote {
    /// A pre-vote changes nothing at the voter.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// The last entry of the candidate.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// The term of the candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
    /// The voter's data folder that the candidate's members name; a voter with
    /// another one has lost what it had promised and must not vote.
    #[prost(uint64, tag = "4")]
    pub voter_folder: u64,
    /// Whether the leader asked for the election, so that it is no reason to
    /// refuse that the leader lives.
    #[prost(bool, tag = "5")]
    pub leader_transfer: bool,
}

/// The answer to a [`RequestVote`].
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct RequestVoteReply {
    /// Whether it answers a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote was granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// A leader replicates entries, or shows that it lives.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct AppendEntries {
    /// The entry before the first one here.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// The leader's commit index.
    #[prost(uint64, tag = "3")]
    pub leader_commit: u64,
    /// The round that confirms reads when a quorum echoes it.
    #[prost(uint64, tag = "4")]
    pub round: u64,
    /// New entries, or none in a heartbeat.
    #[prost(message, repeated, tag = "5")]
    pub entries: Vec<Entry>,
}

/// The answer to an [`AppendEntries`].
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct AppendEntriesReply {
    /// Whether the entry before the first one was there.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// The last entry that equals the leader's and is durable, if accepted;
    /// otherwise the entry that the leader should try as the previous one.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The round of the newest append.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// A leader sends a part of its snapshot.
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
    /// Where this part begins, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// The size of the whole snapshot, in bytes.
    #[prost(uint64, tag = "5")]
    pub total_bytes: u64,
    /// The bytes of this part.
    #[prost(bytes = "bytes", tag = "6")]
    pub data: Bytes,
}

/// The answer to an [`InstallSnapshot`].
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct InstallSnapshotReply {
    /// The snapshot that is being received.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// The bytes received so far, where the next part begins.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// A first member says whether it knows of a group, before there is one.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct BootstrapProbe {
    /// Whether the sender waits for the receiver's own [`BootstrapProbe`].
    #[prost(bool, tag = "1")]
    pub wants_reply: bool,
    /// Whether the sender has ever heard of a group.
    #[prost(bool, tag = "2")]
    pub knows_group: bool,
}

/// A leader that is about to stop asks the receiver to take over.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct TimeoutNow {
    /// The last entry of the leader.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
}
