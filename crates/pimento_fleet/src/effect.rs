//! What the fleet asks of its shell.

use crate::{
    message::{Body, Message},
    parts,
};
use bytes::Bytes;
use prost::Message as _;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// What the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message, which may be lost.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: OutgoingMessage,
    },
    /// An ask of this process is decided.
    Decided {
        /// Its number.
        serial: u64,
        /// What became of it.
        decision: PermitDecision,
    },
    /// News of a target are known wherever they must be.
    Confirmed {
        /// The number that the report was given.
        update_id: u64,
    },
    /// A process did not answer and is left out for a while.
    Suspected(SocketAddr),
    /// What requests are decided by has changed.
    ViewChanged,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage(pub(crate) Body);

impl OutgoingMessage {
    /// The kind of the message, as metrics name it.
    pub const fn kind(&self) -> &'static str {
        match &self.0 {
            Body::Beat(_) => "beat",
            Body::Alive(_) => "alive",
            Body::Unknown(_) => "unknown",
            Body::Pong(_) => "pong",
            Body::Roster(_) => "roster",
            Body::Items(_) => "items",
            Body::Targets(_) => "targets",
            Body::Announce(_) | Body::Settled(_) => "news",
            Body::Heard(_) => "heard",
            Body::Ask(_) => "ask",
            Body::Verdict(_) => "verdict",
            Body::Done(_) => "done",
            Body::Bye(_) => "bye",
        }
    }

    /// The datagrams of the message; the number tells those of a sender's
    /// messages apart.
    pub fn into_datagrams(self, number: u64) -> Vec<Bytes> {
        let message = Message { body: Some(self.0) };
        parts::divide(number, message.encode_to_vec().into())
    }
}

/// What became of an ask.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PermitDecision {
    /// A place on a target.
    Grant(Arc<str>),
    /// No place.
    Refuse(RefusalReason),
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// All places are taken for about so long.
    Full(Duration),
    /// No target of the failure domain can be used.
    Unusable,
    /// The VM that grants the places did not answer.
    Unreachable,
}
