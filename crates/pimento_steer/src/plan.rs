//! What look-ups need, worked out once for each view.

use crate::{ClusterView, EntryVm, SteeringConfig, view};
use pimento_core::hash;
use pimento_core::prelude::*;
use std::net::SocketAddr;

/// Added to the score of a VM that holds no targets; above any other score.
const NO_SLOTS: f64 = 1e6;

/// An entry VM as look-ups weigh it.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    hash: u64,
    weight: f64,
    base: f64,
    pub(crate) address: SocketAddr,
}

impl Candidate {
    fn new(entry: &EntryVm, slots: u32) -> Self {
        Self {
            hash: hash::mix(hash::fnv([entry.vm.as_bytes()])),
            weight: f64::from(slots.max(1)),
            base: if slots == 0 { NO_SLOTS } else { 0.0 },
            address: entry.caller_addr,
        }
    }

    /// The score for a block; the lowest one is the best (weighted rendezvous
    /// hashing, so that a VM's change moves only blocks to or from it).
    pub(crate) fn score(&self, block: u64) -> f64 {
        let unit = hash::unit(block, self.hash).max(f64::MIN_POSITIVE);
        self.base - unit.ln() / self.weight
    }
}

/// A failure domain as look-ups for one service see it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Spot {
    /// Whether its targets offer slots.
    pub(crate) can: bool,
    /// The share of its blocks that stay there.
    pub(crate) keep: f64,
    /// The end of the time for which its headroom counts.
    pub(crate) until: Time,
    pub(crate) candidates: Vec<Candidate>,
}

/// The failure domains of one service, in the order of the plan.
#[derive(Clone, Debug)]
struct Spots {
    service: ServiceId,
    spots: Vec<Spot>,
}

/// What look-ups need of the rules and the view.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan {
    /// All failure domains by name, each with the hash of its name.
    domains: Vec<(DomainId, u64)>,
    /// For callers of each domain, the others in groups that are equally near.
    orders: Vec<Vec<Vec<u16>>>,
    /// The places of the domains that the block table refers to.
    homes: Vec<usize>,
    /// The place of the own domain.
    own: usize,
    /// Services by name.
    services: Vec<Spots>,
    /// For services without headroom anywhere.
    none: Vec<Spot>,
}

impl Plan {
    /// Sorts the failure domains; `distance` ranks the second for the first.
    pub(crate) fn set_domains(
        &mut self,
        mut names: Vec<DomainId>,
        distance: impl Fn(&DomainId, &DomainId) -> (bool, bool, Duration),
    ) {
        names.sort_unstable();
        names.dedup();
        if !self.has(&names) {
            // The shares of kept blocks are listed by domain.
            self.services.clear();
            self.none.clear();
        }
        let order = |home: &DomainId| {
            let ranked = names.iter().enumerate();
            let mut ranked: Vec<_> = ranked.map(|(i, d)| (distance(home, d), i as u16)).collect();
            ranked.sort_unstable();
            let groups = ranked.chunk_by(|a, b| a.0 == b.0);
            groups.map(|g| g.iter().map(|r| r.1).collect()).collect()
        };
        self.orders = names.iter().map(order).collect();
        let hashed = names.into_iter().map(|name| {
            let hash = hash::mix(hash::fnv([name.as_bytes()]));
            (name, hash)
        });
        self.domains = hashed.collect();
    }

    /// Whether the plan has exactly these failure domains.
    pub(crate) fn has(&self, names: &[DomainId]) -> bool {
        let known = |name: &DomainId| self.find(name).is_some();
        self.domains.len() == names.len() && names.iter().all(known)
    }

    /// Takes over the domains that the block table refers to; unknown ones
    /// count as the own one.
    pub(crate) fn set_homes(&mut self, own: &str, domains: &[DomainId]) {
        self.own = self.find(own).unwrap_or(0);
        let place = |domain: &DomainId| self.find(domain).unwrap_or(self.own);
        self.homes = domains.iter().map(place).collect();
    }

