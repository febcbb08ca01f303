//! Where requests are forwarded, and within which limits.

mod common;

use common::*;
use pimento_core::prelude::*;
use pimento_steer::{Hop, Origin, Outcome};

fn domain_of(hop: &Hop) -> &str {
    match hop {
        Hop::Local => OWN_DOMAIN,
        Hop::Vm { domain, .. } => domain,
    }
}

#[test]
fn local_first() {
    let mut steering = steering(at(0), view(at(0), headroom(6, 6), headroom(6, 6)));
    let service = service();
    for _ in 0..50 {
        let hop = steering.route(at(0), &route_request(&service, headroom(3, 1), &[]));
        assert_eq!(hop, Some(Hop::Local));
    }
}

#[test]
fn free_peer_before_queue() {
    let mut steering = steering(at(0), view(at(0), headroom(6, 6), headroom(6, 6)));
    let service = service();
    let hop = steering
        .route(at(0), &route_request(&service, full_headroom(3, 2), &[]))
        .unwrap();
    assert!(matches!(&hop, Hop::Vm { vm: to, .. } if *to != vm(OWN_DOMAIN, 0)));
    assert_eq!(domain_of(&hop), OWN_DOMAIN);
}

#[test]
fn headroom_is_spent() {
    let mut steering = steering(at(0), view(at(0), full_headroom(6, 0), headroom(6, 0)));
    let mut changed = view(at(1), full_headroom(6, 0), headroom(6, 0));
    changed.peers[1] = peer(OWN_DOMAIN, 1, at(1), headroom(6, 3));
    steering.set_view(at(1), changed);
    let service = service();
    let mut sent = Vec::new();
    for _ in 0..40 {
        let hop = steering.route(at(2), &route_request(&service, full_headroom(6, 0), &[]));
        sent.extend(hop.filter(|hop| *hop != Hop::Local));
    }
    assert!(sent.len() <= 3, "{} for three free slots", sent.len());
    assert!(!sent.is_empty());
    // The end of a request frees its slot.
    steering.record_outcome(at(3), &service, &sent[0], Outcome::Answered { bytes: 10 });
    let again = (0..40).any(|_| {
        let hop = steering.route(at(3), &route_request(&service, full_headroom(6, 0), &[]));
        hop != Some(Hop::Local)
    });
    assert!(again);
}

#[test]
fn near_before_far() {
    let mut steering = steering(at(0), view(at(0), full_headroom(6, 9), headroom(6, 6)));
    let service = service();
    let hop = steering
        .route(at(0), &route_request(&service, full_headroom(6, 9), &[]))
        .unwrap();
    assert_eq!(domain_of(&hop), "sapporo-b");
}

#[test]
fn no_second_forward() {
    let mut steering = steering(at(0), view(at(0), full_headroom(6, 9), headroom(6, 6)));
    let service = service();
    for origin in [Origin::Peer, Origin::Domain] {
        let mut request = route_request(&service, full_headroom(6, 9), &[]);
        request.origin = origin.clone();
        let hop = steering.route(at(0), &request).unwrap();
        assert_eq!(domain_of(&hop), OWN_DOMAIN);
        request.local = headroom(0, 0);
        if origin == Origin::Peer {
            assert_eq!(steering.route(at(0), &request), None);
        }
    }
}

#[test]
fn tried_vms_are_avoided() {
    let mut steering = steering(at(0), view(at(0), headroom(6, 6), headroom(0, 0)));
    let service = service();
    let tried = [vm(OWN_DOMAIN, 0), vm(OWN_DOMAIN, 1)];
    for _ in 0..20 {
        let hop = steering.route(at(0), &route_request(&service, headroom(3, 3), &tried));
        assert!(matches!(hop, Some(Hop::Vm { vm: to, .. }) if to == vm(OWN_DOMAIN, 2)));
    }
    let tried = [vm(OWN_DOMAIN, 0), vm(OWN_DOMAIN, 1), vm(OWN_DOMAIN, 2)];
    let request = route_request(&service, headroom(3, 3), &tried);
    assert_eq!(steering.route(at(0), &request), None);
}

#[test]
fn slow_local_targets_are_bypassed() {
    let mut steering = steering(at(0), view(at(0), headroom(6, 6), headroom(6, 6)));
    let service = service();
    let mut slow = headroom(3, 3);
    slow.latency_us = 300_000;
    let hop = steering
        .route(at(0), &route_request(&service, slow, &[]))
        .unwrap();
    assert!(matches!(hop, Hop::Vm { .. }));
}

