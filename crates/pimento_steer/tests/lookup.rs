//! Look-ups return near and stable entry VMs, and never an empty list.

mod common;

use common::*;
use pimento_core::prelude::*;
use pimento_rules::Block;
use pimento_steer::{BlockTable, ClusterView, Steering, SteeringConfig};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

const BLOCKS: u32 = 2_000;

fn ip(block: u32) -> IpAddr {
    Ipv4Addr::from_bits(0x0b00_0000 + (block << 8) + 7).into()
}

/// The first entry VM of each block.
fn first_entries(steering: &Steering, now: Time) -> Vec<SocketAddr> {
    let first = |block| steering.lookup(now, "shifts", ip(block)).entries[0];
    (0..BLOCKS).map(first).collect()
}

fn count_moved(a: &[SocketAddr], b: &[SocketAddr]) -> usize {
    a.iter().zip(b).filter(|(a, b)| a != b).count()
}

#[test]
fn own_domain_first() {
    let steering = steering(at(0), view(at(0), headroom(6, 3), headroom(6, 3)));
    let found = steering.lookup(at(0), "shifts", ip(1));
    assert_eq!((found.version, found.stale), (7, false));
    assert_eq!(found.ttl, Duration::from_secs(2));
    assert_eq!(found.entries.len(), 6);
    let own: Vec<_> = (0..3).map(|n| callers(OWN_DOMAIN, n)).collect();
    assert!(found.entries[..3].iter().all(|e| own.contains(e)));
    let near: Vec<_> = (0..3).map(|n| callers("sapporo-b", n)).collect();
    assert!(near.contains(&found.entries[3]));
}

#[test]
fn block_domain_first() {
    let mut steering = steering(at(0), view(at(0), headroom(6, 3), headroom(6, 3)));
    let block = Block {
        net: "11.0.0.0/8".parse().unwrap(),
        domain: DomainId::new("kushiro-b").unwrap(),
    };
    steering.set_rules(at(0), &rules(), Arc::new(BlockTable::new(&[block])));
    let found = steering.lookup(at(0), "shifts", ip(1));
    let near: Vec<_> = (0..3).map(|n| callers("kushiro-b", n)).collect();
    assert!(found.entries[..3].iter().all(|e| near.contains(e)));
    // If no target is left there, the other domain of its region comes first.
    let mut changed = view(at(10), headroom(6, 3), headroom(6, 3));
    let gone = |s: &&mut pimento_steer::DomainSummary| s.domain.as_str() == "kushiro-b";
    changed.domains.iter_mut().find(gone).unwrap().services = service_headroom(headroom(0, 0));
    steering.set_view(at(10), changed);
    let found = steering.lookup(at(10), "shifts", ip(1));
    let next: Vec<_> = (0..3).map(|n| callers("kushiro-a", n)).collect();
    assert!(next.contains(&found.entries[0]));
}

#[test]
fn lease_holders_first() {
    let mut view = view(at(0), headroom(6, 3), headroom(6, 3));
    view.peers[0].services = service_headroom(headroom(0, 0));
    view.peers[1].stopping = true;
    let steering = steering(at(0), view);
    for block in 0..100 {
        let found = steering.lookup(at(0), "shifts", ip(block)).entries;
        assert_eq!(found[..2], [callers(OWN_DOMAIN, 2), callers(OWN_DOMAIN, 0)]);
        assert!(!found.contains(&callers(OWN_DOMAIN, 1)));
    }
}

#[test]
fn entry_vms_are_stable() {
    let mut first = view(at(0), headroom(6, 3), headroom(6, 3));
    first.peers = (0..10)
        .map(|n| peer(OWN_DOMAIN, n, at(0), headroom(6, 3)))
        .collect();
    let mut steering = steering(at(0), first.clone());
    let before = first_entries(&steering, at(0));
    // If a VM leaves, only its own blocks move.
    first.peers.remove(9);
    steering.set_view(at(10), first.clone());
    let after = first_entries(&steering, at(10));
    let lost = before
        .iter()
        .filter(|e| **e == callers(OWN_DOMAIN, 9))
        .count();
    assert_eq!(count_moved(&before, &after), lost);
    assert!(lost < BLOCKS as usize / 10 * 3 / 2, "{lost}");
    // If a VM holds more slots, blocks move only to that VM.
    first.peers[0].services = service_headroom(headroom(9, 3));
    steering.set_view(at(20), first);
    let heavier = first_entries(&steering, at(20));
    assert!(count_moved(&after, &heavier) < BLOCKS as usize / 10);
    for (old, new) in after.iter().zip(&heavier) {
        assert!(old == new || *new == callers(OWN_DOMAIN, 0));
    }
}

#[test]
fn blocks_move_in_small_steps() {
    let busy = || view(at(0), full_headroom(6, 6), headroom(6, 3));
    let mut steering = steering(at(0), busy());
    let before = first_entries(&steering, at(0));
    let mut last = before.clone();
    for second in 1..=4 {
        steering.set_view(at(second * 1_000), busy());
        let next = first_entries(&steering, at(second * 1_000));
        let share = count_moved(&last, &next);
        assert!(share > 0 && share < BLOCKS as usize * 13 / 100, "{share}");
        last = next;
    }
    // New rules alone move no blocks.
    steering.set_rules(at(4_000), &rules(), Arc::default());
    assert_eq!(count_moved(&last, &first_entries(&steering, at(4_000))), 0);
    // A domain that becomes free gets its blocks back in small steps too.
    steering.set_view(at(5_000), view(at(0), headroom(6, 6), headroom(6, 3)));
    let back = first_entries(&steering, at(5_000));
    assert!(count_moved(&last, &back) < BLOCKS as usize * 13 / 100);
    assert!(count_moved(&before, &back) > BLOCKS as usize / 5);
}

#[test]
fn outdated_view_is_stale() {
    let steering = steering(at(0), view(at(0), headroom(6, 3), headroom(6, 3)));
    let found = steering.lookup(at(60_000), "shifts", ip(1));
    assert!(found.stale);
    assert!(!found.entries.is_empty());
}

fn random_view(rng: &mut SmallRng) -> ClusterView {
    let room = |rng: &mut SmallRng| full_headroom(rng.random_range(0..4), rng.random_range(0..4));
    let mut random = view(at(0), headroom(0, 0), headroom(0, 0));
    random.peers.retain(|_| rng.random_bool(0.4));
    random.domains.retain(|_| rng.random_bool(0.4));
    for peer in &mut random.peers {
        peer.stopping = rng.random_bool(0.5);
        peer.services = service_headroom(room(rng));
    }
    for domain in &mut random.domains {
        domain.entries.retain(|_| rng.random_bool(0.5));
        domain.services = service_headroom(room(rng));
    }
    random
}

fn check_random_views(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut steering = Steering::new(SteeringConfig::default(), location(), seed);
    if rng.random_bool(0.8) {
        steering.set_rules(at(0), &rules(), Arc::default());
    }
    for step in 0..20 {
        let now = at(step * 500);
        let view = random_view(&mut rng);
        let entry_count =
            view.peers.len() + view.domains.iter().map(|d| d.entries.len()).sum::<usize>();
        steering.set_view(now, view);
        let found = steering.lookup(now, "shifts", ip(rng.random_range(0..BLOCKS)));
        assert_eq!(found.entries.is_empty(), entry_count == 0);
        let mut unique = found.entries.clone();
        unique.sort();
        unique.dedup();
        assert_eq!(unique.len(), found.entries.len());
    }
}

#[test]
fn lookup_never_empty() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(200)
        .for_each(|seed| check_random_views(*seed));
}
