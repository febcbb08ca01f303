//! What an entry VM needs to know to hold leases.

use pimento_core::VmId;
use std::{net::SocketAddr, time::Duration};

/// The identity of an entry VM and the terms of its leases.
///
/// `term` and `drift` must be the same on all entry VMs of a failure domain:
/// safety rests on a new holder waiting at least as long as the old one may
/// still send. See `docs/design/leases.md`.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// The name of this VM.
    pub me: VmId,
    /// The listener of this VM that takes announcements.
    pub listener: SocketAddr,
    /// The start of this process, so that a restarted VM is another holder.
    pub instance: u64,
    /// How long a lease runs from the time that its newest echoed token was
    /// issued.
    pub term: Duration,
    /// The most by which one VM's clock may run faster than another's, in
    /// percent.
    pub drift: u32,
    /// The time between announcements of a target.
    pub interval: Duration,
    /// The longest time that a request may run at a target, after which a
    /// former holder's requests have ended.
    pub carry: Duration,
}

impl LeaseConfig {
    /// The lease term of a running system.
    pub const TERM: Duration = Duration::from_secs(2);

    /// The clock drift bound of a running system, in percent.
    pub const DRIFT: u32 = 5;

    /// The time between announcements in a running system.
    pub const INTERVAL: Duration = Duration::from_millis(500);

    /// The longest run of a request in a running system.
    pub const CARRY: Duration = Duration::from_secs(30);

    /// The terms of a running system for one VM.
    pub fn new(me: VmId, listener: SocketAddr, instance: u64) -> Self {
        Self {
            me,
            listener,
            instance,
            term: Self::TERM,
            drift: Self::DRIFT,
            interval: Self::INTERVAL,
            carry: Self::CARRY,
        }
    }

    /// The wait of a new holder: one term, lengthened for clock rates.
    pub(crate) fn wait(&self) -> Duration {
        /// Rounds up, since times are cut to whole microseconds.
        const ROUNDING: Duration = Duration::from_micros(2);
        self.term * (100 + self.drift) / 100 + ROUNDING
    }
}