#[test]
fn outdated_headroom_is_probed() {
    let mut steering = steering(at(0), view(at(0), full_headroom(6, 9), headroom(6, 3)));
    let service = service();
    let mut away = |millis| {
        let hop = steering.route(
            at(millis),
            &route_request(&service, full_headroom(6, 9), &[]),
        );
        hop.as_ref().map(domain_of) != Some(OWN_DOMAIN)
    };
    // Headroom that was discounted to less than one slot is not used.
    assert!((0..100).all(|_| !away(2_400)));
    // Outdated headroom is ignored, and only a few requests probe the domains:
    // 5% of what each of five domains with six slots can serve at 30 ms.
    let probes = (0..1_000).filter(|_| away(4_000)).count();
    assert!((1..=50).contains(&probes), "{probes} probes");
    // A request that must not run twice is not used as a probe.
    let mut rules = rules();
    rules.services = vec![service_rule(false)];
    steering.set_rules(at(6_000), &rules, std::sync::Arc::default());
    let hop = steering.route(
        at(6_000),
        &route_request(&service, full_headroom(6, 9), &[]),
    );
    assert_eq!(hop.as_ref().map(domain_of), Some(OWN_DOMAIN));
}

#[test]
fn background_stays_in_region() {
    let mut view = view(at(1_000), full_headroom(6, 9), headroom(6, 6));
    view.domains.retain(|d| !d.domain.starts_with("sapporo"));
    let mut steering = steering(at(0), view);
    let service = service();
    let mut request = route_request(&service, full_headroom(6, 9), &[]);
    let hop = steering.route(at(1_000), &request).unwrap();
    assert_ne!(domain_of(&hop), OWN_DOMAIN);
    request.class = Class::Background;
    for _ in 0..20 {
        let hop = steering.route(at(1_000), &request).unwrap();
        assert_eq!(domain_of(&hop), OWN_DOMAIN);
    }
}

/// The number of requests per second that spill over while all other domains
/// report free slots.
fn count_spilled(seconds: u64, refuse: bool) -> Vec<usize> {
    let mut steering = steering(at(0), view(at(0), full_headroom(6, 9), headroom(60, 60)));
    let service = service();
    let mut counts = Vec::new();
    for second in 0..seconds {
        let mut count = 0;
        for step in 0..1_000 {
            let now = at(second * 1_000 + step);
            if step % 10 == 0 {
                steering.set_view(now, view(now, full_headroom(6, 9), headroom(60, 60)));
            }
            let hop = steering
                .route(now, &route_request(&service, full_headroom(6, 9), &[]))
                .unwrap();
            if domain_of(&hop) == OWN_DOMAIN {
                continue;
            }
            count += 1;
            let outcome = if refuse {
                Outcome::Refused
            } else {
                Outcome::Answered { bytes: 1_000 }
            };
            steering.record_outcome(now, &service, &hop, outcome);
        }
        counts.push(count);
    }
    counts
}

#[test]
fn spillover_growth_is_limited() {
    let config = pimento_steer::SteeringConfig::default();
    let first = 60.0 / 0.03 * config.spill_floor * 5.0;
    let counts = count_spilled(4, false);
    assert!(counts[0] as f64 <= first, "{counts:?}");
    assert!(counts[0] > 0);
    for pair in counts.windows(2) {
        let bound = (pair[0] as f64 * config.spill_growth).max(first) + 5.0;
        assert!(pair[1] as f64 <= bound, "{counts:?}");
    }
}

#[test]
fn refusals_cut_spillover() {
    let (accepted, refused) = (count_spilled(3, false), count_spilled(3, true));
    assert!(refused[2] * 4 < accepted[2], "{refused:?} {accepted:?}");
}

#[test]
fn dead_domain_is_paused() {
    let mut steering = steering(at(0), view(at(0), full_headroom(6, 9), headroom(60, 60)));
    let service = service();
    let failed = Outcome::Failed { bytes: 0 };
    let mut near_count = 0;
    for step in 0..100 {
        let now = at(step * 10);
        let hop = steering
            .route(now, &route_request(&service, full_headroom(6, 9), &[]))
            .unwrap();
        if domain_of(&hop) == "sapporo-b" {
            near_count += 1;
            steering.record_outcome(now, &service, &hop, failed);
        }
    }
    assert!(
        (2..=4).contains(&near_count),
        "{near_count} requests to a dead domain"
    );
}
