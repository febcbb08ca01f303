//! The identity and the pace of a member.

use crate::VmInfo;
use std::{net::SocketAddr, time::Duration};

/// What a member needs to know at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub me: VmInfo,
    /// Link addresses of VMs, in this domain or others, that are asked for the
    /// rest.
    pub seeds: Vec<SocketAddr>,
    /// How often messages go out and how long silence is borne.
    pub timing: Timing,
}

/// How often messages go out and how long silence is borne.
///
/// Both intervals grow with the number of receivers, so that the bytes a VM
/// sends hardly do. The figures are in `docs/design/members.md`.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The shortest interval between heartbeats.
    pub min_heartbeat: Duration,
    /// What each live VM of the domain adds to that interval.
    pub per_vm: Duration,
    /// The longest interval between heartbeats.
    pub max_heartbeat: Duration,
    /// The intervals of silence after which a VM is suspected.
    pub suspect_after: u32,
    /// The intervals of suspicion after which a VM is declared dead.
    pub dead_after: u32,
    /// The shortest interval between summaries to one domain.
    pub min_summary: Duration,
    /// What each known domain adds to that interval.
    pub per_domain: Duration,
    /// Every how many messages the names are sent with the numbers.
    pub names_every: u32,
    /// The interval between greetings to VMs that are not heard from.
    pub probe_interval: Duration,
    /// How long a silent VM or domain is kept in mind.
    pub forget_after: Duration,
}

impl Config {
    /// A member with the usual pace.
    pub fn new(me: VmInfo, seeds: Vec<SocketAddr>) -> Self {
        Self {
            me,
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
    /// The interval between heartbeats to a number of other VMs.
    pub(crate) fn heartbeat_interval(&self, vms: usize) -> Duration {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        let interval = self.per_vm.saturating_mul(vms);
        interval.clamp(
            self.min_heartbeat,
            self.max_heartbeat.max(self.min_heartbeat),
        )
    }

    /// The interval between summaries to each of a number of other domains.
    pub(crate) fn summary_interval(&self, domains: usize) -> Duration {
        let domains = u32::try_from(domains).unwrap_or(u32::MAX);
        self.per_domain
            .saturating_mul(domains)
            .max(self.min_summary)
    }
}
