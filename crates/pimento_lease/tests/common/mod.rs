//! Shared helpers for the lease tests: names, addresses and constructors.

#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses its own part"
)]

use pimento_core::{Time, VmId};
use pimento_lease::{Announcer, Candidate, LeaseConfig, Leases, TargetInfo};
use std::{net::SocketAddr, time::Duration};

/// A time on the test's clock.
pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// The listener of the entry VM with this number.
pub fn listener(vm: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + vm))
}

/// The entry VM with this number.
pub fn candidate(vm: u16) -> Candidate {
    Candidate {
        vm: VmId::new(format!("vm{vm}")).expect("a valid name"),
        listener: listener(vm),
    }
}

/// The parameters of the tests: a term of two seconds and two announcements per
/// second.
pub fn config(vm: u16, incarnation: u64) -> LeaseConfig {
    LeaseConfig {
        term: Duration::from_secs(2),
        drift_percent: 5,
        announce_interval: Duration::from_millis(500),
        max_runtime: Duration::from_secs(30),
        ..LeaseConfig::new(candidate(vm).vm, listener(vm), incarnation)
    }
}

/// An entry VM without leases.
pub fn leases(vm: u16) -> Leases {
    Leases::new(config(vm, 1))
}

/// A target process that knows the entry VMs with these numbers.
pub fn target(incarnation: u64, vms: impl Iterator<Item = u16>) -> Announcer {
    let info = TargetInfo {
        target: "t1".parse().expect("a valid name"),
        incarnation,
        service: "sign-ups".parse().expect("a valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        slots: 6,
        connections: 700,
    };
    Announcer::new(info, vms.map(listener).collect(), incarnation)
}
