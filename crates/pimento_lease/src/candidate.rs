//! The choice of the entry VM that should hold a target's lease.

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
/// All VMs choose the same candidate if they agree on which VMs are live. A VM
/// that joins or leaves only moves the targets that it gains or loses.
pub(crate) fn best_candidate<'a>(
    target: &TargetId,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Option<&'a Candidate> {
    candidates.max_by_key(|c| (hash::rendezvous_score(target, &c.vm), &c.vm))
}
