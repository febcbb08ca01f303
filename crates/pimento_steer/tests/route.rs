//! Where requests are passed on, and within which bounds.

mod common;

use common::*;
use pimento_core::prelude::*;
use pimento_steer::{Hop, Origin, Outcome};

fn domain_of(hop: &Hop) -> &str {
    match hop {
        Hop::Local => HOME,
        Hop::Vm { domain, .. } => domain,
    }
}

#[test]
fn local_first() {
    let mut steer = steer(at(0), view(at(0), headroom(6, 6), headroom(6, 6)));
    let service = service();
    for _ in 0..50 {
        let hop = steer.route(at(0), &ask(&service, headroom(3, 1), &[]));
        assert_eq!(hop, Some(Hop::Local));
    }
}

#[test]
fn free_peer() {
    let mut steer = steer(at(0), view(at(0), headroom(6, 6), headroom(6, 6)));
    let service = service();
    let hop = steer.route(at(0), &ask(&service, full(3, 2), &[])).unwrap();
    assert!(matches!(&hop, Hop::Vm { vm: to, .. } if *to != vm(HOME, 0)));
    assert_eq!(domain_of(&hop), HOME);
}

#[test]
fn spends_headroom() {
    let mut steer = steer(at(0), view(at(0), full(6, 0), headroom(6, 0)));
    let mut changed = view(at(1), full(6, 0), headroom(6, 0));
    changed.peers[1] = peer(HOME, 1, at(1), headroom(6, 3));
    steer.set_view(at(1), changed);
    let service = service();
    let mut sent = Vec::new();
    for _ in 0..40 {
        let hop = steer.route(at(2), &ask(&service, full(6, 0), &[]));
        sent.extend(hop.filter(|hop| *hop != Hop::Local));
    }
    assert!(sent.len() <= 3, "{} for three free slots", sent.len());
    assert!(!sent.is_empty());
    // An ended request gives its place back.
    steer.record_outcome(at(3), &service, &sent[0], Outcome::Answered { bytes: 10 });
    let again = (0..40).any(|_| {
        let hop = steer.route(at(3), &ask(&service, full(6, 0), &[]));
        hop != Some(Hop::Local)
    });
    assert!(again);
}

#[test]
fn near_before_far() {
    let mut steer = steer(at(0), view(at(0), full(6, 9), headroom(6, 6)));
    let service = service();
    let hop = steer.route(at(0), &ask(&service, full(6, 9), &[])).unwrap();
    assert_eq!(domain_of(&hop), "sapporo-b");
}

#[test]
fn no_bounce() {
    let mut steer = steer(at(0), view(at(0), full(6, 9), headroom(6, 6)));
    let service = service();
    for origin in [Origin::Peer, Origin::Domain] {
        let mut ask = ask(&service, full(6, 9), &[]);
        ask.origin = origin.clone();
        let hop = steer.route(at(0), &ask).unwrap();
        assert_eq!(domain_of(&hop), HOME);
        ask.local = headroom(0, 0);
        if origin == Origin::Peer {
            assert_eq!(steer.route(at(0), &ask), None);
        }
    }
}

#[test]
fn tried_places() {
    let mut steer = steer(at(0), view(at(0), headroom(6, 6), headroom(0, 0)));
    let service = service();
    let tried = [vm(HOME, 0), vm(HOME, 1)];
    for _ in 0..20 {
        let hop = steer.route(at(0), &ask(&service, headroom(3, 3), &tried));
        assert!(matches!(hop, Some(Hop::Vm { vm: to, .. }) if to == vm(HOME, 2)));
    }
    let tried = [vm(HOME, 0), vm(HOME, 1), vm(HOME, 2)];
    let ask = ask(&service, headroom(3, 3), &tried);
    assert_eq!(steer.route(at(0), &ask), None);
}

#[test]
fn slow_here() {
    let mut steer = steer(at(0), view(at(0), headroom(6, 6), headroom(6, 6)));
    let service = service();
    let mut slow = headroom(3, 3);
    slow.latency_us = 300_000;
    let hop = steer.route(at(0), &ask(&service, slow, &[])).unwrap();
    assert!(matches!(hop, Hop::Vm { .. }));
}

