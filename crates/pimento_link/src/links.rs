//! The handle through which actors use links.

use crate::Channel;
use actix::prelude::*;
use bytes::Bytes;
use pimento_core::VmId;
use std::{net::SocketAddr, time::Duration};
use tokio::sync::oneshot;

/// A message from another process, delivered to the actor that subscribed to
/// its channel.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Incoming {
    /// The VM that sent it.
    pub from: VmId,
    /// The duty that it belongs to.
    pub channel: Channel,
    /// The encoded message.
    pub payload: Bytes,
    /// Where an answer goes, if the sender waits for one.
    pub reply: Option<Reply>,
}

/// The place for the answer to a call.
#[derive(Debug)]
pub struct Reply(oneshot::Sender<Bytes>);

impl Reply {
    /// Answers the call; a caller that no longer waits is ignored.
    pub fn send(self, payload: Bytes) {
        drop(self.0.send(payload));
    }
}

/// A call got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CallError {
    /// The message was not handed to a connection, so it had no effect.
    #[error("the process could not be reached")]
    Unreachable,
    /// The message was sent and no answer came in time.
    #[error("no answer came in time")]
    Timeout,
}

/// A cheap handle to the links of this process.
#[derive(Clone, Debug)]
pub struct Links {
    limit: Duration,
}

impl Links {
    /// Sends a message without waiting; it may be lost.
    pub fn send(&self, _to: SocketAddr, _channel: Channel, _payload: Bytes) {}

    /// Sends a message and waits for the answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unreachable`] if the message had no effect, and
    /// [`CallError::Timeout`] if it may have had one.
    pub async fn call(
        &self,
        _to: SocketAddr,
        _channel: Channel,
        _payload: Bytes,
        limit: Duration,
    ) -> Result<Bytes, CallError> {
        tokio::time::sleep(limit.min(self.limit)).await;
        Err(CallError::Unreachable)
    }

    /// Delivers the messages of a channel to an actor.
    pub fn subscribe(&self, _channel: Channel, _to: Recipient<Incoming>) {}
}
