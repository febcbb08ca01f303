//! Another VM of the same failure domain.

use crate::{Info, ServiceLoad};
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
    pub info: Info,
    /// Whether it seems to live.
    pub state: PeerState,
    /// The version of its rules.
    pub version: u64,
    /// Its held slots by service, ascending.
    pub loads: Vec<ServiceLoad>,
    /// When the loads came.
    pub loaded: Time,
    /// When it was last heard, or vouched for by a VM that had heard it.
    pub heard: Time,
    /// When its state last changed.
    pub since: Time,
    /// When it was last heard by this VM itself.
    pub(crate) direct: Time,
    /// Its interval between heartbeats.
    pub(crate) interval: Duration,
    /// The hash of its name and incarnation.
    pub(crate) run: u32,
    /// The hash of its services and slots.
    pub(crate) shape: u32,
}

impl Peer {
    pub(crate) fn new(now: Time, info: Info, state: PeerState) -> Self {
        Self {
            run: info.run(),
            info,
            state,
            version: 0,
            loads: Vec::new(),
            loaded: Time::ZERO,
            heard: now,
            since: now,
            direct: now,
            interval: Duration::ZERO,
            shape: 0,
        }
    }

    /// Whether the VM counts as live.
    pub fn is_live(&self) -> bool {
        matches!(self.state, PeerState::Alive | PeerState::Suspect)
    }

    pub(crate) fn set_state(&mut self, now: Time, state: PeerState) {
        self.state = state;
        self.since = now;
    }
}
