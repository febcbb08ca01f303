//! Which failure domains a request tries.

use pimento_core::hash;
use std::{cmp::Ordering, sync::Arc};

/// A failure domain with targets of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The failure domain.
    pub domain: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// The places on its targets.
    pub slots: u32,
}

/// Orders failure domains for a request that came in at a region.
///
/// The load that it answers: regions with equal numbers of callers and unequal
/// numbers of targets. A region keeps what its part of all places can carry;
/// the rest goes to the regions that have more than their part. What decides is
/// a hash of what the request is about, so the same object meets the same
/// targets, and the shares stay put while the load swings: if a region filled
/// up first, its callers would change regions with every swing.
pub fn order(places: &[Place], region: &str, regions: usize, object: u64) -> Vec<Place> {
    let total: u32 = places.iter().map(|p| p.slots).sum();
    let own: u32 = places
        .iter()
        .filter(|p| *p.region == *region)
        .map(|p| p.slots)
        .sum();
    let fair = f64::from(total) * FILL / regions.max(1) as f64;
    let kept = f64::from(own) / fair.max(1.0);
    let stays = hash::unit(object, STAY) < kept;
    let surplus = |p: &Place| {
        let same = places.iter().filter(|other| other.region == p.region);
        let slots: u32 = same.map(|other| other.slots).sum();
        (f64::from(slots) - fair).max(0.0) / f64::from(slots.max(1))
    };
    let mut ranked: Vec<_> = places
        .iter()
        .filter(|p| p.slots > 0)
        .map(|p| {
            let home = *p.region == *region;
            let share = if home { 1.0 } else { surplus(p) };
            let first = home == stays && share > 0.0;
            let weight = f64::from(p.slots) * share.max(LEFTOVER);
            (first, home, score(object, &p.domain, weight), p)
        })
        .collect();
    ranked.sort_by(|a, b| {
        let first = b.0.cmp(&a.0).then(b.1.cmp(&a.1));
        first.then(b.2.partial_cmp(&a.2).unwrap_or(Ordering::Equal))
    });
    ranked.into_iter().map(|(.., p)| p.clone()).collect()
}

/// The part of its places that a region is planned to use when all places
/// together are used up: below one, it keeps more of its own requests, whose
/// answers then pass no link between regions.
const FILL: f64 = 0.8;

/// The weight of a region without more than its part, which comes last.
const LEFTOVER: f64 = 0.01;

/// Sets the choice between staying and leaving off from the choice of a domain.
const STAY: u64 = 0x7374_6179;

/// Weighted rendezvous hashing: the greatest score is chosen in proportion to
/// the weights, and a domain that comes or goes moves only its own requests.
fn score(object: u64, domain: &str, weight: f64) -> f64 {
    let lot = hash::unit(object, hash::fnv([domain.as_bytes()]));
    -weight / lot.max(f64::MIN_POSITIVE).ln()
}
