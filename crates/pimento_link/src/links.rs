//! The handle through which actors use links.

use crate::{Channel, Key, accept, hub, pending::CallResult};
use actix::prelude::*;
use bytes::Bytes;
use pimento_core::VmId;
use pimento_log::Logger;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::{mpsc, oneshot};

/// A message from another process, delivered to the actor that subscribed to
/// its channel.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Incoming {
    /// The VM that sent it, as authenticated by the handshake.
    pub from: VmId,
    /// The subsystem that it belongs to.
    pub channel: Channel,
    /// The encoded message.
    pub payload: Bytes,
    /// The means to reply, if the sender waits for a reply.
    pub reply: Option<Reply>,
}

/// Sends the reply to a call.
#[derive(Debug)]
pub struct Reply {
    pub(crate) call_id: u64,
    pub(crate) sender: mpsc::UnboundedSender<(u64, Bytes)>,
}

impl Reply {
    /// Replies to the call; has no effect if the caller no longer waits.
    pub fn send(self, payload: Bytes) {
        drop(self.sender.send((self.call_id, payload)));
    }
}

/// The reason why a call has no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum CallError {
    /// The message was never written to a connection, so it had no effect.
    #[error("the process could not be reached")]
    Unreachable,
    /// The message was sent, but no reply arrived in time.
    #[error("no reply arrived in time")]
    Timeout,
}

/// A message to be sent to a peer.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) channel: Channel,
    pub(crate) payload: Bytes,
    pub(crate) reply: Option<oneshot::Sender<CallResult>>,
}

/// The state that all link tasks of a process share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) own_vm: VmId,
    pub(crate) key: Key,
    pub(crate) log: Logger,
    subscribers: Mutex<Vec<(Channel, Recipient<Incoming>)>>,
}

impl Shared {
    /// Delivers a message to the subscriber of its channel, if there is one.
    pub(crate) fn deliver(&self, message: Incoming) {
        let subscribers = self.subscribers.lock().expect("no holder panics");
        let found = subscribers
            .iter()
            .find(|(channel, _)| *channel == message.channel);
        if let Some((_, recipient)) = found {
            recipient.do_send(message);
        }
    }
}

/// A cheap handle to the links of this process.
#[derive(Clone, Debug)]
pub struct Links {
    shared: Arc<Shared>,
    hub: mpsc::UnboundedSender<(SocketAddr, Outgoing)>,
}

impl Links {
    /// Starts accepting connections and the other link tasks on the current arbiter.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the listener can't be used.
    pub fn start(
        own_vm: VmId,
        key: Key,
        listener: std::net::TcpListener,
        log: Logger,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let shared = Arc::new(Shared {
            own_vm,
            key,
            log,
            subscribers: Mutex::default(),
        });
        let (hub, outgoing) = mpsc::unbounded_channel();
        actix_rt::spawn(accept::listen(listener, Arc::clone(&shared)));
        actix_rt::spawn(hub::run(outgoing, Arc::clone(&shared)));
        Ok(Self { shared, hub })
    }

    /// Queues a message for sending; it may be lost.
    pub fn send(&self, to: SocketAddr, channel: Channel, payload: Bytes) {
        let message = Outgoing {
            channel,
            payload,
            reply: None,
        };
        drop(self.hub.send((to, message)));
    }

    /// Sends a message and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unreachable`] if the message had no effect, and
    /// [`CallError::Timeout`] if it may have had one.
    pub async fn call(
        &self,
        to: SocketAddr,
        channel: Channel,
        payload: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        let (reply, result) = oneshot::channel();
        let message = Outgoing {
            channel,
            payload,
            reply: Some(reply),
        };
        if self.hub.send((to, message)).is_err() {
            return Err(CallError::Unreachable);
        }
        match tokio::time::timeout(timeout, result).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(CallError::Timeout),
        }
    }

    /// Delivers the messages of a channel to an actor, which replaces any earlier
    /// subscriber.
    pub fn subscribe(&self, channel: Channel, to: Recipient<Incoming>) {
        let mut subscribers = self.shared.subscribers.lock().expect("no holder panics");
        subscribers.retain(|(other, _)| *other != channel);
        subscribers.push((channel, to));
    }
}
