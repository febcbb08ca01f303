//! What an item says.

use std::time::Duration;

/// An item, or the removal of one.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Item {
    /// What sort of item it is, and so whose names it shares.
    #[prost(enumeration = "ItemKind", tag = "1")]
    pub kind: i32,
    /// The name, unique among the items of its sort.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The version; of two items with the same name the higher one stands.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The text that the operator sent, given back as it came.
    #[prost(string, tag = "4")]
    pub source: String,
    /// The content; an item without one is removed.
    #[prost(oneof = "Body", tags = "5, 6, 7, 8")]
    pub body: Option<Body>,
}

/// The sorts of items.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum ItemKind {
    /// A service and how its targets are treated.
    Service = 0,
    /// Which requests go to which services.
    Route = 1,
    /// What callers may send; there is one such item.
    Limits = 2,
    /// A failure domain whose targets are to get nothing.
    Evacuation = 3,
}

/// The content of an [`Item`].
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum Body {
    /// Of a [`ItemKind::Service`].
    #[prost(message, tag = "5")]
    Service(Service),
    /// Of a [`ItemKind::Route`].
    #[prost(message, tag = "6")]
    Route(Route),
    /// Of a [`ItemKind::Limits`].
    #[prost(message, tag = "7")]
    Limits(Limits),
    /// Of a [`ItemKind::Evacuation`].
    #[prost(message, tag = "8")]
    Evacuation(()),
}

/// A service and how its targets are treated.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Service {
    /// The path that a target's health is asked at.
    #[prost(string, tag = "1")]
    pub health: String,
    /// The connections that one target accepts from all VMs together.
    #[prost(uint32, tag = "2")]
    pub max_connections: u32,
    /// How long a target stays cold after its start, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub cold_ms: u32,
    /// The requests that a cold target bears, in thousandths a second.
    #[prost(uint32, tag = "4")]
    pub cold_rate: u32,
}

/// Which requests go to which services, and how.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Route {
    /// The host that a request names.
    #[prost(string, tag = "1")]
    pub host: String,
    /// What the path begins with; the longest one of a host decides.
    #[prost(string, tag = "2")]
    pub prefix: String,
    /// Whether a request may run more than once.
    #[prost(enumeration = "RetrySafety", tag = "3")]
    pub repeat: i32,
    /// The longest that a caller waits for an answer, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub timeout_ms: u32,
    /// The time within which an answer is worth most, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub objective_ms: u32,
    /// The rank; 0 is the most urgent.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// The services, with the share that each of them gets.
    #[prost(message, repeated, tag = "7")]
    pub parts: Vec<WeightedService>,
    /// The most targets that one request may be sent to.
    #[prost(uint32, tag = "8")]
    pub max_attempts: u32,
    /// Whether a target that has seen a request's object answers faster.
    #[prost(bool, tag = "9")]
    pub sticky: bool,
    /// The only regions that may handle requests; none means all.
    #[prost(string, repeated, tag = "10")]
    pub allowed_regions: Vec<String>,
}

/// A service's share of a route.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct WeightedService {
    /// The name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its weight, in thousandths.
    #[prost(uint64, tag = "2")]
    pub weight: u64,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum RetrySafety {
    /// It is idempotent.
    Idempotent = 0,
    /// Each attempt of a caller runs once at most.
    AtMostOnce = 1,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    #[prost(uint64, tag = "1")]
    pub head_bytes: u64,
    /// The largest body of a request, in bytes.
    #[prost(uint64, tag = "2")]
    pub body_bytes: u64,
    /// The longest that the head of a request may take, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub head_ms: u32,
    /// The longest that a connection may stay idle, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub idle_ms: u32,
}

/// What tells an item from all others; services sort before the routes that
/// refer to them.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ItemKey<'a> {
    /// The sort.
    pub kind: i32,
    /// The name.
    pub name: &'a str,
}

impl Item {
    /// What tells the item from all others.
    pub fn key(&self) -> ItemKey<'_> {
        ItemKey {
            kind: self.kind,
            name: &self.name,
        }
    }

    /// An item that stands.
    pub fn new(name: impl Into<String>, version: u64, body: Body) -> Self {
        Self {
            kind: body.kind() as i32,
            name: name.into(),
            version,
            source: String::new(),
            body: Some(body),
        }
    }

    /// The removal of an item.
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
    /// The sort of item that has such a content.
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
    /// The longest that a caller waits for an answer.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }

    /// The time within which an answer is worth most.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms.into())
    }

    /// Whether a region may handle the route's requests.
    pub fn allows_region(&self, region: &str) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.iter().any(|home| home == region)
    }
}
