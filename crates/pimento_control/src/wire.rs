//! What a process asks a control VM over a link.

use crate::{ControlError, Fault, query::StateQuery};
use bytes::Bytes;
use pimento_consensus::{Change, RejectReason};
use pimento_core::{Verdict, VmId};
use pimento_rules::{RulesPull, RulesPush};

/// A question to a control VM, which answers only if it leads.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Ask {
    #[prost(oneof = "Question", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub question: Option<Question>,
}

/// The content of an [`Ask`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Question {
    /// Apply an encoded command.
    #[prost(bytes = "bytes", tag = "1")]
    Propose(Bytes),
    /// Which index must be applied for a current view?
    #[prost(bool, tag = "2")]
    Confirm(bool),
    /// What a VM lacks of the rules.
    #[prost(message, tag = "3")]
    Rules(RulesPull),
    /// Add a VM to the group.
    #[prost(message, tag = "4")]
    Add(Add),
    /// Remove a VM from the group.
    #[prost(string, tag = "5")]
    Remove(String),
    /// A backup of the state.
    #[prost(bool, tag = "6")]
    Backup(bool),
    /// An operator's look at the state.
    #[prost(message, tag = "7")]
    StateQuery(StateQuery),
    /// The VM's own view of the group, whether it leads or not.
    #[prost(bool, tag = "8")]
    Status(bool),
    /// Make a VM a member, as the replica that its data folder makes it.
    #[prost(message, tag = "9")]
    Join(Join),
}

/// A VM that asks to be a member.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Join {
    #[prost(string, tag = "1")]
    pub vm: String,
    #[prost(string, tag = "2")]
    pub address: String,
    /// The number of its data folder.
    #[prost(uint64, tag = "3")]
    pub instance: u64,
}

/// A VM to add to the group.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Add {
    #[prost(string, tag = "1")]
    pub vm: String,
    #[prost(string, tag = "2")]
    pub address: String,
}

/// The answer to an [`Ask`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Reply {
    #[prost(oneof = "Answer", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub answer: Option<Answer>,
}

/// The content of a [`Reply`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Answer {
    /// The encoded outcome of a command.
    #[prost(bytes = "bytes", tag = "1")]
    Outcome(Bytes),
    /// The index that must be applied, or that a change took.
    #[prost(uint64, tag = "2")]
    Index(u64),
    /// A part of what the VM lacks of the rules.
    #[prost(message, tag = "3")]
    Rules(RulesPush),
    /// An encoded backup.
    #[prost(bytes = "bytes", tag = "4")]
    Backup(Bytes),
    /// The VM does not lead; nothing was done.
    #[prost(message, tag = "5")]
    NotLeader(NotLeader),
    /// There is no result.
    #[prost(message, tag = "6")]
    Failed(Failed),
    /// What an operator looked at, as JSON; empty if there is none.
    #[prost(bytes = "bytes", tag = "7")]
    Json(Bytes),
    /// The members of the group that the VM is being made one of.
    #[prost(message, tag = "8")]
    Members(Joining),
}

/// The members of the group that a VM is being made one of, through which it
/// can answer a leader that its settings don't list.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Joining {
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<Add>,
}

/// The VM does not lead.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct NotLeader {
    /// The address of the leader, if known.
    #[prost(string, tag = "1")]
    pub leader: String,
}

/// There is no result.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Failed {
    /// Whether the command can't have been applied.
    #[prost(bool, tag = "1")]
    pub not_run: bool,
    #[prost(enumeration = "Fault", tag = "2")]
    pub fault: i32,
}

impl From<ControlError> for Answer {
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

impl From<Change> for Question {
    fn from(change: Change) -> Self {
        match change {
            Change::Add { vm, address } => Self::Add(Add {
                vm: vm.into(),
                address,
            }),
            Change::Remove { vm } => Self::Remove(vm.into()),
        }
    }
}

impl Question {
    /// The change of members that is asked for, if it is one.
    pub(crate) fn change(&self) -> Option<Change> {
        match self {
            Self::Add(add) => Some(Change::Add {
                vm: VmId::new(&add.vm).ok()?,
                address: add.address.clone(),
            }),
            Self::Remove(vm) => Some(Change::Remove {
                vm: VmId::new(vm).ok()?,
            }),
            _ => None,
        }
    }

    /// Whether a lost answer leaves open what was done.
    pub(crate) fn writes(&self) -> bool {
        matches!(self, Self::Propose(_) | Self::Add(_) | Self::Remove(_))
    }
}

/// The fault that a refusal means; a missing leader is answered otherwise.
pub(crate) fn fault(reason: &RejectReason) -> Fault {
    match reason {
        RejectReason::NotLeader { .. } => Fault::NoLeader,
        RejectReason::TooManyUncommitted => Fault::Busy,
        RejectReason::MembershipPending => Fault::MembershipPending,
        RejectReason::AlreadyMember => Fault::AlreadyMember,
        RejectReason::NotMember => Fault::NotMember,
        RejectReason::LastVoter => Fault::LastVoter,
    }
}
