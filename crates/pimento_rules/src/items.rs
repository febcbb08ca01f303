//! The kinds of items that a release note can add, change and withdraw.

use ipnet::IpNet;
use pimento_core::{Class, DomainId, RegionId, ServiceId, TenantId};
use serde::{Deserialize, Serialize};

/// A group of failure domains that are close to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Unique name of the region.
    pub name: RegionId,
    /// Percentage of the region's slots that is reserved for its own requests;
    /// requests from other regions never use it.
    #[serde(default = "Region::default_reserve")]
    pub reserve: u8,
}

impl Region {
    const fn default_reserve() -> u8 {
        20
    }
}

/// A failure domain: a part of a region that fails or becomes unreachable as a
/// whole.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Unique name of the failure domain.
    pub name: DomainId,
    /// The region that it belongs to.
    pub region: RegionId,
}

/// Capacity and latency of the network between two regions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The region whose name comes first in alphabetical order.
    pub a: RegionId,
    /// The region whose name comes second in alphabetical order.
    pub b: RegionId,
    /// Capacity in each direction, in megabits (10^6 bits) per second.
    pub mbit: u32,
    /// One-way latency, in milliseconds.
    pub latency: u32,
}

impl Link {
    /// Returns the names of both regions, which together identify the link.
    pub const fn ends(&self) -> (&RegionId, &RegionId) {
        (&self.a, &self.b)
    }
}

/// Limits of the admission queue of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Queue {
    /// Maximum number of requests that wait at one lease holder.
    pub len: u32,
    /// Maximum time that a request waits, in milliseconds.
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

/// Retry and hedging policy of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retry {
    /// Maximum number of attempts per request, including the first.
    pub attempts: u8,
    /// Maximum number of retries and hedges, in percent of recent requests.
    pub budget: u8,
    /// Delay before a hedged attempt, in milliseconds. `None` disables hedging.
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

/// A limit on how many requests each resource of a service accepts, such as
/// the number of sign-ups for a shift.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    /// Index of the path segment that names the resource, starting at zero.
    pub segment: u8,
    /// Limit for each resource that operators have not set a limit for.
    pub limit: u32,
}

/// A service and the policies that apply to its requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name of the service.
    pub name: ServiceId,
    /// Whether requests are idempotent, so that they may run more than once.
    pub repeatable: bool,
    /// Priority class of requests that name none. A caller may choose a lower
    /// priority (a later class), but never a higher one.
    #[serde(default)]
    pub class: Class,
    /// Tenants whose requests are accepted. If empty, only the tenant `default`
    /// is accepted.
    #[serde(default)]
    pub tenants: Vec<TenantId>,
    /// Maximum duration of a request, in milliseconds.
    #[serde(default = "Service::default_timeout")]
    pub timeout: u32,
    /// How long callers may cache the result of a look-up, in milliseconds.
    #[serde(default = "Service::default_ttl")]
    pub ttl: u32,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "Service::default_body")]
    pub body: u64,
    /// Limits of the admission queue.
    #[serde(default)]
    pub queue: Queue,
    /// Retry and hedging policy.
    #[serde(default)]
    pub retry: Retry,
    /// Limit per resource; only for services that are not repeatable.
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

/// Maps a network of callers to the failure domain that serves them first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// Network that contains the callers' addresses.
    pub net: IpNet,
    /// The failure domain that is nearest to the network.
    pub domain: DomainId,
}
