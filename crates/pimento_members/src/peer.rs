//! Another VM of the same failure domain.

use crate::{ServiceLoad, VmInfo};
use pimento_core::Time;
use std::time::Duration;

/// Whether a VM seems to live.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerState {
    /// The VM was named by another one and not heard yet.
    Known,
    /// The VM is heard.
    Alive,
    /// The VM is silent and not yet declared dead; it still counts as live.
    Suspect,
    /// The VM was declared dead.
    Dead,
    /// The VM stopped as planned.
    Left,
}

/// Another VM of the same failure domain.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Who the VM is and where it listens.
    pub info: VmInfo,
    /// Whether it seems to live.
    pub state: PeerState,
    /// The version of its rules.
    pub version: u64,
    /// Its held slots by service, ascending.
    pub loads: Vec<ServiceLoad>,
    /// When the loads came.
    pub loads_received: Time,
    /// When it was last heard, or vouched for by a VM that had heard it.
    pub last_heard: Time,
    /// When its state last changed.
    pub state_since: Time,
    /// When it was last heard by this VM itself.
    pub(crate) last_direct: Time,
    /// Its interval between heartbeats.
    pub(crate) interval: Duration,
    /// The hash of its name and incarnation.
    pub(crate) incarnation_hash: u32,
    /// The hash of its services and slots.
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

    /// Whether the VM counts as live.
    pub fn is_live(&self) -> bool {
        matches!(self.state, PeerState::Alive | PeerState::Suspect)
    }

    pub(crate) fn set_state(&mut self, now: Time, state: PeerState) {
        self.state = state;
        self.state_since = now;
    }
}
