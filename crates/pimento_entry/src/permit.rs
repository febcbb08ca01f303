//! Permits: the right to send one request to one target.

use crate::Node;
use actix::prelude::*;
use pimento_admit::{Completion, RefusalReason};
use pimento_core::{Class, ServiceId, TargetId, TenantId, Time};
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Asks the node for a permit at a target whose lease it holds.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct RequestPermit {
    pub(crate) id: u64,
    pub(crate) service: ServiceId,
    pub(crate) tenant: TenantId,
    pub(crate) class: Class,
    pub(crate) deadline: Time,
    pub(crate) tried_targets: Vec<TargetId>,
    /// Whether an entry VM of another region forwarded the request.
    pub(crate) cross_region: bool,
    pub(crate) reply: oneshot::Sender<Result<Grant, Refusal>>,
}

/// Removes a request from the queue because its caller has disconnected.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct CancelRequest {
    pub(crate) id: u64,
}

#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ReleasePermit {
    pub(crate) id: u64,
    pub(crate) completion: Completion,
}

/// Why the node granted no permit; the request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Refusal {
    /// The rules in force on this VM don't contain the service.
    NoService,
    /// Refused by admission.
    Admit(RefusalReason),
    Stopping,
}

/// A permit as granted by the node.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) id: u64,
    pub(crate) target: TargetId,
    /// The target's incarnation, which its notices bind.
    pub(crate) incarnation: u64,
    pub(crate) address: SocketAddr,
    /// The request must be sent before this time, since the lease may end then.
    pub(crate) send_by: Time,
}

/// A queued request; cancels it on drop unless disarmed.
#[derive(Debug)]
pub(crate) struct QueueGuard {
    pub(crate) id: u64,
    pub(crate) node: Addr<Node>,
    pub(crate) armed: bool,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        if self.armed {
            self.node.do_send(CancelRequest { id: self.id });
        }
    }
}

/// A permit in use. Dropping it releases the permit, as cancelled unless a
/// completion was set.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) grant: Grant,
    pub(crate) node: Addr<Node>,
    pub(crate) completion: Completion,
}

impl Permit {
    /// Releases the permit with its completion.
    pub(crate) fn release(mut self, completion: Completion) {
        self.completion = completion;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (id, completion) = (self.grant.id, self.completion);
        self.node.do_send(ReleasePermit { id, completion });
    }
}
