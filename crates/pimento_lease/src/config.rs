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
    pub vm: VmId,
    /// The listener of this VM that takes announcements.
    pub listener: SocketAddr,
    /// The start of this process, so that a restarted VM is another holder.
    pub instance: u64,
    /// How long a lease runs from the time that its newest echoed token was
    /// issued.
    pub term: Duration,
    /// The most by which one VM's clock may run faster than another's, in
    /// percent.
    pub drift_percent: u32,
    /// The time between announcements of a target.
    pub announce_interval: Duration,
    /// The longest time that a request may run at a target, after which a
    /// former holder's requests have ended.
    pub max_runtime: Duration,
}

impl LeaseConfig {
    /// The lease term of a running system.
    pub const DEFAULT_TERM: Duration = Duration::from_secs(2);

    /// The clock drift bound of a running system, in percent.
    pub const DEFAULT_DRIFT_PERCENT: u32 = 5;

    /// The time between announcements in a running system.
    pub const DEFAULT_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

    /// The longest run of a request in a running system.
    pub const DEFAULT_MAX_RUNTIME: Duration = Duration::from_secs(30);

    /// The terms of a running system for one VM.
    pub fn new(vm: VmId, listener: SocketAddr, instance: u64) -> Self {
        Self {
            vm,
            listener,
            instance,
            term: Self::DEFAULT_TERM,
            drift_percent: Self::DEFAULT_DRIFT_PERCENT,
            announce_interval: Self::DEFAULT_ANNOUNCE_INTERVAL,
            max_runtime: Self::DEFAULT_MAX_RUNTIME,
        }
    }

    /// The wait of a new holder: one term, lengthened for clock rates.
    pub(crate) fn wait(&self) -> Duration {
        /// Rounds up, since times are cut to whole microseconds.
        const ROUNDING: Duration = Duration::from_micros(2);
        self.term * (100 + self.drift_percent) / 100 + ROUNDING
    }
}
