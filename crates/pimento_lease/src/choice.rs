//! Which entry VM should hold a target's lease.

use pimento_core::{TargetId, VmId};
use std::net::SocketAddr;

/// A live entry VM of the failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The name of the VM.
    pub vm: VmId,
    /// Its listener for announcements.
    pub listener: SocketAddr,
}

/// The candidate with the highest rendezvous weight for a target.
///
/// All VMs agree on it as far as they agree on who lives, and a VM that comes
/// or goes moves only the targets that it gains or loses.
pub(crate) fn best<'a>(
    target: &TargetId,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Option<&'a Candidate> {
    candidates.max_by_key(|c| (weight(target, &c.vm), &c.vm))
}

/// The rendezvous weight of a VM for a target: FNV-1a with a final mix.
///
/// The function is fixed here, so that VMs of different builds agree.
fn weight(target: &TargetId, vm: &VmId) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    const MIX: u64 = 0xff51_afd7_ed55_8ccd;
    let bytes = target.bytes().chain([0]).chain(vm.bytes());
    let hash = bytes.fold(BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(MIX);
    mixed ^ (mixed >> 33)
}
