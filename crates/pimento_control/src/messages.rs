//! The messages of the [`Control`](crate::Control) actor.

use crate::ControlError;
use actix::prelude::*;
use bytes::Bytes;
use pimento_consensus::{Member, MemberChange};
use pimento_core::VmId;
use pimento_rules::Rules;
use pimento_state::{Command, Outcome, State, items::Catalog};
use serde::Serialize;
use std::{fmt, sync::Arc};

/// Replicates a command to a quorum and applies it; a VM that isn't the leader
/// forwards it.
#[derive(Debug, Message)]
#[rtype(result = "Result<Outcome, ControlError>")]
pub struct Propose {
    /// The command.
    pub command: Command,
}

/// Returns the rules with a linearizable read.
#[derive(Debug, Message)]
#[rtype(result = "Result<Arc<Rules>, ControlError>")]
pub struct GetRules;

/// Reads the replicated state with a linearizable read.
#[derive(Message)]
#[rtype(result = "Result<T, ControlError>")]
pub struct View<T: Send + 'static>(pub(crate) Box<dyn FnOnce(&State) -> T + Send>);

impl<T: Send + 'static> View<T> {
    /// Creates a read by a function. It runs in the actor and should be fast.
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
/// The reply is sent once the change is committed by a quorum; an added VM
/// becomes a voter once it has caught up.
#[derive(Debug, Message)]
#[rtype(result = "Result<u64, ControlError>")]
pub struct ChangeMembers(pub MemberChange);

/// Returns a backup of the state, taken with a linearizable read.
#[derive(Debug, Message)]
#[rtype(result = "Result<Bytes, ControlError>")]
pub struct Backup;

/// Returns this VM's own view of the group, which may be stale.
#[derive(Debug, Message)]
#[rtype(result = "ControlStatus")]
pub struct GetStatus;

/// Stops the replica; the reply is sent once its data folder is closed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Shutdown;

/// Subscribes to [`RulesChanged`], which is sent now and after each change.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SubscribeRules(pub Recipient<RulesChanged>);

/// The rules that this VM has applied. Their version never decreases.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct RulesChanged {
    /// The applied rules.
    pub rules: Arc<Rules>,
}

/// Subscribes to [`CatalogChanged`], which is sent now and after each change.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SubscribeCatalog(pub Recipient<CatalogChanged>);

/// The items that this VM has applied. Their revision never decreases.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct CatalogChanged {
    /// The applied items.
    pub catalog: Arc<Catalog>,
}

/// A control VM's own view of the group.
#[derive(Clone, Debug, Serialize)]
pub struct ControlStatus {
    /// The VM that reports this view.
    pub vm: VmId,
    /// Its role: `leader`, `candidate`, `follower` or `failed`.
    pub role: &'static str,
    /// The leader, if known.
    pub leader: Option<VmId>,
    /// The current term.
    pub term: u64,
    /// The index of the last entry known to be committed.
    pub commit: u64,
    /// The index of the last entry that was applied to the state.
    pub applied: u64,
    /// The voters.
    pub members: Vec<MemberStatus>,
    /// The learners, which don't vote until they have caught up.
    pub learners: Vec<MemberStatus>,
    /// The version of the rules applied on this VM.
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
