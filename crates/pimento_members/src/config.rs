//! The identity and the timing of a member.

use crate::VmInfo;
use std::{net::SocketAddr, time::Duration};

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub this_vm: VmInfo,
    /// Link addresses of VMs, in this domain or others, from which this VM
    /// discovers the rest.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and timeouts.
    pub timing: Timing,
}

/// Intervals between messages, and timeouts after which silence counts as a
/// failure.
///
/// The intervals of heartbeats and summaries grow with the number of receivers,
/// so that the bytes per second that a VM sends hardly grow. The figures are in
/// `docs/design/members.md`.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The minimum interval between heartbeats.
    pub min_heartbeat: Duration,
    /// The heartbeat interval per live VM of the domain; the product is clamped
    /// between the minimum and the maximum.
    pub per_vm: Duration,
    /// The maximum interval between heartbeats.
    pub max_heartbeat: Duration,
    /// The number of heartbeat intervals of silence after which a VM is suspected.
    pub suspect_after: u32,
    /// The number of heartbeat intervals under suspicion after which a VM is
    /// declared dead.
    pub dead_after: u32,
    /// The minimum interval between summaries to one domain.
    pub min_summary: Duration,
    /// The summary interval per known domain; the minimum applies if the product
    /// is smaller.
    pub per_domain: Duration,
    /// Every nth heartbeat or summary includes names; the others only have values.
    pub names_every: u32,
    /// The interval between hello messages to silent VMs and seeds.
    pub probe_interval: Duration,
    /// How long a dead VM or a silent domain is kept before it is removed.
    pub forget_after: Duration,
}

impl Config {
    /// A configuration with the default timing.
    pub fn new(this_vm: VmInfo, seeds: Vec<SocketAddr>) -> Self {
        Self {
            this_vm,
            seeds,
            timing: Timing::default(),
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            min_heartbeat: Duration::from_millis(500),
            per_vm: Duration::from_millis(90),
            max_heartbeat: Duration::from_millis(2_200),
            suspect_after: 3,
            dead_after: 2,
            min_summary: Duration::from_secs(1),
            per_domain: Duration::from_millis(240),
            names_every: 16,
            probe_interval: Duration::from_secs(5),
            forget_after: Duration::from_hours(1),
        }
    }
}

impl Timing {
    /// The interval between heartbeats to `vms` other VMs.
    pub(crate) fn heartbeat_interval(&self, vms: usize) -> Duration {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        let interval = self.per_vm.saturating_mul(vms);
        interval.clamp(
            self.min_heartbeat,
            self.max_heartbeat.max(self.min_heartbeat),
        )
    }

    /// The interval between summaries to each of `domains` other domains.
    pub(crate) fn summary_interval(&self, domains: usize) -> Duration {
        let domains = u32::try_from(domains).unwrap_or(u32::MAX);
        self.per_domain
            .saturating_mul(domains)
            .max(self.min_summary)
    }
}
