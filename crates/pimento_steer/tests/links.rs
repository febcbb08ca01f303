//! The bandwidth budget of the links between regions.

mod common;

use common::*;
use pimento_core::prelude::*;
use pimento_steer::{Hop, LinkBudget, Outcome, SteeringConfig};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const LINK_MBIT: u32 = 280;
/// The capacity of the link, in bytes per second.
const LINK_BYTES_PER_SECOND: u64 = 35_000_000;

/// Six VMs fill one link with responses of random sizes. The bytes of the
/// responses in any second must stay below the capacity of the link.
fn check_link_budget(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let config = SteeringConfig::default();
    let service = service();
    let mean = rng.random_range(1_000..200_000);
    let mut vms: Vec<LinkBudget> = (0..6)
        .map(|_| LinkBudget::new(at(0), config.link_burst))
        .collect();
    for vm in &mut vms {
        vm.set_share(at(0), LINK_MBIT, config.response_share / 6.0);
    }
    let mut in_flight: Vec<(u64, usize, u64, u64)> = Vec::new();
    let mut sent: Vec<(u64, u64)> = Vec::new();
    for millis in 0..5_000 {
        let now = at(millis);
        while let Some(i) = in_flight.iter().position(|response| response.0 <= millis) {
            let (_, vm, reserved, bytes) = in_flight.swap_remove(i);
            vms[vm].settle(now, &service, reserved, bytes);
            sent.push((millis, bytes));
        }
        for (i, vm) in vms.iter_mut().enumerate() {
            for _ in 0..20 {
                let Some(reserved) = vm.reserve(now, &service) else {
                    break;
                };
                let bytes = rng.random_range(0..mean * 2);
                in_flight.push((millis + rng.random_range(25..80), i, reserved, bytes));
            }
        }
    }
    let mut max_bytes = 0;
    for start in (0..4_000).step_by(100) {
        let window = sent
            .iter()
            .filter(|s| (start..start + 1_000).contains(&s.0));
        max_bytes = max_bytes.max(window.map(|s| s.1).sum());
    }
    assert!(
        max_bytes <= LINK_BYTES_PER_SECOND,
        "{max_bytes} bytes in one second"
    );
    assert!(
        max_bytes >= LINK_BYTES_PER_SECOND / 4,
        "{max_bytes} bytes in one second"
    );
}

#[test]
fn link_never_overrun() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(200)
        .for_each(|seed| check_link_budget(*seed));
}

#[test]
fn response_size_is_learned() {
    let mut link = LinkBudget::new(at(0), Duration::from_millis(100));
    let service = service();
    link.set_share(at(0), LINK_MBIT, 0.1);
    for step in 1..500 {
        let reserved = link.reserve(at(step * 100), &service).unwrap();
        link.settle(at(step * 100 + 30), &service, reserved, 4_000);
    }
    let next = link.reserve(at(60_000), &service).unwrap();
    assert!((4_000..4_100).contains(&next), "{next}");
}

#[test]
fn overdraft_is_paid_back() {
    let mut link = LinkBudget::new(at(0), Duration::from_millis(100));
    let service = service();
    // A share of 3.5 MB/s.
    link.set_share(at(0), LINK_MBIT, 0.1);
    let reserved = link.reserve(at(100), &service).unwrap();
    link.settle(at(100), &service, reserved, 7_000_000);
    assert_eq!(link.reserve(at(1_900), &service), None);
    assert_eq!(
        link.reserve(at(60_000), &service).map(|bytes| bytes > 0),
        Some(true)
    );
}

#[test]
fn link_limits_spillover() {
    let mut far = view(at(0), full_headroom(6, 9), headroom(6_000, 6_000));
    far.domains.retain(|d| d.domain.starts_with("kushiro"));
    let mut steering = steering(at(0), far);
    let service = service();
    let mut bytes = 0;
    for _ in 0..2_000 {
        let hop = steering.route(
            at(1_000),
            &route_request(&service, full_headroom(6, 9), &[]),
        );
        if let Some(hop @ Hop::Vm { .. }) = hop {
            bytes += 1_000_000;
            let outcome = Outcome::Answered { bytes: 1_000_000 };
            steering.record_outcome(at(1_000), &service, &hop, outcome);
        }
    }
    assert!((1..=2_000_000).contains(&bytes), "{bytes}");
}
