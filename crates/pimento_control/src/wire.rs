//! The messages between a client and a control VM.

use crate::{ControlError, Fault, query::StateQuery};
use bytes::Bytes;
use pimento_consensus::{MemberChange, RejectReason};
use pimento_core::{Verdict, VmId};
use pimento_rules::{RulesPull, RulesPush};

/// A request to a control VM. Except for [`Request::Status`], only the leader
/// handles it.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RequestMessage {
    #[prost(oneof = "Request", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub request: Option<Request>,
}

/// The content of a [`RequestMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Request {
    /// Replicates and applies an encoded command.
    #[prost(bytes = "bytes", tag = "1")]
    Propose(Bytes),
    /// Requests the read index of a linearizable read.
    #[prost(bool, tag = "2")]
    ReadIndex(bool),
    /// Pulls the rules that a VM is missing.
    #[prost(message, tag = "3")]
    Rules(RulesPull),
    /// Adds a VM to the group.
    #[prost(message, tag = "4")]
    Add(MemberAddress),
    /// Removes a VM from the group.
    #[prost(string, tag = "5")]
    Remove(String),
    /// Requests a backup of the state.
    #[prost(bool, tag = "6")]
    Backup(bool),
    /// Runs an operator's query of the state.
    #[prost(message, tag = "7")]
    Query(StateQuery),
    /// Requests the VM's own view of the group, also from a follower.
    #[prost(bool, tag = "8")]
    Status(bool),
    /// Adds a VM that identifies its replica by the ID of the data folder.
    #[prost(message, tag = "9")]
    Join(JoinRequest),
}

/// A VM's request to become a member.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct JoinRequest {
    #[prost(string, tag = "1")]
    pub vm: String,
    #[prost(string, tag = "2")]
    pub address: String,
    /// The random ID of its data folder.
    #[prost(uint64, tag = "3")]
    pub folder_id: u64,
}

/// A member of the group, or a VM to add to it.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct MemberAddress {
    #[prost(string, tag = "1")]
    pub vm: String,
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The response to a [`RequestMessage`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ResponseMessage {
    #[prost(oneof = "Response", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub response: Option<Response>,
}

/// The content of a [`ResponseMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Response {
    /// The encoded outcome of a command.
    #[prost(bytes = "bytes", tag = "1")]
    Outcome(Bytes),
    /// The read index, or the index of an applied membership change.
    #[prost(uint64, tag = "2")]
    Index(u64),
    /// A part of the rules that the VM is missing.
    #[prost(message, tag = "3")]
    Rules(RulesPush),
    /// An encoded backup.
    #[prost(bytes = "bytes", tag = "4")]
    Backup(Bytes),
    /// The VM is not the leader; it did nothing.
    #[prost(message, tag = "5")]
    NotLeader(NotLeader),
    /// The request failed.
    #[prost(message, tag = "6")]
    Failed(Failed),
    /// The result of a query as JSON, or empty if nothing matches.
    #[prost(bytes = "bytes", tag = "7")]
    Json(Bytes),
    /// The current members of the group that a VM requested to join.
    #[prost(message, tag = "8")]
    Members(MemberList),
}

/// The current members of the group that a VM requested to join. With their
/// addresses it can reply to a leader that its settings don't list.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct MemberList {
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberAddress>,
}

/// The VM is not the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct NotLeader {
    /// The address of the leader, if known.
    #[prost(string, tag = "1")]
    pub leader: String,
}

/// A failed request.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Failed {
    /// Whether the command was not and will not be applied.
    #[prost(bool, tag = "1")]
    pub not_run: bool,
    #[prost(enumeration = "Fault", tag = "2")]
    pub fault: i32,
}

impl From<ControlError> for Response {
    fn from(error: ControlError) -> Self {
        Self::Failed(Failed {
            not_run: error.verdict == Verdict::NotRun,
            fault: error.fault as i32,
        })
    }
}

impl From<Failed> for ControlError {
    fn from(failed: Failed) -> Self {
        let fault = failed.fault();
        if failed.not_run {
            Self::not_run(fault)
        } else {
            Self::may_have_run(fault)
        }
    }
}

impl From<MemberChange> for Request {
    fn from(change: MemberChange) -> Self {
        match change {
            MemberChange::Add { vm, address } => Self::Add(MemberAddress {
                vm: vm.into(),
                address,
            }),
            MemberChange::Remove { vm } => Self::Remove(vm.into()),
        }
    }
}

impl Request {
    /// Returns the membership change, if the request is one.
    pub(crate) fn member_change(&self) -> Option<MemberChange> {
        match self {
            Self::Add(add) => Some(MemberChange::Add {
                vm: VmId::new(&add.vm).ok()?,
                address: add.address.clone(),
            }),
            Self::Remove(vm) => Some(MemberChange::Remove {
                vm: VmId::new(vm).ok()?,
            }),
            _ => None,
        }
    }

    /// Whether the request changes the state, so that a lost reply leaves unknown
    /// what was done.
    pub(crate) fn is_write(&self) -> bool {
        matches!(self, Self::Propose(_) | Self::Add(_) | Self::Remove(_))
    }
}

/// Converts a rejection to a fault. [`RejectReason::NotLeader`] is normally
/// answered with [`NotLeader`] instead.
pub(crate) fn rejection_fault(reason: &RejectReason) -> Fault {
    match reason {
        RejectReason::NotLeader { .. } => Fault::NoLeader,
        RejectReason::TooManyUncommitted => Fault::Busy,
        RejectReason::MembershipPending => Fault::MembershipPending,
        RejectReason::AlreadyMember => Fault::AlreadyMember,
        RejectReason::NotMember => Fault::NotMember,
        RejectReason::LastVoter => Fault::LastVoter,
    }
}
