//! What a VM's held slots of a service carry.

use pimento_core::ServiceId;
use pimento_core::hash;

/// The load of one service on the slots that a VM holds leases for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceId,
    /// The slots of the held targets.
    pub slots: u32,
    /// Those of them that could take a request now.
    pub free: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// The usual time of a request at a target, in microseconds.
    pub latency: u32,
    /// Slots of targets that are still cold.
    pub cold: u32,
}

/// A hash of the parts of the loads that seldom change: which services there
/// are, and with how many slots.
pub(crate) fn layout_hash(loads: &[ServiceLoad]) -> u32 {
    let slot_bytes: Vec<_> = loads
        .iter()
        .map(|l| [l.slots.to_le_bytes(), l.cold.to_le_bytes()].concat())
        .collect();
    let names = loads.iter().map(|l| l.service.as_bytes());
    let parts = names.zip(&slot_bytes).flat_map(|(name, n)| [name, n]);
    hash::fnv(parts) as u32
}
