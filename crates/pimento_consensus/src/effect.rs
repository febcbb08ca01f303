//! What the core asks of its shell.

use crate::{Entry, HardState, Members, Message, Snapshot};
use bytes::Bytes;
use pimento_core::VmId;

/// What the shell must do, in the order given.
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
    /// A proposal or change was appended; it is done once the entry with the
    /// same index and term is applied, and void if another term is applied
    /// there.
    Accepted {
        /// The caller's number.
        id: u64,
        /// The index of its entry.
        index: u64,
        /// The term of its entry.
        term: u64,
    },
    /// A proposal, change or read had no effect.
    Rejected {
        /// The caller's number.
        id: u64,
        /// Why.
        reason: RejectReason,
    },
    /// A read may be answered from the state as applied now.
    ReadReady {
        /// The caller's number.
        id: u64,
    },
    /// This replica became leader.
    BecameLeader,
    /// This replica follows, or no leader is known.
    LeaderChanged {
        /// The leader, if known.
        leader: Option<VmId>,
    },
}

/// Something to make durable.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Grows with each write; `Raft::record_synced` takes it back.
    pub seq: u64,
    /// The term and vote.
    pub hard_state: HardState,
    /// If present, it replaces all that was written before.
    pub snapshot: Option<Snapshot>,
    /// Entries to append; one at or below the last written index removes that
    /// entry and all after it.
    pub entries: Vec<Entry>,
}

/// Why a proposal, change or read had no effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RejectReason {
    /// This replica does not lead.
    NotLeader {
        /// The leader, if known.
        leader: Option<VmId>,
    },
    /// Too many entries wait for a quorum.
    TooManyUncommitted,
    /// The group is not complete yet, or a change of members is under way.
    MembershipPending,
    /// The VM is a member already.
    AlreadyMember,
    /// The VM is no member.
    NotMember,
    /// The last voter can't leave.
    LastVoter,
}

/// A change of the group's members, one at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a learner, which the leader promotes once it has caught up.
    Add {
        /// The VM.
        vm: VmId,
        /// Where the shell reaches it.
        address: String,
    },
    /// Removes a member.
    Remove {
        /// The VM.
        vm: VmId,
    },
}

/// What a replica does in the group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Takes entries from a leader, or waits for one.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Takes proposals.
    Leader,
}

/// A replica's view of the group, which may be stale.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// What the replica does.
    pub role: Role,
    /// The leader, if known.
    pub leader: Option<VmId>,
    /// The newest term seen.
    pub term: u64,
    /// The last entry known to be committed.
    pub commit_index: u64,
    /// The last entry of the log.
    pub last_index: u64,
    /// The members by the newest entry in the log.
    pub members: Members,
    /// Whether those members are known to be committed.
    pub members_committed: bool,
}
