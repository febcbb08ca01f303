//! The handle through which actors use links.

use crate::{Channel, Key, accept, hub, pending::Answer};
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
    /// The VM that sent it, as proved by the handshake.
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
pub struct Reply {
    pub(crate) call: u64,
    pub(crate) back: mpsc::UnboundedSender<(u64, Bytes)>,
}

impl Reply {
    /// Answers the call; a caller that no longer waits is ignored.
    pub fn send(self, payload: Bytes) {
        drop(self.back.send((self.call, payload)));
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

/// A message on its way to a peer.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) channel: Channel,
    pub(crate) payload: Bytes,
    pub(crate) reply: Option<oneshot::Sender<Answer>>,
}

/// What the tasks of a process's links share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) me: VmId,
    pub(crate) key: Key,
    pub(crate) log: Logger,
    subscribers: Mutex<Vec<(Channel, Recipient<Incoming>)>>,
}

impl Shared {
    /// Delivers a message to the subscribers of its channel.
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
    /// Listens for other processes and starts the tasks of the links on the
    /// current arbiter.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the listener can't be used.
    pub fn start(
        me: VmId,
        key: Key,
        listener: std::net::TcpListener,
        log: Logger,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let shared = Arc::new(Shared {
            me,
            key,
            log,
            subscribers: Mutex::default(),
        });
        let (hub, outgoing) = mpsc::unbounded_channel();
        actix_rt::spawn(accept::listen(listener, Arc::clone(&shared)));
        actix_rt::spawn(hub::run(outgoing, Arc::clone(&shared)));
        Ok(Self { shared, hub })
    }

    /// Sends a message without waiting; it may be lost.
    pub fn send(&self, to: SocketAddr, channel: Channel, payload: Bytes) {
        let message = Outgoing {
            channel,
            payload,
            reply: None,
        };
        drop(self.hub.send((to, message)));
    }

    /// Sends a message and waits for the answer.
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
        limit: Duration,
    ) -> Result<Bytes, CallError> {
        let (reply, answer) = oneshot::channel();
        let message = Outgoing {
            channel,
            payload,
            reply: Some(reply),
        };
        if self.hub.send((to, message)).is_err() {
            return Err(CallError::Unreachable);
        }
        match tokio::time::timeout(limit, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(CallError::Timeout),
        }
    }

    /// Delivers the messages of a channel to an actor, in place of an earlier one.
    pub fn subscribe(&self, channel: Channel, to: Recipient<Incoming>) {
        let mut subscribers = self.shared.subscribers.lock().expect("no holder panics");
        subscribers.retain(|(other, _)| *other != channel);
        subscribers.push((channel, to));
    }
}
