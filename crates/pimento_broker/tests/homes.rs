//! How requests of a region are distributed over shards.

mod support;

use pimento_broker::{Shard, rank_shards};
use pimento_core::hash;
use support::{origin, shard};

/// Three regions with one failure domain each. The first has a seventh of the
/// targets and a third of the callers.
fn uneven_regions() -> Vec<Shard> {
    vec![shard(0, 0, 2, 6), shard(1, 1, 6, 6), shard(2, 2, 6, 6)]
}

/// The share of a region's requests that try a failure domain first.
fn first_share(shards: &[Shard], region: &str, domain: &str) -> f64 {
    let ranked = |key: u64| rank_shards(shards, origin(region, 3), hash::mix(key));
    let first_there = (0..10_000).filter(|key| *ranked(*key)[0].domain == *domain);
    first_there.count() as f64 / 10_000.0
}

#[test]
fn region_with_spare_slots_keeps_all() {
    assert!(first_share(&uneven_regions(), "r1", "d1") > 0.999);
}

#[test]
fn small_region_keeps_its_share() {
    let shards = uneven_regions();
    let kept = first_share(&shards, "r0", "d0");
    assert!((0.4..0.6).contains(&kept), "{kept}");
    let (first, second) = (
        first_share(&shards, "r0", "d1"),
        first_share(&shards, "r0", "d2"),
    );
    assert!((first - second).abs() < 0.03, "{first} {second}");
}

#[test]
fn lost_target_moves_few_keys() {
    let shards = uneven_regions();
    let mut fewer = shards.clone();
    fewer[1].slots -= 6;
    let moved = (0..10_000).filter(|key| {
        let key = hash::mix(*key);
        let before = rank_shards(&shards, origin("r0", 3), key);
        let after = rank_shards(&fewer, origin("r0", 3), key);
        before[0].domain != after[0].domain
    });
    // One of fourteen targets is gone.
    assert!(moved.count() < 1_000);
}

#[test]
fn each_domain_is_ranked_once() {
    for key in 0..100 {
        let mut names: Vec<_> = rank_shards(&uneven_regions(), origin("r0", 3), hash::mix(key))
            .into_iter()
            .map(|s| s.domain)
            .collect();
        names.sort();
        assert_eq!(names.len(), 3);
        names.dedup();
        assert_eq!(names.len(), 3);
    }
}
