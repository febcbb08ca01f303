//! The things that a release note can add, change and withdraw.

use ipnet::IpNet;
use pimento_core::{Class, DomainId, RegionId, ServiceId, TenantId};
use serde::{Deserialize, Serialize};

/// A region, which holds failure domains that are close to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The name of the region.
    pub name: RegionId,
    /// The share of the region's slots, in percent, that requests from other
    /// regions may never take.
    #[serde(default = "Region::default_reserve")]
    pub reserve: u8,
}

impl Region {
    const fn default_reserve() -> u8 {
        20
    }
}

/// A failure domain, which fails or is cut off as a whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// The name of the failure domain.
    pub name: DomainId,
    /// The region that holds it.
    pub region: RegionId,
}

/// The limits of the links between two regions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// One end; the names of the two ends are in alphabetical order.
    pub a: RegionId,
    /// The other end.
    pub b: RegionId,
    /// Capacity each way, in megabits (10^6 bits) a second.
    pub mbit: u32,
    /// One-way latency, in milliseconds.
    pub latency: u32,
}

impl Link {
    /// The names of the two ends, which identify the link.
    pub const fn ends(&self) -> (&RegionId, &RegionId) {
        (&self.a, &self.b)
    }
}

/// The bounded queue before a service's targets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Queue {
    /// The most requests that wait at one lease holder.
    pub len: u32,
    /// The longest that a request waits, in milliseconds.
    pub wait: u32,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            len: 256,
            wait: 1_000,
        }
    }
}

/// How failed attempts are repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// The most attempts for one request, the first included.
    pub attempts: u8,
    /// Retries and hedges as a share of recent requests, in percent.
    pub budget: u8,
    /// Delay before a hedged attempt, in milliseconds; none sends no hedge.
    pub hedge: Option<u32>,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            attempts: 3,
            budget: 10,
            hedge: None,
        }
    }
}

/// A cap on what a resource of a service may take, such as the sign-ups of a
/// shift.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    /// The path segment that names the resource, counted from zero.
    pub segment: u8,
    /// The places of a resource that has no cap of its own.
    pub limit: u32,
}

/// A service and the rules for its requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceId,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// The class of requests that name none; a caller may ask for a later
    /// class, never for an earlier one.
    #[serde(default)]
    pub class: Class,
    /// The tenants whose requests are taken; empty takes only `default`.
    #[serde(default)]
    pub tenants: Vec<TenantId>,
    /// The longest that a request may take, in milliseconds.
    #[serde(default = "Service::default_timeout")]
    pub timeout: u32,
    /// How long callers may cache a look-up, in milliseconds.
    #[serde(default = "Service::default_ttl")]
    pub ttl: u32,
    /// The largest request body, in bytes.
    #[serde(default = "Service::default_body")]
    pub body: u64,
    /// The queue before the targets.
    #[serde(default)]
    pub queue: Queue,
    /// How failed attempts are repeated.
    #[serde(default)]
    pub retry: Retry,
    /// The cap on resources, for a service that is not repeatable.
    #[serde(default)]
    pub cap: Option<Cap>,
}

impl Service {
    const fn default_timeout() -> u32 {
        5_000
    }

    const fn default_ttl() -> u32 {
        2_000
    }

    const fn default_body() -> u64 {
        1 << 20
    }
}

/// Where callers of an address block are served first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// The addresses of the block.
    pub net: IpNet,
    /// The failure domain that is nearest to the block.
    pub domain: DomainId,
}
