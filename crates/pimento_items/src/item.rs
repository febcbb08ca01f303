//! Items and their contents.

use std::time::Duration;

/// A versioned configuration item, or the removal of one.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Item {
    /// The [`ItemKind`], which is also the namespace of the name.
    #[prost(enumeration = "ItemKind", tag = "1")]
    pub kind: i32,
    /// The name, unique among the items of its kind.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The version; of two items with the same key the higher version wins.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The text that the operator sent, returned unchanged when items are read.
    #[prost(string, tag = "4")]
    pub source: String,
    /// The content; `None` marks the item as removed.
    #[prost(oneof = "Body", tags = "5, 6, 7, 8")]
    pub body: Option<Body>,
}

/// The kinds of items.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum ItemKind {
    /// A [`Service`].
    Service = 0,
    /// A [`Route`].
    Route = 1,
    /// The [`Limits`], of which there is only one item.
    Limits = 2,
    /// A failure domain whose targets must get no requests.
    Evacuation = 3,
}

/// The content of an [`Item`].
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum Body {
    /// The content of an [`ItemKind::Service`].
    #[prost(message, tag = "5")]
    Service(Service),
    /// The content of an [`ItemKind::Route`].
    #[prost(message, tag = "6")]
    Route(Route),
    /// The content of an [`ItemKind::Limits`].
    #[prost(message, tag = "7")]
    Limits(Limits),
    /// An [`ItemKind::Evacuation`] has no content but its name.
    #[prost(message, tag = "8")]
    Evacuation(()),
}

/// The settings of a service's targets.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Service {
    /// The path of the targets' health check.
    #[prost(string, tag = "1")]
    pub health: String,
    /// The number of connections that a target accepts from all VMs together.
    #[prost(uint32, tag = "2")]
    pub max_connections: u32,
    /// How long a target stays cold after its start, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub cold_ms: u32,
    /// The request rate that a cold target can handle, in thousandths of a
    /// request per second.
    #[prost(uint32, tag = "4")]
    pub cold_rate: u32,
}

/// Maps requests with a host and a path prefix to services.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Route {
    /// The host of matching requests.
    #[prost(string, tag = "1")]
    pub host: String,
    /// The path prefix of matching requests; the longest match of a host wins.
    #[prost(string, tag = "2")]
    pub prefix: String,
    /// The [`RetrySafety`] of the requests.
    #[prost(enumeration = "RetrySafety", tag = "3")]
    pub retry_safety: i32,
    /// How long a caller waits for the response, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub timeout_ms: u32,
    /// The response time within which a response has full value, the latency
    /// objective, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub objective_ms: u32,
    /// The priority class; 0 is the most urgent.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// The services that share the requests, in proportion to their weights.
    #[prost(message, repeated, tag = "7")]
    pub services: Vec<WeightedService>,
    /// The maximum number of targets that one request may be sent to.
    #[prost(uint32, tag = "8")]
    pub max_attempts: u32,
    /// Whether requests have affinity: targets answer faster for affinity keys
    /// that they have recently served.
    #[prost(bool, tag = "9")]
    pub sticky: bool,
    /// The regions that may handle the requests; empty for all regions.
    #[prost(string, repeated, tag = "10")]
    pub allowed_regions: Vec<String>,
}

/// A service of a route, with the weight of its share of the requests.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct WeightedService {
    /// The name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The weight in thousandths, relative to the sum of all weights.
    #[prost(uint64, tag = "2")]
    pub weight: u64,
}

/// Whether a request may safely run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum RetrySafety {
    /// Requests are idempotent, so they may be retried after any failure.
    Idempotent = 0,
    /// A request must run at most once for each time that a caller sends it.
    AtMostOnce = 1,
}

/// Limits for the requests and connections of callers.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Limits {
    /// The maximum size of a request's head, in bytes.
    #[prost(uint64, tag = "1")]
    pub head_bytes: u64,
    /// The maximum size of a request's body, in bytes.
    #[prost(uint64, tag = "2")]
    pub body_bytes: u64,
    /// The timeout for receiving a request's head, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub head_ms: u32,
    /// The idle timeout of a connection, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub idle_ms: u32,
}

/// Identifies an item across all versions. Services sort before the routes that
/// refer to them.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ItemKey<'a> {
    /// The [`ItemKind`] as a number.
    pub kind: i32,
    /// The name within the kind.
    pub name: &'a str,
}

impl Item {
    /// The key that all versions of the item share.
    pub fn key(&self) -> ItemKey<'_> {
        ItemKey {
            kind: self.kind,
            name: &self.name,
        }
    }

    /// Creates an item with content.
    pub fn new(name: impl Into<String>, version: u64, body: Body) -> Self {
        Self {
            kind: body.kind() as i32,
            name: name.into(),
            version,
            source: String::new(),
            body: Some(body),
        }
    }

    /// Creates the removal of an item.
    pub fn removal(kind: ItemKind, name: impl Into<String>, version: u64) -> Self {
        Self {
            kind: kind as i32,
            name: name.into(),
            version,
            source: String::new(),
            body: None,
        }
    }
}

impl Body {
    /// The kind of item that this content belongs to.
    pub const fn kind(&self) -> ItemKind {
        match self {
            Self::Service(_) => ItemKind::Service,
            Self::Route(_) => ItemKind::Route,
            Self::Limits(_) => ItemKind::Limits,
            Self::Evacuation(()) => ItemKind::Evacuation,
        }
    }
}

impl Route {
    /// How long a caller waits for the response.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }

    /// The response time within which a response has full value.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms.into())
    }

    /// Whether targets in a region may handle the route's requests.
    pub fn allows_region(&self, region: &str) -> bool {
        self.allowed_regions.is_empty()
            || self.allowed_regions.iter().any(|allowed| allowed == region)
    }
}
