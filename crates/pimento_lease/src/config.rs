//! The parameters of leases.

use pimento_core::VmId;
use std::{net::SocketAddr, time::Duration};

/// The identity of an entry VM and the parameters of its leases.
///
/// `term` and `drift_percent` must be the same on all entry VMs of a failure
/// domain: the lease is only safe if a new holder waits at least as long as the
/// previous one may still send. See `docs/design/leases.md`.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// The name of this VM.
    pub vm: VmId,
    /// The listener of this VM for announcements.
    pub listener: SocketAddr,
    /// The incarnation of this process, so that a restarted VM counts as
    /// another holder.
    pub incarnation: u64,
    /// How long a lease lasts, counted from when the newest token that the
    /// target echoed was issued.
    pub term: Duration,
    /// How much faster one VM's clock may run than another's, in percent.
    pub drift_percent: u32,
    /// The interval between announcements of a target.
    pub announce_interval: Duration,
    /// The maximum duration of a request at a target. After this time, all
    /// requests of a previous holder have ended.
    pub max_runtime: Duration,
}

impl LeaseConfig {
    /// The lease term in production.
    pub const DEFAULT_TERM: Duration = Duration::from_secs(2);

    /// The limit of clock drift in production, in percent.
    pub const DEFAULT_DRIFT_PERCENT: u32 = 5;

    /// The interval between announcements in production.
    pub const DEFAULT_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

    /// The maximum duration of a request in production.
    pub const DEFAULT_MAX_RUNTIME: Duration = Duration::from_secs(30);

    /// The production parameters for one VM.
    pub fn new(vm: VmId, listener: SocketAddr, incarnation: u64) -> Self {
        Self {
            vm,
            listener,
            incarnation,
            term: Self::DEFAULT_TERM,
            drift_percent: Self::DEFAULT_DRIFT_PERCENT,
            announce_interval: Self::DEFAULT_ANNOUNCE_INTERVAL,
            max_runtime: Self::DEFAULT_MAX_RUNTIME,
        }
    }

    /// How long a new holder waits: one term, extended by the clock drift.
    pub(crate) fn takeover_wait(&self) -> Duration {
        /// Rounds up, because times are truncated to whole microseconds.
        const ROUNDING: Duration = Duration::from_micros(2);
        self.term * (100 + self.drift_percent) / 100 + ROUNDING
    }
}
