//! The effects that the fleet core returns to its driver.

use crate::{
    fragments,
    message::{Body, Message},
};
use bytes::Bytes;
use pimento_poison::Decision;
use prost::Message as _;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// An action that the driver of the fleet core must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message, without any guarantee of delivery.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The content, not yet split into datagrams.
        message: OutgoingMessage,
    },
    /// A permit request of this process is decided.
    Decided {
        /// The serial number of the request.
        serial: u64,
        /// Whether the request gets a permit.
        decision: PermitDecision,
    },
    /// A target update was acknowledged by all processes that must have it.
    Confirmed {
        /// The id that
        /// [`Fleet::report_target`](crate::Fleet::report_target) returned.
        update_id: u64,
    },
    /// A process did not answer and is excluded for a while.
    Suspected(SocketAddr),
    /// An entry VM that follows another control VM lacks items.
    Lagging {
        /// The address of the entry VM.
        vm: SocketAddr,
        /// The revision of items that it has.
        revision: u64,
        /// The revision that this control VM has.
        newest: u64,
        /// The heartbeats of the entry VM that were lost before the newest one.
        lost_heartbeats: u64,
    },
    /// A verdict on a request was made here or learned from another process.
    Ruled(Decision),
    /// The view that requests are routed by has changed.
    ViewChanged,
}

/// A message to send to another process.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage(pub(crate) Body);

impl OutgoingMessage {
    /// The kind of the message, as it is named in metrics.
    pub const fn kind(&self) -> &'static str {
        match &self.0 {
            Body::Heartbeat(_) => "beat",
            Body::ShortHeartbeat(_) => "alive",
            Body::UnknownProcess(_) => "unknown",
            Body::HeartbeatReply(_) => "pong",
            Body::MemberList(_) => "roster",
            Body::Items(_) => "items",
            Body::Targets(_) => "targets",
            Body::TargetUpdate(_) | Body::UpdateConfirmed(_) => "news",
            Body::UpdateAck(_) => "heard",
            Body::PermitRequest(_) => "ask",
            Body::PermitDecision(_) => "verdict",
            Body::Release(_) => "done",
            Body::Leave(_) => "bye",
            Body::RevisionReport(_) => "revision",
            Body::CrashReport(_) | Body::CrashReportAck(_) => "crash",
            Body::Rulings(_) => "rulings",
        }
    }

    /// Encodes the message into datagrams. The id must be unique among the
    /// messages of this process, since fragments are matched by it.
    pub fn into_datagrams(self, message_id: u64) -> Vec<Bytes> {
        let message = Message { body: Some(self.0) };
        fragments::split(message_id, message.encode_to_vec().into())
    }
}

/// The decision on a permit request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PermitDecision {
    /// A permit for the target with this name.
    Grant(Arc<str>),
    /// No permit.
    Refuse(RefusalReason),
}

/// Why a permit request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// All slots are in use, for about this time.
    Full(Duration),
    /// The free slots are kept for other affinity keys, for about this time.
    Foreign(Duration),
    /// All targets of the shard want no requests; the first of these pauses ends
    /// then.
    Paused(Duration),
    /// No target of the shard can be used.
    Unusable,
    /// The shard owner did not answer.
    Unreachable,
}
