//! The settings of a fleet.

use crate::NodeInfo;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// This process.
    pub local: NodeInfo,
    /// The control VMs through which the others are found.
    pub seeds: Vec<SocketAddr>,
    /// All failure domains and their regions, sorted.
    pub regions: Vec<(Arc<str>, Arc<str>)>,
    /// How long a process goes unheard until it counts as lost.
    pub failure_timeout: Duration,
}

impl FleetConfig {
    /// Three signs of life and some time for the last one to arrive.
    pub const FAILURE_TIMEOUT: Duration = Duration::from_millis(1_700);

    /// How long callers may use the list of entry VMs that they are told: a VM
    /// that stops is still used for so long.
    pub const ENTRY_LIST_TTL: Duration = Duration::from_secs(2);

    /// The region of a failure domain.
    pub fn region(&self, domain: &str) -> Option<&Arc<str>> {
        let found = self
            .regions
            .binary_search_by(|(name, _)| (**name).cmp(domain));
        found.ok().map(|i| &self.regions[i].1)
    }
}