#[test]
fn old_headroom() {
    let mut steer = steer(at(0), view(at(0), full(6, 9), headroom(6, 3)));
    let service = service();
    let mut away = |millis| {
        let hop = steer.route(at(millis), &ask(&service, full(6, 9), &[]));
        hop.as_ref().map(domain_of) != Some(HOME)
    };
    // Discounted to less than a slot, it is not spent.
    assert!((0..100).all(|_| !away(2_400)));
    // Older, it says nothing, and no more than a few requests find out: 5% of
    // what each of five domains with six slots can answer at 30 ms.
    let found_out = (0..1_000).filter(|_| away(4_000)).count();
    assert!((1..=50).contains(&found_out), "{found_out}");
    // A request that must not run twice is not risked.
    let mut rules = rules();
    rules.services = vec![rule(false)];
    steer.set_rules(at(6_000), &rules, std::sync::Arc::default());
    let hop = steer.route(at(6_000), &ask(&service, full(6, 9), &[]));
    assert_eq!(hop.as_ref().map(domain_of), Some(HOME));
}

#[test]
fn background_stays() {
    let mut view = view(at(1_000), full(6, 9), headroom(6, 6));
    view.domains.retain(|d| !d.domain.starts_with("sapporo"));
    let mut steer = steer(at(0), view);
    let service = service();
    let mut ask = ask(&service, full(6, 9), &[]);
    let hop = steer.route(at(1_000), &ask).unwrap();
    assert_ne!(domain_of(&hop), HOME);
    ask.class = Class::Background;
    for _ in 0..20 {
        let hop = steer.route(at(1_000), &ask).unwrap();
        assert_eq!(domain_of(&hop), HOME);
    }
}

/// Requests a second that are moved away when all other domains look free.
fn moved(seconds: u64, refuse: bool) -> Vec<usize> {
    let mut steer = steer(at(0), view(at(0), full(6, 9), headroom(60, 60)));
    let service = service();
    let mut counts = Vec::new();
    for second in 0..seconds {
        let mut count = 0;
        for step in 0..1_000 {
            let now = at(second * 1_000 + step);
            if step % 10 == 0 {
                steer.set_view(now, view(now, full(6, 9), headroom(60, 60)));
            }
            let hop = steer.route(now, &ask(&service, full(6, 9), &[])).unwrap();
            if domain_of(&hop) == HOME {
                continue;
            }
            count += 1;
            let outcome = if refuse {
                Outcome::Refused
            } else {
                Outcome::Answered { bytes: 1_000 }
            };
            steer.record_outcome(now, &service, &hop, outcome);
        }
        counts.push(count);
    }
    counts
}

#[test]
fn bounded_growth() {
    let config = pimento_steer::SteeringConfig::default();
    let first = 60.0 / 0.03 * config.spill_floor * 5.0;
    let counts = moved(4, false);
    assert!(counts[0] as f64 <= first, "{counts:?}");
    assert!(counts[0] > 0);
    for pair in counts.windows(2) {
        let bound = (pair[0] as f64 * config.spill_growth).max(first) + 5.0;
        assert!(pair[1] as f64 <= bound, "{counts:?}");
    }
}

#[test]
fn refusals_cut() {
    let (accepted, refused) = (moved(3, false), moved(3, true));
    assert!(refused[2] * 4 < accepted[2], "{refused:?} {accepted:?}");
}

#[test]
fn dead_domain() {
    let mut steer = steer(at(0), view(at(0), full(6, 9), headroom(60, 60)));
    let service = service();
    let failed = Outcome::Failed { bytes: 0 };
    let mut near = 0;
    for step in 0..100 {
        let now = at(step * 10);
        let hop = steer.route(now, &ask(&service, full(6, 9), &[])).unwrap();
        if domain_of(&hop) == "sapporo-b" {
            near += 1;
            steer.record_outcome(now, &service, &hop, failed);
        }
    }
    assert!((2..=4).contains(&near), "{near} requests to a dead domain");
}
