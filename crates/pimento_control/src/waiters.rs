//! Callers that wait for the replicated log.

use crate::{query::StateQuery, wire::Response};
use pimento_core::Time;
use pimento_rules::RulesPull;
use std::fmt;

/// Sends the response to the caller of a request.
pub(crate) struct Responder(Box<dyn FnOnce(Response) + Send>);

impl Responder {
    pub(crate) fn new(respond: impl FnOnce(Response) + Send + 'static) -> Self {
        Self(Box::new(respond))
    }

    pub(crate) fn send(self, response: impl Into<Response>) {
        (self.0)(response.into());
    }
}

impl fmt::Debug for Responder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Responder")
    }
}

/// What a linearizable read returns.
#[derive(Clone, Debug)]
pub(crate) enum ReadKind {
    /// The read index only.
    Index,
    /// The rules that a VM is missing.
    Rules(RulesPull),
    /// The result of an operator's query.
    Query(StateQuery),
    /// A backup of the state.
    Backup,
}

/// A caller whose entry is in the leader's log but not applied yet.
#[derive(Debug)]
pub(crate) struct PendingProposal {
    pub index: u64,
    pub term: u64,
    pub deadline: Time,
    pub responder: Responder,
}

/// A caller whose read waits for confirmation by a quorum.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub id: u64,
    pub kind: ReadKind,
    pub deadline: Time,
    pub responder: Responder,
}

/// A local caller that waits until an index is applied here.
#[derive(Debug)]
pub(crate) struct ApplyWaiter {
    pub index: u64,
    pub deadline: Time,
    pub responder: Responder,
}
