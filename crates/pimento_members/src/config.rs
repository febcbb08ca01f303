//! The identity and the pace of a member.

use crate::Info;
use std::{net::SocketAddr, time::Duration};

/// What a member needs to know at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// This VM.
    pub me: Info,
    /// Link addresses of VMs, in this domain or others, that are asked for the
    /// rest.
    pub seeds: Vec<SocketAddr>,
    /// How often messages go out and how long silence is borne.
    pub pace: Pace,
}

/// How often messages go out and how long silence is borne.
///
/// Both intervals grow with the number of receivers, so that the bytes a VM
/// sends hardly do. The figures are in `docs/design/members.md`.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// The shortest interval between heartbeats.
    pub beat: Duration,
    /// What each live VM of the domain adds to that interval.
    pub per_vm: Duration,
    /// The longest interval between heartbeats.
    pub longest: Duration,
    /// The intervals of silence after which a VM is suspected.
    pub missed: u32,
    /// The intervals of suspicion after which a VM is declared dead.
    pub grace: u32,
    /// The shortest interval between summaries to one domain.
    pub summary: Duration,
    /// What each known domain adds to that interval.
    pub per_domain: Duration,
    /// Every how many messages the names are sent with the numbers.
    pub names: u32,
    /// The interval between greetings to VMs that are not heard from.
    pub probe: Duration,
    /// How long a silent VM or domain is kept in mind.
    pub forget: Duration,
}

impl Config {
    /// A member with the usual pace.
    pub fn new(me: Info, seeds: Vec<SocketAddr>) -> Self {
        Self {
            me,
            seeds,
            pace: Pace::default(),
        }
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            beat: Duration::from_millis(500),
            per_vm: Duration::from_millis(90),
            longest: Duration::from_millis(2_200),
            missed: 3,
            grace: 2,
            summary: Duration::from_secs(1),
            per_domain: Duration::from_millis(240),
            names: 16,
            probe: Duration::from_secs(5),
            forget: Duration::from_hours(1),
        }
    }
}

impl Pace {
    /// The interval between heartbeats to a number of other VMs.
    pub(crate) fn beat_interval(&self, vms: usize) -> Duration {
        let vms = u32::try_from(vms).unwrap_or(u32::MAX);
        let interval = self.per_vm.saturating_mul(vms);
        interval.clamp(self.beat, self.longest.max(self.beat))
    }

    /// The interval between summaries to each of a number of other domains.
    pub(crate) fn summary_interval(&self, domains: usize) -> Duration {
        let domains = u32::try_from(domains).unwrap_or(u32::MAX);
        self.per_domain.saturating_mul(domains).max(self.summary)
    }
}
