//! The bytes on the links between regions.

mod common;

use common::*;
use pimento_core::prelude::*;
use pimento_steer::{Hop, LinkBudget, Outcome, SteeringConfig};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const MBIT: u32 = 280;
/// Bytes that the link carries in a second.
const LINK: u64 = 35_000_000;

/// Six VMs fill one link with answers of random sizes; the bytes of the
/// answers that began in any second stay below the link's capacity.
fn check(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let config = SteeringConfig::default();
    let service = service();
    let mean = rng.random_range(1_000..200_000);
    let mut vms: Vec<LinkBudget> = (0..6)
        .map(|_| LinkBudget::new(at(0), config.link_burst))
        .collect();
    for vm in &mut vms {
        vm.set_share(at(0), MBIT, config.response_share / 6.0);
    }
    let mut open: Vec<(u64, usize, u64, u64)> = Vec::new();
    let mut sent: Vec<(u64, u64)> = Vec::new();
    for millis in 0..5_000 {
        let now = at(millis);
        while let Some(i) = open.iter().position(|answer| answer.0 <= millis) {
            let (_, vm, reserved, bytes) = open.swap_remove(i);
            vms[vm].settle(now, &service, reserved, bytes);
            sent.push((millis, bytes));
        }
        for (i, vm) in vms.iter_mut().enumerate() {
            for _ in 0..20 {
                let Some(reserved) = vm.reserve(now, &service) else {
                    break;
                };
                let bytes = rng.random_range(0..mean * 2);
                open.push((millis + rng.random_range(25..80), i, reserved, bytes));
            }
        }
    }
    let mut most = 0;
    for start in (0..4_000).step_by(100) {
        let window = sent
            .iter()
            .filter(|s| (start..start + 1_000).contains(&s.0));
        most = most.max(window.map(|s| s.1).sum());
    }
    assert!(most <= LINK, "{most} bytes in a second");
    assert!(most >= LINK / 4, "{most} bytes in a second");
}

#[test]
fn never_overrun() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(200)
        .for_each(|seed| check(*seed));
}

#[test]
fn learns_size() {
    let mut link = LinkBudget::new(at(0), Duration::from_millis(100));
    let service = service();
    link.set_share(at(0), MBIT, 0.1);
    for step in 1..500 {
        let reserved = link.reserve(at(step * 100), &service).unwrap();
        link.settle(at(step * 100 + 30), &service, reserved, 4_000);
    }
    let next = link.reserve(at(60_000), &service).unwrap();
    assert!((4_000..4_100).contains(&next), "{next}");
}

#[test]
fn debt_is_paid() {
    let mut link = LinkBudget::new(at(0), Duration::from_millis(100));
    let service = service();
    // A share of 3.5 MB/s.
    link.set_share(at(0), MBIT, 0.1);
    let reserved = link.reserve(at(100), &service).unwrap();
    link.settle(at(100), &service, reserved, 7_000_000);
    assert_eq!(link.reserve(at(1_900), &service), None);
    assert_eq!(
        link.reserve(at(60_000), &service).map(|bytes| bytes > 0),
        Some(true)
    );
}

#[test]
fn link_bounds_moves() {
    let mut far = view(at(0), full(6, 9), headroom(6_000, 6_000));
    far.domains.retain(|d| d.domain.starts_with("kushiro"));
    let mut steer = steer(at(0), far);
    let service = service();
    let mut bytes = 0;
    for _ in 0..2_000 {
        let hop = steer.route(at(1_000), &ask(&service, full(6, 9), &[]));
        if let Some(hop @ Hop::Vm { .. }) = hop {
            bytes += 1_000_000;
            let answered = Outcome::Answered { bytes: 1_000_000 };
            steer.record_outcome(at(1_000), &service, &hop, answered);
        }
    }
    assert!((1..=2_000_000).contains(&bytes), "{bytes}");
}
