//! Which failure domains a request tries.

use pimento_core::hash;
use std::{cmp::Ordering, sync::Arc};

/// A shard of the targets that a service has in a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Shard {
    /// The failure domain.
    pub domain: Arc<str>,
    /// The number of the shard.
    pub index: u32,
    /// Its region.
    pub region: Arc<str>,
    /// The places on its targets.
    pub slots: u32,
}

/// Where a request came in.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// The region.
    pub region: &'a str,
    /// The number of all regions, with and without targets.
    pub region_count: usize,
}

/// The part of its places that a region is planned to use when all places
/// together are used up: below one, it keeps more of its own requests, whose
/// answers then pass no link between regions.
const FILL: f64 = 0.8;

/// The weight of a region without more than its part, which comes last.
const LEFTOVER: f64 = 0.01;

/// Sets the choice of keeping and passing on off from that of a domain.
const KEEP: u64 = 0x6b65_6570;

/// Orders shards for a request that came in at a failure domain.
///
/// The load that it answers: regions with equal numbers of callers and unequal
/// numbers of targets. A region keeps what its part of all places can carry;
/// the rest goes to the regions that have more than their part. What decides is
/// a hash of what the request is about, so the same object meets the same
/// targets, and the shares stay put while the load swings: if a region filled
/// up first, its callers would change regions with every swing.
///
/// The domains of a region share its objects, since targets answer faster what
/// they have seen.
pub fn rank_shards(places: &[Shard], origin: Origin<'_>, object: u64) -> Vec<Shard> {
    let total: u32 = places.iter().map(|p| p.slots).sum();
    let fair = (f64::from(total) * FILL / origin.region_count.max(1) as f64).max(1.0);
    let own = region_slots(places, origin.region);
    let stays = hash::unit(object, KEEP) < f64::from(own) / fair;
    let mut ranked: Vec<_> = places
        .iter()
        .filter(|p| p.slots > 0)
        .map(|p| {
            let home = *p.region == *origin.region;
            let weight = if home {
                f64::from(p.slots)
            } else {
                surplus(places, p, fair).max(LEFTOVER)
            };
            (home != stays, score(object, p, weight), p)
        })
        .collect();
    ranked.sort_by(|a, b| {
        let best = b.1.partial_cmp(&a.1).unwrap_or(Ordering::Equal);
        a.0.cmp(&b.0).then(best)
    });
    ranked.into_iter().map(|(.., p)| p.clone()).collect()
}

fn region_slots(places: &[Shard], region: &str) -> u32 {
    let regional = places.iter().filter(|p| *p.region == *region);
    regional.map(|p| p.slots).sum()
}

/// A shard's share of what its region has beyond its part.
fn surplus(places: &[Shard], place: &Shard, fair: f64) -> f64 {
    let slots = f64::from(region_slots(places, &place.region));
    let spare = (slots - fair).max(0.0);
    f64::from(place.slots) * spare / slots.max(1.0)
}

/// Weighted rendezvous hashing: the greatest score is chosen in proportion to
/// the weights, and a domain that comes or goes moves only its own requests.
fn score(object: u64, place: &Shard, weight: f64) -> f64 {
    let parts = [place.domain.as_bytes(), &place.index.to_le_bytes()];
    let lot = hash::unit(object, hash::fnv(parts));
    -weight / lot.max(f64::MIN_POSITIVE).ln()
}
