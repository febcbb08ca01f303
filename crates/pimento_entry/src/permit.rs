//! The right to send one request to one target.

use crate::Node;
use actix::prelude::*;
use pimento_admit::{Completion, RefusalReason};
use pimento_core::{Class, ServiceId, TargetId, TenantId, Time};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Asks the node for a slot at a target whose lease it holds.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Submit {
    pub(crate) id: u64,
    pub(crate) service: ServiceId,
    pub(crate) tenant: TenantId,
    pub(crate) class: Class,
    pub(crate) deadline: Time,
    pub(crate) tried: Vec<TargetId>,
    /// Whether an entry VM of another region forwarded the request.
    pub(crate) foreign: bool,
    pub(crate) reply: oneshot::Sender<Result<Grant, Refusal>>,
}

/// Takes a request out of the queue because its caller is gone.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Cancel {
    pub(crate) id: u64,
}

/// Returns a slot.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Finish {
    pub(crate) id: u64,
    pub(crate) ending: Completion,
}

/// The node could not give a slot; the request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The rules in force here do not have the service.
    NoService,
    /// Admission refused.
    Admit(RefusalReason),
    /// The process is stopping.
    Stopping,
}

/// A slot at a target, as the node hands it out.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) id: u64,
    pub(crate) target: TargetId,
    pub(crate) address: SocketAddr,
    /// The request must be sent before this time, because the lease may end.
    pub(crate) until: Time,
}

/// A place in the queue; leaving it early cancels the request.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) id: u64,
    pub(crate) node: Addr<Node>,
    pub(crate) armed: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.armed {
            self.node.do_send(Cancel { id: self.id });
        }
    }
}

/// A slot in use; dropping it early counts as a cancellation.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) grant: Grant,
    pub(crate) node: Addr<Node>,
    pub(crate) ending: Completion,
}

impl Permit {
    /// Returns the slot.
    pub(crate) fn end(mut self, ending: Completion) {
        self.ending = ending;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (id, ending) = (self.grant.id, self.ending);
        self.node.do_send(Finish { id, ending });
    }
}
