//! Calls that wait for their replies.

use crate::CallError;
use bytes::Bytes;
use tokio::sync::oneshot;

/// What a waiting caller receives.
pub(crate) type Answer = Result<Bytes, CallError>;

/// Calls in the order of their numbers.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    last: u64,
    calls: Vec<(u64, oneshot::Sender<Answer>)>,
}

impl Pending {
    /// Numbers a call and keeps its sender until the reply arrives.
    pub(crate) fn add(&mut self, reply: oneshot::Sender<Answer>) -> u64 {
        self.calls.retain(|(_, sender)| !sender.is_closed());
        self.last += 1;
        self.calls.push((self.last, reply));
        self.last
    }

    /// Hands a reply to its caller; an unknown or repeated number is ignored.
    pub(crate) fn answer(&mut self, call: u64, payload: Bytes) {
        if let Ok(i) = self.calls.binary_search_by_key(&call, |(id, _)| *id) {
            let (_, reply) = self.calls.remove(i);
            drop(reply.send(Ok(payload)));
        }
    }

    /// Ends all calls after their connection failed: each may have had an effect.
    pub(crate) fn fail(&mut self) {
        for (_, reply) in self.calls.drain(..) {
            drop(reply.send(Err(CallError::Timeout)));
        }
    }
}
