//! The effects of lease changes at an entry VM.

use pimento_core::{TargetId, Time};

/// A change that admission must apply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// This VM became the holder and may send from `valid_from` on.
    Acquired {
        /// The target.
        target: TargetId,
        /// The end of the wait for the previous holder's lease.
        valid_from: Time,
        /// The epoch of the lease.
        epoch: u64,
    },
    /// The target's announcement or its inherited slots changed.
    Changed {
        /// The target.
        target: TargetId,
    },
    /// This VM may no longer send to the target.
    Lost {
        /// The target.
        target: TargetId,
        /// Why the lease ended.
        cause: Cause,
    },
}

/// Why a lease ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The target did not echo a token for one term.
    Expired,
    /// The target echoed a newer epoch.
    Superseded,
    /// The target's process restarted.
    Restarted,
}
