//! The load of a VM's slots.

use pimento_core::ServiceId;
use pimento_core::hash;

/// The load of one service on the targets that a VM holds leases for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceId,
    /// The total number of slots of these targets.
    pub slots: u32,
    /// The number of free slots.
    pub free: u32,
    /// The number of requests that are queued for a slot.
    pub queued: u32,
    /// The typical time that a request takes at a target, in microseconds.
    pub latency: u32,
    /// The number of slots of targets that are still cold.
    pub cold: u32,
}

/// A hash of the parts of the loads that seldom change: the services and their
/// slot counts. Load values without names are matched to services by it.
pub(crate) fn layout_hash(loads: &[ServiceLoad]) -> u32 {
    let slot_bytes: Vec<_> = loads
        .iter()
        .map(|l| [l.slots.to_le_bytes(), l.cold.to_le_bytes()].concat())
        .collect();
    let names = loads.iter().map(|l| l.service.as_bytes());
    let parts = names
        .zip(&slot_bytes)
        .flat_map(|(name, slots)| [name, slots]);
    hash::fnv(parts) as u32
}
