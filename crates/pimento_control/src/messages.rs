//! The messages of the [`Control`](crate::Control) actor.

use crate::ControlError;
use actix::prelude::*;
use bytes::Bytes;
use pimento_consensus::{Change as MemberChange, Member};
use pimento_core::VmId;
use pimento_rules::Rules;
use pimento_state::{Command, Outcome, State, items::Catalog};
use serde::Serialize;
use std::{fmt, sync::Arc};

/// Applies a command on a quorum; a VM that doesn't lead passes it on.
#[derive(Debug, Message)]
#[rtype(result = "Result<Outcome, ControlError>")]
pub struct Propose {
    /// The command.
    pub command: Command,
}

/// Asks for the rules as a quorum confirms them.
#[derive(Debug, Message)]
#[rtype(result = "Result<Arc<Rules>, ControlError>")]
pub struct GetRules;

/// Reads the replicated state, current as a quorum confirms.
#[derive(Message)]
#[rtype(result = "Result<T, ControlError>")]
pub struct View<T: Send + 'static>(pub(crate) Box<dyn FnOnce(&State) -> T + Send>);

impl<T: Send + 'static> View<T> {
    /// Reads the state by a function, which should be short.
    pub fn new(read: impl FnOnce(&State) -> T + Send + 'static) -> Self {
        Self(Box::new(read))
    }
}

impl<T: Send + 'static> fmt::Debug for View<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("View")
    }
}

/// Adds or removes a control VM.
///
/// The answer comes when a quorum has the change; an added VM votes once it
/// has caught up.
#[derive(Debug, Message)]
#[rtype(result = "Result<u64, ControlError>")]
pub struct ChangeMembers(pub MemberChange);

/// Asks for a backup of the state as a quorum confirms it.
#[derive(Debug, Message)]
#[rtype(result = "Result<Bytes, ControlError>")]
pub struct Backup;

/// Asks for this VM's own view of the group, which may be stale.
#[derive(Debug, Message)]
#[rtype(result = "ControlStatus")]
pub struct GetStatus;

/// Stops the replica; the answer comes when its data folder is free.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Shutdown;

/// Sends [`RulesChanged`] now and after each change.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SubscribeRules(pub Recipient<RulesChanged>);

/// The rules that this VM has applied, which are never older than before.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct RulesChanged {
    /// The rules.
    pub rules: Arc<Rules>,
}

/// Sends [`CatalogChanged`] now and after each change.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SubscribeCatalog(pub Recipient<CatalogChanged>);

/// The items that this VM has applied, which are never older than before.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct CatalogChanged {
    /// The items.
    pub catalog: Arc<Catalog>,
}

/// A control VM's own view of the group.
#[derive(Clone, Debug, Serialize)]
pub struct ControlStatus {
    /// The VM whose view it is.
    pub vm: VmId,
    /// Its part: `leader`, `candidate`, `follower` or `failed`.
    pub role: &'static str,
    /// The leader, if one is known.
    pub leader: Option<VmId>,
    /// The newest term.
    pub term: u64,
    /// The last entry known to be committed.
    pub commit: u64,
    /// The last entry that was applied to the state.
    pub applied: u64,
    /// The VMs that vote.
    pub members: Vec<MemberStatus>,
    /// The VMs that catch up before they vote.
    pub learners: Vec<MemberStatus>,
    /// The version of the rules applied here.
    pub rules: u64,
}

/// A member of the control group.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The name of the VM.
    pub vm: String,
    /// Its link address.
    pub address: String,
}

impl From<&Member> for MemberStatus {
    fn from(member: &Member) -> Self {
        Self {
            vm: member.vm.clone(),
            address: member.address.clone(),
        }
    }
}
