//! Which entry VM should hold a target's lease.

use pimento_core::{TargetId, VmId, hash};
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
    candidates.max_by_key(|c| (hash::weight(target, &c.vm), &c.vm))
}
