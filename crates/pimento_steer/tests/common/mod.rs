//! Shared helpers for the steering tests.
#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses only some of the helpers"
)]

use pimento_admit::Headroom;
use pimento_core::prelude::*;
use pimento_rules::{Domain, Link, Queue, Region, Retry, Rules, Service};
use pimento_steer::{
    BlockTable, EntryVm, Location, Origin, Peer, RouteRequest, ServiceHeadroom, Steering,
    SteeringConfig,
};
use pimento_steer::{ClusterView, DomainSummary};
use std::net::SocketAddr;
use std::sync::Arc;

pub const REGIONS: [&str; 3] = ["asahikawa", "kushiro", "sapporo"];

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub fn service() -> ServiceId {
    ServiceId::new("shifts").unwrap()
}

pub fn vm(domain: &str, n: usize) -> VmId {
    VmId::new(format!("{domain}.{n}")).unwrap()
}

fn address(domain: &str, n: usize, port: u16) -> SocketAddr {
    let region = REGIONS.iter().position(|r| domain.starts_with(r)).unwrap();
    let half = u8::from(domain.ends_with('b'));
    SocketAddr::from(([10, region as u8, half, n as u8], port))
}

pub fn callers(domain: &str, n: usize) -> SocketAddr {
    address(domain, n, 80)
}

pub fn entry(domain: &str, n: usize) -> EntryVm {
    EntryVm {
        vm: vm(domain, n),
        caller_addr: callers(domain, n),
        forward_addr: address(domain, n, 81),
    }
}

pub fn headroom(slots: u32, free: u32) -> Headroom {
    Headroom {
        slots,
        free,
        queued: 0,
        latency_us: 30_000,
    }
}

pub fn full_headroom(slots: u32, queued: u32) -> Headroom {
    Headroom {
        queued,
        ..headroom(slots, 0)
    }
}

pub fn service_headroom(headroom: Headroom) -> Vec<ServiceHeadroom> {
    let service = service();
    vec![ServiceHeadroom { service, headroom }]
}

pub fn peer(domain: &str, n: usize, time: Time, headroom: Headroom) -> Peer {
    Peer {
        entry: entry(domain, n),
        stopping: false,
        received_at: time,
        services: service_headroom(headroom),
    }
}

pub fn summary(domain: &str, time: Time, headroom: Headroom) -> DomainSummary {
    DomainSummary {
        domain: DomainId::new(domain).unwrap(),
        entries: (0..3).map(|n| entry(domain, n)).collect(),
        received_at: time,
        services: service_headroom(headroom),
    }
}

pub fn service_rule(repeatable: bool) -> Service {
    Service {
        name: service(),
        repeatable,
        class: Class::Critical,
        tenants: Vec::new(),
        timeout: 5_000,
        ttl: 2_000,
        body: 1 << 20,
        queue: Queue::default(),
        retry: Retry {
            hedge: Some(100),
            ..Retry::default()
        },
        cap: None,
    }
}

/// Three regions with two failure domains each.
pub fn rules() -> Rules {
    let region = |name: &str| RegionId::new(name).unwrap();
    let domains = REGIONS.iter().flat_map(|r| {
        ["a", "b"].map(|half| Domain {
            name: DomainId::new(format!("{r}-{half}")).unwrap(),
            region: region(r),
        })
    });
    let pairs = [(0, 1), (0, 2), (1, 2)];
    Rules {
        version: 7,
        regions: REGIONS
            .iter()
            .map(|r| Region {
                name: region(r),
                reserve: 20,
            })
            .collect(),
        domains: domains.collect(),
        links: pairs
            .iter()
            .map(|(a, b)| Link {
                a: region(REGIONS[*a]),
                b: region(REGIONS[*b]),
                mbit: 280,
                latency: 12,
            })
            .collect(),
        services: vec![service_rule(true)],
        blocks: Vec::new().into(),
    }
}

pub const OWN_DOMAIN: &str = "sapporo-a";

pub fn location() -> Location {
    Location {
        vm: vm(OWN_DOMAIN, 0),
        domain: DomainId::new(OWN_DOMAIN).unwrap(),
        region: RegionId::new("sapporo").unwrap(),
    }
}

/// Three VMs in this domain and five other domains. All VMs here, and all other
/// domains, have the same headroom.
pub fn view(time: Time, here: Headroom, there: Headroom) -> ClusterView {
    let domains = rules().domains;
    let others = domains.iter().filter(|d| d.name.as_str() != OWN_DOMAIN);
    ClusterView {
        peers: (0..3).map(|n| peer(OWN_DOMAIN, n, time, here)).collect(),
        domains: others.map(|d| summary(&d.name, time, there)).collect(),
    }
}

pub fn steering(now: Time, view: ClusterView) -> Steering {
    let mut steering = Steering::new(SteeringConfig::default(), location(), 1);
    steering.set_rules(now, &rules(), Arc::new(BlockTable::default()));
    steering.set_view(now, view);
    steering
}

pub fn route_request<'a>(
    service: &'a ServiceId,
    local: Headroom,
    tried: &'a [VmId],
) -> RouteRequest<'a> {
    RouteRequest {
        service,
        class: Class::Critical,
        origin: Origin::Caller,
        tried,
        local,
    }
}
