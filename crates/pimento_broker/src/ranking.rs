//! The order in which a request tries the shards of its service.

use pimento_core::hash;
use std::{cmp::Ordering, sync::Arc};

/// A group of a service's targets in one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Shard {
    /// The failure domain of the targets.
    pub domain: Arc<str>,
    /// The index among the service's shards in the failure domain.
    pub index: u32,
    /// The region that contains the failure domain.
    pub region: Arc<str>,
    /// The total slots of its targets.
    pub slots: u32,
    /// The hashes of its targets' incarnations, in no order.
    pub targets: Arc<[u64]>,
}

/// The region in which a request arrived.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// The name of the region.
    pub region: &'a str,
    /// The number of all regions, with and without targets.
    pub region_count: usize,
}

/// The share of its slots that a region is planned to use when all slots
/// together are in use. Below 1, a region keeps more of its own requests, whose
/// responses then cross no link between regions.
const PLANNED_UTILIZATION: f64 = 0.8;

/// The weight of a remote region without spare slots, so that it is tried last
/// but not left out.
const MIN_REMOTE_WEIGHT: f64 = 0.01;

/// Makes the hash that decides between local and remote shards independent of
/// the hash that scores shards.
const LOCALITY_SALT: u64 = 0x6b65_6570;

/// Ranks shards for a request by weighted rendezvous hashing of its affinity
/// key over their targets, local shards or remote shards first.
///
/// A shard ranks by its best target, which is also the one that its broker
/// prefers for the key. So a key keeps its target when the targets of a failure
/// domain are split into more shards, and a new target takes over only the keys
/// that it is best for.
///
/// Regions may have equal numbers of callers but unequal numbers of targets. A
/// region keeps the share of its requests that its slots can carry; the rest
/// goes to regions with spare slots. A hash of the affinity key decides which
/// requests stay, so the same key reaches the same targets and the shares don't
/// depend on the current load: if a region filled its own targets first,
/// its callers would switch regions with every load swing.
///
/// All failure domains of a region share its affinity keys, since targets
/// answer faster for keys that they have recently served.
pub fn rank_shards(shards: &[Shard], origin: Origin<'_>, affinity: u64) -> Vec<Shard> {
    let total: u32 = shards.iter().map(|s| s.slots).sum();
    let fair_share =
        (f64::from(total) * PLANNED_UTILIZATION / origin.region_count.max(1) as f64).max(1.0);
    let local_slots = region_slots(shards, origin.region);
    let stays_local =
        hash::unit_interval(affinity, LOCALITY_SALT) < f64::from(local_slots) / fair_share;
    let mut ranked: Vec<_> = shards
        .iter()
        .filter(|s| s.slots > 0)
        .map(|s| {
            let is_local = *s.region == *origin.region;
            let weight = if is_local {
                f64::from(s.slots)
            } else {
                surplus_slots(shards, s, fair_share).max(MIN_REMOTE_WEIGHT)
            };
            (
                is_local != stays_local,
                rendezvous_score(affinity, s, weight),
                s,
            )
        })
        .collect();
    ranked.sort_by(|a, b| {
        let by_score = b.1.partial_cmp(&a.1).unwrap_or(Ordering::Equal);
        a.0.cmp(&b.0).then(by_score)
    });
    ranked.into_iter().map(|(.., s)| s.clone()).collect()
}

fn region_slots(shards: &[Shard], region: &str) -> u32 {
    let regional = shards.iter().filter(|s| *s.region == *region);
    regional.map(|s| s.slots).sum()
}

/// A shard's portion of the slots that its region has beyond a fair share.
fn surplus_slots(shards: &[Shard], shard: &Shard, fair_share: f64) -> f64 {
    let slots = f64::from(region_slots(shards, &shard.region));
    let spare = (slots - fair_share).max(0.0);
    f64::from(shard.slots) * spare / slots.max(1.0)
}

/// Weighted rendezvous hashing: the shard of the target with the highest score
/// is chosen in proportion to its weight, and adding or removing a target moves
/// only the requests that it gains or loses.
fn rendezvous_score(affinity: u64, shard: &Shard, weight: f64) -> f64 {
    let targets = shard.targets.iter();
    let uniform = targets.map(|target| hash::unit_interval(affinity, *target));
    let best = uniform.fold(f64::MIN_POSITIVE, f64::max);
    let target_weight = weight / shard.targets.len().max(1) as f64;
    -target_weight / best.ln()
}
