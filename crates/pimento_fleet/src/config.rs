//! Settings of a process in the fleet.

use crate::NodeInfo;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Settings of a process in the fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// This process.
    pub local: NodeInfo,
    /// Addresses of control VMs from which the process discovers all others.
    pub seeds: Vec<SocketAddr>,
    /// Pairs of failure domain and region, sorted by failure domain.
    pub regions: Vec<(Arc<str>, Arc<str>)>,
    /// How long a process may stay silent before it counts as dead.
    pub failure_timeout: Duration,
}

impl FleetConfig {
    /// Three heartbeat intervals plus the time for the last one to arrive.
    pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(1_700);

    /// How long callers may cache a list of entry VMs. A VM that stops keeps
    /// receiving requests from callers for up to this time.
    pub const ENTRY_LIST_TTL: Duration = Duration::from_secs(2);

    /// The region of a failure domain; `None` if the domain is not configured.
    pub fn region(&self, domain: &str) -> Option<&Arc<str>> {
        let found = self
            .regions
            .binary_search_by(|(name, _)| (**name).cmp(domain));
        found.ok().map(|i| &self.regions[i].1)
    }
}
