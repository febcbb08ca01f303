//! The account of a request that was passed to another entry VM.

use crate::{
    node::{Node, Settle},
    shared::Shared,
};
use actix::Addr;
use pimento_steer::Outcome;

/// Tells steering how a request ended that was passed on, also when nobody
/// waits for its answer any more; link bytes stay reserved until then.
#[derive(Debug)]
pub(crate) struct Settling {
    node: Addr<Node>,
    settle: Settle,
}

impl Settling {
    pub(crate) fn new(shared: &Shared, settle: Settle) -> Self {
        let node = shared.node.clone();
        Self { node, settle }
    }

    /// The VM refused the request.
    pub(crate) fn refused(&mut self) {
        self.settle.outcome = Outcome::Refused;
    }

    /// The answer's body has ended, or was given up, after `bytes` bytes.
    pub(crate) fn answered(&mut self, bytes: u64, whole: bool) {
        self.settle.outcome = if whole {
            Outcome::Answered { bytes }
        } else {
            Outcome::Failed { bytes }
        };
    }
}

impl Drop for Settling {
    fn drop(&mut self) {
        self.node.do_send(self.settle.clone());
    }
}