    /// The place of a domain that the block table refers to.
    pub(crate) fn home(&self, index: u16) -> usize {
        let found = self.homes.get(usize::from(index));
        found.copied().unwrap_or(self.own)
    }

    /// The place of the own domain.
    pub(crate) fn own(&self) -> usize {
        self.own
    }

    /// The place of a failure domain.
    fn find(&self, domain: &str) -> Option<usize> {
        let found = self.domains.binary_search_by(|d| d.0.as_str().cmp(domain));
        found.ok()
    }

    /// The failure domains of a service.
    pub(crate) fn spots(&self, service: &str) -> &[Spot] {
        let found = self
            .services
            .binary_search_by(|s| s.service.as_str().cmp(service));
        found.map_or(&self.none, |i| &self.services[i].spots)
    }

    /// Takes over a view; the shares of kept blocks move by `step` at most.
    pub(crate) fn set_view<'a>(
        &mut self,
        view: &ClusterView,
        own: &DomainId,
        services: impl Iterator<Item = &'a ServiceId>,
        step: f64,
        config: &SteeringConfig,
    ) {
        let spots = |service: &str| {
            let old = self.spots(service);
            let domains = self.domains.iter().enumerate();
            let spot = |(i, domain): (usize, &(DomainId, u64))| {
                let mut spot = spot(view, own, &domain.0, service, config);
                let from = old.get(i).map_or(1.0, |old| old.keep);
                spot.keep = from + (spot.keep - from).clamp(-step, step);
                spot
            };
            domains.map(spot).collect()
        };
        let all = services.map(|service| Spots {
            service: service.clone(),
            spots: spots(service),
        });
        let all: Vec<Spots> = all.collect();
        let none = spots("");
        self.services = all;
        self.none = none;
    }

    /// Failure domains for a caller of `home`, nearest first. Equally near ones
    /// come in an order of the block's own, so that no domain gets all.
    pub(crate) fn order(&self, home: usize, block: u64) -> impl Iterator<Item = usize> + Clone {
        let groups = self.orders.get(home).map_or(&[][..], Vec::as_slice);
        groups.iter().flat_map(move |group| {
            let shift = (block % group.len() as u64) as usize;
            let (front, back) = group.split_at(shift);
            let turned = back.iter().chain(front);
            turned.map(|i| usize::from(*i))
        })
    }

    /// Whether a block stays with a failure domain for now.
    pub(crate) fn stays(&self, domain: usize, spot: &Spot, block: u64) -> bool {
        spot.keep >= 1.0 || hash::unit(block, self.domains[domain].1) < spot.keep
    }
}

/// A failure domain for one service; the share of kept blocks is the one that
/// its headroom asks for.
fn spot(
    view: &ClusterView,
    own: &DomainId,
    domain: &DomainId,
    service: &str,
    config: &SteeringConfig,
) -> Spot {
    let mut spot = Spot::default();
    let (mut slots, mut free, mut queued) = (0, 0, 0);
    let mut add = |room: pimento_admit::Headroom| {
        slots += room.slots;
        free += room.free;
        queued += room.queued;
    };
    if domain == own {
        for peer in &view.peers {
            let room = view::room(&peer.services, service);
            add(room);
            spot.until = spot.until.max(peer.received_at + config.headroom_ttl);
            if !peer.stopping {
                spot.candidates
                    .push(Candidate::new(&peer.entry, room.slots));
            }
        }
    }
    for summary in view.domains.iter().filter(|s| s.domain == *domain) {
        add(view::room(&summary.services, service));
        spot.until = spot.until.max(summary.received_at + config.headroom_ttl);
        let candidates = summary.entries.iter().map(|entry| Candidate::new(entry, 1));
        spot.candidates.extend(candidates);
    }
    spot.can = slots > 0;
    spot.keep = if free > 0 || queued == 0 {
        1.0
    } else {
        f64::from(slots) / f64::from(slots + queued)
    };
    spot
}
