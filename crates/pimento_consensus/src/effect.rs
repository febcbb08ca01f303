//! The effects that the state machine asks its caller to carry out.

use crate::{Entry, HardState, Members, Message, Snapshot};
use bytes::Bytes;
use pimento_core::VmId;

/// An action or event that the caller must handle, in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write and sync, in order, then call `Raft::record_synced`.
    Persist(Write),
    /// Send a message, which may be lost.
    Send {
        /// The receiver.
        to: VmId,
        /// The message.
        message: Message,
    },
    /// Apply a committed entry to the replicated state.
    Apply(Entry),
    /// Replace the replicated state by a snapshot.
    Restore {
        /// The last entry that the snapshot contains.
        index: u64,
        /// The encoded state.
        data: Bytes,
    },
    /// A proposal or membership change was appended to the log. It has taken
    /// effect once the entry with the same index and term is applied, and is
    /// lost if an entry of another term is applied at that index.
    Accepted {
        /// The request ID that the caller chose.
        id: u64,
        /// The index of its entry.
        index: u64,
        /// The term of its entry.
        term: u64,
    },
    /// A proposal, membership change or read was rejected without effect.
    Rejected {
        /// The request ID that the caller chose.
        id: u64,
        /// Why.
        reason: RejectReason,
    },
    /// A read may be answered from the state as applied now.
    ReadReady {
        /// The request ID that the caller chose.
        id: u64,
    },
    /// This replica became leader.
    BecameLeader,
    /// This replica follows another leader, or no leader is known.
    LeaderChanged {
        /// The leader, if known.
        leader: Option<VmId>,
    },
}

/// A batch of changes to make durable.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// A sequence number, to be passed to `Raft::record_synced`.
    pub seq: u64,
    /// Whether it contains the whole persistent state, and replaces everything
    /// written before. Always set with a snapshot.
    pub replaces: bool,
    /// The term and vote.
    pub hard_state: HardState,
    /// The newest snapshot, if the write replaces everything and there is one.
    pub snapshot: Option<Snapshot>,
    /// Entries to append; an entry at or below the last written index removes
    /// the entry with that index and all later ones first.
    pub entries: Vec<Entry>,
}

/// Why a proposal, membership change or read was rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// This replica is not the leader.
    NotLeader {
        /// The leader, if known.
        leader: Option<VmId>,
    },
    /// Too many entries wait for a quorum.
    TooManyUncommitted,
    /// The group has too few voters yet, or a membership change is in progress.
    MembershipPending,
    /// The VM is already a member.
    AlreadyMember,
    /// The VM is not a member.
    NotMember,
    /// The last voter can't be removed.
    LastVoter,
}

/// A change of the group's members, one at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberChange {
    /// Adds a learner, which the leader promotes once it has caught up.
    Add {
        /// The VM.
        vm: VmId,
        /// The network address of the VM.
        address: String,
    },
    /// Removes a member.
    Remove {
        /// The VM.
        vm: VmId,
    },
}

/// A replica's role in the group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Replicates a leader's log, or waits for a leader.
    Follower,
    /// Asks in a pre-vote whether it could win an election.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Accepts proposals and replicates its log.
    Leader,
}

/// A replica's view of the group, which may be stale.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The replica's role.
    pub role: Role,
    /// The leader, if known.
    pub leader: Option<VmId>,
    /// The newest term seen.
    pub term: u64,
    /// The last entry known to be committed.
    pub commit_index: u64,
    /// The last entry of the log.
    pub last_index: u64,
    /// The members as set by the newest membership entry in the log.
    pub members: Members,
    /// Whether that entry is known to be committed.
    pub members_committed: bool,
}
