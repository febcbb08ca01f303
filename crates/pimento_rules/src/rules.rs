//! The rules in force after a release note.

use crate::{Blocks, Domain, Link, Region, Service};
use pimento_core::DomainId;
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
    pub blocks: Blocks,
}

impl Rules {
    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        found.ok().map(|i| &self.services[i])
    }

    /// Finds a region by name.
    pub fn region(&self, name: &str) -> Option<&Region> {
        let found = self.regions.binary_search_by(|r| r.name.as_str().cmp(name));
        found.ok().map(|i| &self.regions[i])
    }

    /// Finds the link between two regions, whichever is named first.
    pub fn link(&self, one: &str, other: &str) -> Option<&Link> {
        let ends = (one.min(other), one.max(other));
        let found = self
            .links
            .binary_search_by(|l| (l.a.as_str(), l.b.as_str()).cmp(&ends));
        found.ok().map(|i| &self.links[i])
    }

    /// Finds a failure domain by name.
    pub fn domain(&self, name: &str) -> Option<&Domain> {
        let found = self.domains.binary_search_by(|d| d.name.as_str().cmp(name));
        found.ok().map(|i| &self.domains[i])
    }

    /// The same name, sharing its text with the domain of that name, so that
    /// millions of blocks hold each name once.
    pub(crate) fn shared(&self, name: DomainId) -> DomainId {
        self.domain(&name)
            .map_or(name, |domain| domain.name.clone())
    }
}
