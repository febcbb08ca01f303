//! Calls of one connection that wait for their replies.

use crate::CallError;
use bytes::Bytes;
use tokio::sync::oneshot;

/// What the caller receives: the reply, or why there is none.
pub(crate) type CallResult = Result<Bytes, CallError>;

/// Pending calls in ascending order of their IDs.
#[derive(Debug, Default)]
pub(crate) struct PendingCalls {
    last_id: u64,
    calls: Vec<(u64, oneshot::Sender<CallResult>)>,
}

impl PendingCalls {
    /// Assigns an ID to a call, and keeps its sender until the reply arrives.
    pub(crate) fn add(&mut self, reply: oneshot::Sender<CallResult>) -> u64 {
        self.calls.retain(|(_, sender)| !sender.is_closed());
        self.last_id += 1;
        self.calls.push((self.last_id, reply));
        self.last_id
    }

    /// Passes a reply to its caller; an unknown or repeated ID is ignored.
    pub(crate) fn complete(&mut self, call_id: u64, payload: Bytes) {
        if let Ok(i) = self.calls.binary_search_by_key(&call_id, |(id, _)| *id) {
            let (_, reply) = self.calls.remove(i);
            drop(reply.send(Ok(payload)));
        }
    }

    /// Fails all calls after their connection broke, with a timeout since each may
    /// have had an effect.
    pub(crate) fn fail_all(&mut self) {
        for (_, reply) in self.calls.drain(..) {
            drop(reply.send(Err(CallError::Timeout)));
        }
    }
}
