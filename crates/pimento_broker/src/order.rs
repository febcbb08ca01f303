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

/// Where a request came in.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// The failure domain.
    pub domain: &'a str,
    /// Its region.
    pub region: &'a str,
    /// The number of all failure domains, with and without targets.
    pub domains: usize,
    /// The number of all regions.
    pub regions: usize,
    /// Whether requests and answers are large, so that they should pass no
    /// link between failure domains.
    pub large: bool,
}

/// The part of the places that are planned to be used when all of them
/// together are used up: below one, a domain or region keeps more of its own
/// requests, whose answers then pass no link.
const FILL: f64 = 0.8;

/// The places that a failure domain needs to keep large requests to itself:
/// with fewer of them, the targets that know an object are too often busy.
const OWN_PLACES: u32 = 6;

/// The weight of a region without more than its part, which comes last.
const LEFTOVER: f64 = 0.01;

/// Sets the choices of keeping and passing on off from that of a domain.
const KEEP: u64 = 0x6b65_6570;

/// How far from its callers a request is served; the nearest comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Distance {
    Domain,
    Region,
    Far,
}

/// Orders failure domains for a request that came in at one.
///
/// The load that it answers: regions with equal numbers of callers and unequal
/// numbers of targets. A region keeps what its part of all places can carry;
/// the rest goes to the regions that have more than their part. What decides is
/// a hash of what the request is about, so the same object meets the same
/// targets, and the shares stay put while the load swings: if a region filled
/// up first, its callers would change regions with every swing.
///
/// The domains of a region share its objects, since targets answer faster what
/// they have seen, unless requests are large and the domain has places enough.
pub fn order(places: &[Place], origin: Origin<'_>, object: u64) -> Vec<Place> {
    let total: u32 = places.iter().map(|p| p.slots).sum();
    let part = |count: usize| (f64::from(total) * FILL / count.max(1) as f64).max(1.0);
    let fair = Fair {
        domain: part(origin.domains),
        region: part(origin.regions),
    };
    let first = first_distance(places, origin, fair, object);
    let mut ranked: Vec<_> = places
        .iter()
        .filter(|p| p.slots > 0)
        .map(|p| {
            let distance = distance(p, origin);
            let weight = match distance {
                Distance::Far => surplus(places, p, fair).max(LEFTOVER),
                Distance::Domain | Distance::Region => f64::from(p.slots),
            };
            (rank(distance, first), score(object, &p.domain, weight), p)
        })
        .collect();
    ranked.sort_by(|a, b| {
        let best = b.1.partial_cmp(&a.1).unwrap_or(Ordering::Equal);
        a.0.cmp(&b.0).then(best)
    });
    ranked.into_iter().map(|(.., p)| p.clone()).collect()
}

/// The turn of a domain, by how far the request is served at first.
const fn rank(distance: Distance, first: Distance) -> u8 {
    match (first, distance) {
        (Distance::Domain, distance) => distance as u8,
        (Distance::Region, Distance::Far)
        | (Distance::Far, Distance::Domain | Distance::Region) => 1,
        (Distance::Region | Distance::Far, _) => 0,
    }
}

/// How far from its callers a request is served at first.
fn first_distance(places: &[Place], origin: Origin<'_>, fair: Fair, object: u64) -> Distance {
    let lot = hash::unit(object, KEEP);
    let slots = |inside: fn(Distance) -> bool| -> u32 {
        let own = places.iter().filter(|p| inside(distance(p, origin)));
        own.map(|p| p.slots).sum()
    };
    let own = slots(|d| d == Distance::Domain);
    if origin.large && own >= OWN_PLACES && lot < f64::from(own) / fair.domain {
        return Distance::Domain;
    }
    let regional = slots(|d| d < Distance::Far);
    if lot < f64::from(regional) / fair.region {
        Distance::Region
    } else {
        Distance::Far
    }
}

/// The places of the region of a place beyond its part, as a share of them.
fn surplus(places: &[Place], place: &Place, fair: Fair) -> f64 {
    let regional = places.iter().filter(|p| p.region == place.region);
    let slots: u32 = regional.map(|p| p.slots).sum();
    let spare = (f64::from(slots) - fair.region).max(0.0);
    f64::from(place.slots) * spare / f64::from(slots.max(1))
}

/// The places that a domain and a region would need if all were alike.
#[derive(Clone, Copy, Debug)]
struct Fair {
    domain: f64,
    region: f64,
}

fn distance(place: &Place, origin: Origin<'_>) -> Distance {
    if *place.domain == *origin.domain {
        Distance::Domain
    } else if *place.region == *origin.region {
        Distance::Region
    } else {
        Distance::Far
    }
}
/// Weighted rendezvous hashing: the greatest score is chosen in proportion to
/// the weights, and a domain that comes or goes moves only its own requests.
fn score(object: u64, domain: &str, weight: f64) -> f64 {
    let lot = hash::unit(object, hash::fnv([domain.as_bytes()]));
    -weight / lot.max(f64::MIN_POSITIVE).ln()
}
