//! The settings of a fleet.

use crate::NodeInfo;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// This process.
    pub me: NodeInfo,
    /// The control VMs through which the others are found.
    pub seeds: Vec<SocketAddr>,
    /// All failure domains and their regions, sorted.
    pub regions: Vec<(Arc<str>, Arc<str>)>,
    /// How long a process goes unheard until it counts as lost.
    pub lost: Duration,
}

impl FleetConfig {
    /// The region of a failure domain.
    pub fn region(&self, domain: &str) -> Option<&Arc<str>> {
        let found = self
            .regions
            .binary_search_by(|(name, _)| (**name).cmp(domain));
        found.ok().map(|i| &self.regions[i].1)
    }
}
