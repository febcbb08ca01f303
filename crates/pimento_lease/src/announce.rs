//! The messages between a target and an entry VM.

use pimento_core::{ServiceId, TargetId, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identifies the newest lease that a target has learned of.
///
/// Tokens are ordered by epoch first. See `docs/design/leases.md`.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// Increases by one with each change of the holder.
    pub epoch: u64,
    /// The entry VM that holds the lease.
    pub holder: VmId,
    /// The incarnation of the holder's process, so that a restarted VM counts
    /// as another holder.
    pub instance: u64,
    /// Increases by one with each reply of the holder.
    pub serial: u64,
}

/// Whether a target accepts requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// The target is slow until its caches are warm.
    Cold,
    /// The target accepts requests.
    #[default]
    Ready,
    /// The target finishes its running requests and accepts no new ones.
    Draining,
}

/// A target's report about itself, sent to an entry VM at regular intervals.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The name of the target.
    pub target: TargetId,
    /// The incarnation of the target's process; a different number means that
    /// it restarted.
    pub instance: u64,
    /// The service that the target runs.
    pub service: ServiceId,
    /// The address for requests.
    pub address: SocketAddr,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// The number of connections that the target accepts.
    pub connections: u32,
    /// Whether the target accepts requests.
    #[serde(default)]
    pub state: TargetState,
    /// The number of requests that the target currently runs, by its own count.
    #[serde(default)]
    pub load: u32,
    /// The token of the newest reply, if there was one.
    #[serde(default)]
    pub token: Option<Token>,
}

/// The reply to an [`Announcement`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnnounceReply {
    /// The token that the next announcement must echo.
    pub token: Token,
    /// Where to send the next announcement: the listener for targets of the
    /// lease holder.
    pub holder: SocketAddr,
    /// The time until the next announcement, in milliseconds.
    pub interval_ms: u64,
}
