//! Another VM of the same failure domain.

use crate::{ServiceLoad, VmInfo};
use pimento_core::Time;
use std::time::Duration;

/// The state of a VM as the failure detector sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerState {
    /// The VM has been discovered, but no message from it has arrived yet.
    Known,
    /// Messages from the VM arrive in time.
    Alive,
    /// The VM is silent, but not yet declared dead; it still counts as live.
    Suspect,
    /// The VM was declared dead after the suspicion timeout.
    Dead,
    /// The VM has left in a graceful shutdown.
    Left,
}

/// Another VM of the same failure domain.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The identity and the addresses of the VM.
    pub info: VmInfo,
    /// The state in the failure detector.
    pub state: PeerState,
    /// The version of its rules, from its latest heartbeat.
    pub version: u64,
    /// The load of each service, in ascending order of service.
    pub loads: Vec<ServiceLoad>,
    /// When the loads were received.
    pub loads_received: Time,
    /// When a message from it, or a confirmation by another VM that it is alive,
    /// last arrived.
    pub last_heard: Time,
    /// When its state last changed.
    pub state_since: Time,
    /// When a message from the VM itself last arrived.
    pub(crate) last_direct: Time,
    /// The interval between its heartbeats.
    pub(crate) interval: Duration,
    /// The hash of its name and incarnation.
    pub(crate) incarnation_hash: u32,
    /// The hash of its services and slot counts.
    pub(crate) layout_hash: u32,
}

impl Peer {
    pub(crate) fn new(now: Time, info: VmInfo, state: PeerState) -> Self {
        Self {
            incarnation_hash: info.incarnation_hash(),
            info,
            state,
            version: 0,
            loads: Vec::new(),
            loads_received: Time::ZERO,
            last_heard: now,
            state_since: now,
            last_direct: now,
            interval: Duration::ZERO,
            layout_hash: 0,
        }
    }

    /// Whether the VM counts as live, which includes suspected VMs.
    pub fn is_live(&self) -> bool {
        matches!(self.state, PeerState::Alive | PeerState::Suspect)
    }

    pub(crate) fn set_state(&mut self, now: Time, state: PeerState) {
        self.state = state;
        self.state_since = now;
    }
}
