//! What a target and an entry VM say to each other.

use pimento_core::{ServiceId, TargetId, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Proof of the lease that a target last heard of.
///
/// Tokens are ordered by epoch first. See `docs/design/leases.md`.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// Grows by one with each change of holder.
    pub epoch: u64,
    /// The entry VM that holds the lease.
    pub holder: VmId,
    /// The start of the holder's process, so that a restarted VM is another
    /// holder.
    pub instance: u64,
    /// Grows by one with each reply of the holder.
    pub serial: u64,
}

/// Whether a target takes work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// The target answers slowly until its caches are warm.
    Cold,
    /// The target takes work.
    #[default]
    Ready,
    /// The target finishes what it has and takes nothing new.
    Draining,
}

/// A target's report of itself, sent to an entry VM at each interval.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The name of the target.
    pub target: TargetId,
    /// The start of the target's process; a change means a restart.
    pub instance: u64,
    /// The service that the target serves.
    pub service: ServiceId,
    /// Where the target takes requests.
    pub address: SocketAddr,
    /// The requests that the target runs at a time.
    pub slots: u32,
    /// The connections that the target accepts.
    pub connections: u32,
    /// Whether the target takes work.
    #[serde(default)]
    pub state: TargetState,
    /// The requests that the target runs now, by its own count.
    #[serde(default)]
    pub load: u32,
    /// The token of the newest reply, if any.
    #[serde(default)]
    pub token: Option<Token>,
}

/// The answer to an [`Announcement`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AnnounceReply {
    /// The token that the next announcement echoes.
    pub token: Token,
    /// Where the next announcement goes: the holder's listener for targets.
    pub holder: SocketAddr,
    /// The time until the next announcement, in milliseconds.
    pub interval_ms: u64,
}
