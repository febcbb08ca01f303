//! The rules that result from applying release notes.

use crate::{Blocks, Domain, Link, Region, Service};
use pimento_core::DomainId;
use serde::{Deserialize, Serialize};

/// The rules in force. Each list is sorted by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Number of the newest note that has been applied.
    pub version: u64,
    /// Regions, sorted by name.
    pub regions: Vec<Region>,
    /// Failure domains, sorted by name.
    pub domains: Vec<Domain>,
    /// Links, sorted by the names of their ends.
    pub links: Vec<Link>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Address blocks, sorted by network.
    pub blocks: Blocks,
}

impl Rules {
    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        index.ok().map(|i| &self.services[i])
    }

    /// Finds a region by name.
    pub fn region(&self, name: &str) -> Option<&Region> {
        let index = self.regions.binary_search_by(|r| r.name.as_str().cmp(name));
        index.ok().map(|i| &self.regions[i])
    }

    /// Finds the link between two regions, given in either order.
    pub fn link(&self, first: &str, second: &str) -> Option<&Link> {
        let ends = (first.min(second), first.max(second));
        let index = self
            .links
            .binary_search_by(|l| (l.a.as_str(), l.b.as_str()).cmp(&ends));
        index.ok().map(|i| &self.links[i])
    }

    /// Finds a failure domain by name.
    pub fn domain(&self, name: &str) -> Option<&Domain> {
        let index = self.domains.binary_search_by(|d| d.name.as_str().cmp(name));
        index.ok().map(|i| &self.domains[i])
    }

    /// Returns an equal name that shares its text with the failure domain's own
    /// entry, so that millions of blocks store each name only once.
    pub(crate) fn intern_domain(&self, name: DomainId) -> DomainId {
        self.domain(&name)
            .map_or(name, |domain| domain.name.clone())
    }
}
