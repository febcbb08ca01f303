//! Where the requests of a region go.

mod support;

use pimento_broker::{Shard, rank_shards};
use pimento_core::hash;
use support::{origin, place};

/// Three regions of one failure domain each; the first has a seventh of the
/// targets and a third of the callers.
fn uneven() -> Vec<Shard> {
    vec![place(0, 0, 2, 6), place(1, 1, 6, 6), place(2, 2, 6, 6)]
}

fn share(places: &[Shard], region: &str, domain: &str) -> f64 {
    let first = |object: u64| rank_shards(places, origin(region, 3), hash::mix(object));
    let there = (0..10_000).filter(|o| *first(*o)[0].domain == *domain);
    there.count() as f64 / 10_000.0
}

#[test]
fn rich_region_keeps_all() {
    assert!(share(&uneven(), "r1", "d1") > 0.999);
}

#[test]
fn poor_region_keeps_its_part() {
    let places = uneven();
    let kept = share(&places, "r0", "d0");
    assert!((0.4..0.6).contains(&kept), "{kept}");
    let (one, other) = (share(&places, "r0", "d1"), share(&places, "r0", "d2"));
    assert!((one - other).abs() < 0.03, "{one} {other}");
}

#[test]
fn few_moves() {
    let places = uneven();
    let mut fewer = places.clone();
    fewer[1].slots -= 6;
    let moved = (0..10_000).filter(|object| {
        let object = hash::mix(*object);
        let before = rank_shards(&places, origin("r0", 3), object);
        let after = rank_shards(&fewer, origin("r0", 3), object);
        before[0].domain != after[0].domain
    });
    // One target in fourteen left.
    assert!(moved.count() < 1_000);
}

#[test]
fn every_domain_once() {
    for object in 0..100 {
        let mut names: Vec<_> = rank_shards(&uneven(), origin("r0", 3), hash::mix(object))
            .into_iter()
            .map(|p| p.domain)
            .collect();
        names.sort();
        assert_eq!(names.len(), 3);
        names.dedup();
        assert_eq!(names.len(), 3);
    }
}
