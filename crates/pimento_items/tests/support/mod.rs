//! Sample items.

#![allow(dead_code, reason = "each test file uses a part of it")]

use pimento_items::{
    Body, Catalog, Changeset, Item, Limits, RetrySafety, Route, Service, WeightedService,
};

pub fn service(name: &str, version: u64) -> Item {
    let body = Body::Service(Service {
        health: "/health".into(),
        max_connections: 10,
        cold_ms: 3_000,
        cold_rate: 5_000,
    });
    Item::new(name, version, body)
}

pub fn route_at(name: &str, version: u64, prefix: &str, service: &str) -> Item {
    let body = Body::Route(Route {
        host: "h.example".into(),
        prefix: prefix.into(),
        retry_safety: RetrySafety::Idempotent as i32,
        timeout_ms: 800,
        objective_ms: 250,
        priority: 1,
        services: vec![WeightedService {
            service: service.into(),
            weight: 1_000,
        }],
        max_attempts: 2,
        sticky: true,
        allowed_regions: Vec::new(),
    });
    Item::new(name, version, body)
}

pub fn route(name: &str, version: u64, service: &str) -> Item {
    route_at(name, version, "/", service)
}

pub fn limits(version: u64) -> Item {
    let body = Body::Limits(Limits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_ms: 3_000,
        idle_ms: 15_000,
    });
    Item::new("limits", version, body)
}

/// Two services and a route to the first one, accepted at log index 1.
pub fn sample_catalog() -> Catalog {
    let mut catalog = Catalog::default();
    let items = vec![service("a", 1), service("b", 1), route("r", 1, "a")];
    catalog.apply_changeset(1, &Changeset { items }).unwrap();
    catalog
}
