//! The rules in force after a release note.

use crate::{Block, Domain, Link, Region, Service};
use serde::{Deserialize, Serialize};

/// The rules in force, each list sorted by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The number of the newest note that is contained.
    pub version: u64,
    /// Regions by name.
    pub regions: Vec<Region>,
    /// Failure domains by name.
    pub domains: Vec<Domain>,
    /// Links by the names of their ends.
    pub links: Vec<Link>,
    /// Services by name.
    pub services: Vec<Service>,
    /// Address blocks by network.
    pub blocks: Vec<Block>,
}

impl Rules {
    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        found.ok().map(|i| &self.services[i])
    }

    /// Finds a failure domain by name.
    pub fn domain(&self, name: &str) -> Option<&Domain> {
        let found = self.domains.binary_search_by(|d| d.name.as_str().cmp(name));
        found.ok().map(|i| &self.domains[i])
    }
}
