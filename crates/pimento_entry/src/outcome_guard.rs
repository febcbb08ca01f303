//! Reports the outcome of a forwarded request.

use crate::{
    node::{Node, RecordOutcome},
    shared::Shared,
};
use actix::Addr;
use pimento_steer::Outcome;

/// Reports the outcome of a forwarded request to steering on drop, so also when
/// the caller has disconnected. Until then the request's link bytes stay
/// reserved.
#[derive(Debug)]
pub(crate) struct OutcomeGuard {
    node: Addr<Node>,
    message: RecordOutcome,
}

impl OutcomeGuard {
    pub(crate) fn new(shared: &Shared, message: RecordOutcome) -> Self {
        let node = shared.node.clone();
        Self { node, message }
    }

    /// Sets the outcome: the other VM refused the request.
    pub(crate) fn set_refused(&mut self) {
        self.message.outcome = Outcome::Refused;
    }

    /// Sets the outcome: the response's body has ended or was dropped after
    /// `bytes` bytes.
    pub(crate) fn set_answered(&mut self, bytes: u64, complete: bool) {
        self.message.outcome = if complete {
            Outcome::Answered { bytes }
        } else {
            Outcome::Failed { bytes }
        };
    }
}

impl Drop for OutcomeGuard {
    fn drop(&mut self) {
        self.node.do_send(self.message.clone());
    }
}
