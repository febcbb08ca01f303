//! Release notes as operators write them.

use crate::{Block, Domain, Link, Region, Service};
use ipnet::IpNet;
use pimento_core::{DomainId, RegionId, ServiceId};
use serde::{Deserialize, Serialize};

/// A release note.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// The number of the note: the number of the last accepted note plus one.
    pub number: u64,
    /// What did not exist before.
    #[serde(default)]
    pub added: Items,
    /// What exists and gets the given content.
    #[serde(default)]
    pub changed: Items,
    /// What no longer exists.
    #[serde(default)]
    pub withdrawn: Withdrawn,
}

/// Things with their content.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Items {
    /// Regions.
    pub regions: Vec<Region>,
    /// Failure domains.
    pub domains: Vec<Domain>,
    /// Links between regions.
    pub links: Vec<Link>,
    /// Services.
    pub services: Vec<Service>,
    /// Address blocks.
    pub blocks: Vec<Block>,
}

/// Names of things that are withdrawn.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Withdrawn {
    /// Regions.
    pub regions: Vec<RegionId>,
    /// Failure domains.
    pub domains: Vec<DomainId>,
    /// Links, each by its two regions.
    pub links: Vec<(RegionId, RegionId)>,
    /// Services.
    pub services: Vec<ServiceId>,
    /// Address blocks.
    pub blocks: Vec<IpNet>,
}
