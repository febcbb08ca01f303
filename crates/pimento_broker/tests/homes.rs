//! How requests of a region are distributed over shards.

mod support;

use pimento_broker::{Shard, rank_shards};
use pimento_core::hash;
use std::sync::Arc;
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
    fewer[1] = shard(1, 1, 5, 6);
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

/// The shards of 40 targets of one failure domain, split by their hashes.
fn split(count: u32) -> Vec<Shard> {
    let all = shard(0, 0, 40, 6);
    let of_shard = |index: u32| -> Arc<[u64]> {
        let is_inside = |t: &u64| hash::mix(*t) % u64::from(count) == u64::from(index);
        all.targets.iter().copied().filter(is_inside).collect()
    };
    let shards = (0..count).map(|index| {
        let targets = of_shard(index);
        Shard {
            index,
            slots: targets.len() as u32 * 6,
            targets,
            ..all.clone()
        }
    });
    shards.collect()
}

/// The target that a key reaches: the best one of the shard that is tried first.
fn home(shards: &[Shard], key: u64) -> u64 {
    let ranked = rank_shards(shards, origin("r0", 1), key);
    let targets = ranked[0].targets.iter().copied();
    targets.max_by_key(|t| hash::mix(key ^ t)).unwrap()
}

// A service that gains targets gets twice as many shards. If its keys then
// changed their targets, all of them would be cold at once.
#[test]
fn split_keeps_homes() {
    let (before, after) = (split(4), split(8));
    let moved = (0..2_000)
        .map(hash::mix)
        .filter(|key| home(&before, *key) != home(&after, *key));
    assert_eq!(moved.count(), 0);
}

#[test]
fn new_target_moves_few_keys() {
    let (before, after) = (vec![shard(0, 0, 40, 6)], vec![shard(0, 0, 41, 6)]);
    let moved = (0..4_000)
        .map(hash::mix)
        .filter(|key| home(&before, *key) != home(&after, *key));
    let moved = moved.count();
    assert!((50..150).contains(&moved), "{moved}, where one in 41 is 98");
}
