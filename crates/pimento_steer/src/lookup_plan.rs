//! The state that look-ups use, computed once for each new view.

use crate::{ClusterView, EntryVm, SteeringConfig, view};
use pimento_core::hash;
use pimento_core::prelude::*;
use std::net::SocketAddr;

/// Added to the score of a VM without offered slots; larger than any other
/// score.
const NO_SLOTS_PENALTY: f64 = 1e6;

/// An entry VM that look-ups can return.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    hash: u64,
    weight: f64,
    penalty: f64,
    pub(crate) address: SocketAddr,
}

impl Candidate {
    fn new(entry: &EntryVm, slots: u32) -> Self {
        Self {
            hash: hash::mix(hash::fnv([entry.vm.as_bytes()])),
            weight: f64::from(slots.max(1)),
            penalty: if slots == 0 { NO_SLOTS_PENALTY } else { 0.0 },
            address: entry.caller_addr,
        }
    }

    /// The score for a block; the lowest one wins. This is weighted rendezvous
    /// hashing, so a change of one VM only moves blocks to or from that VM.
    pub(crate) fn score(&self, block: u64) -> f64 {
        let unit = hash::unit_interval(block, self.hash).max(f64::MIN_POSITIVE);
        self.penalty - unit.ln() / self.weight
    }
}

/// The state of a failure domain for one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct DomainState {
    /// Whether its targets offer slots.
    pub(crate) has_slots: bool,
    /// The share of its blocks that it keeps.
    pub(crate) kept_share: f64,
    /// Until when its headroom is valid.
    pub(crate) valid_until: Time,
    pub(crate) candidates: Vec<Candidate>,
}

/// The state of all failure domains for one service, in the order of the plan's
/// domains.
#[derive(Clone, Debug)]
struct ServiceStates {
    service: ServiceId,
    states: Vec<DomainState>,
}

/// The state that look-ups need, derived from the rules and the view.
#[derive(Clone, Debug, Default)]
pub(crate) struct LookupPlan {
    /// All failure domains, sorted by name, each with the hash of its name.
    domains: Vec<(DomainId, u64)>,
    /// For the callers of each domain, the indexes of all domains in groups of
    /// equal distance, nearest first.
    distance_groups: Vec<Vec<Vec<u16>>>,
    /// For each domain that the block table refers to, its index in `domains`.
    block_domains: Vec<usize>,
    /// The index of this VM's own domain.
    own_index: usize,
    /// Sorted by name.
    services: Vec<ServiceStates>,
    /// The state of the domains for services without headroom anywhere.
    default_states: Vec<DomainState>,
}

impl LookupPlan {
    /// Sets the failure domains. `distance(a, b)` is the distance of domain `b`
    /// for callers of domain `a`.
    pub(crate) fn set_domains(
        &mut self,
        mut names: Vec<DomainId>,
        distance: impl Fn(&DomainId, &DomainId) -> (bool, bool, Duration),
    ) {
        names.sort_unstable();
        names.dedup();
        if !self.has_domains(&names) {
            // The kept shares are stored by domain index, so they are no longer
            // valid.
            self.services.clear();
            self.default_states.clear();
        }
        let groups = |preferred: &DomainId| {
            let ranked = names.iter().enumerate();
            let mut ranked: Vec<_> = ranked
                .map(|(i, d)| (distance(preferred, d), i as u16))
                .collect();
            ranked.sort_unstable();
            let groups = ranked.chunk_by(|a, b| a.0 == b.0);
            groups.map(|g| g.iter().map(|r| r.1).collect()).collect()
        };
        self.distance_groups = names.iter().map(groups).collect();
        let hashed = names.into_iter().map(|name| {
            let hash = hash::mix(hash::fnv([name.as_bytes()]));
            (name, hash)
        });
        self.domains = hashed.collect();
    }

    /// Whether the plan has exactly these failure domains.
    pub(crate) fn has_domains(&self, names: &[DomainId]) -> bool {
        let is_known = |name: &DomainId| self.find_domain(name).is_some();
        self.domains.len() == names.len() && names.iter().all(is_known)
    }

    /// Sets the domains that the block table refers to. Unknown ones are mapped
    /// to this VM's own domain.
    pub(crate) fn set_block_domains(&mut self, own_domain: &str, domains: &[DomainId]) {
        self.own_index = self.find_domain(own_domain).unwrap_or(0);
        let index = |domain: &DomainId| self.find_domain(domain).unwrap_or(self.own_index);
        self.block_domains = domains.iter().map(index).collect();
    }

    /// The index of a domain that the block table refers to.
    pub(crate) fn block_domain(&self, index: u16) -> usize {
        let found = self.block_domains.get(usize::from(index));
        found.copied().unwrap_or(self.own_index)
    }

    pub(crate) fn own_index(&self) -> usize {
        self.own_index
    }

    /// The index of a failure domain.
    fn find_domain(&self, domain: &str) -> Option<usize> {
        let found = self.domains.binary_search_by(|d| d.0.as_str().cmp(domain));
        found.ok()
    }

    /// The state of all failure domains for a service.
    pub(crate) fn states(&self, service: &str) -> &[DomainState] {
        let found = self
            .services
            .binary_search_by(|s| s.service.as_str().cmp(service));
        found.map_or(&self.default_states, |i| &self.services[i].states)
    }

    /// Applies a new view. The kept shares change by `step` at most.
    pub(crate) fn set_view<'a>(
        &mut self,
        view: &ClusterView,
        own_domain: &DomainId,
        services: impl Iterator<Item = &'a ServiceId>,
        step: f64,
        config: &SteeringConfig,
    ) {
        let states = |service: &str| {
            let old = self.states(service);
            let domains = self.domains.iter().enumerate();
            let state = |(i, domain): (usize, &(DomainId, u64))| {
                let mut state = domain_state(view, own_domain, &domain.0, service, config);
                let from = old.get(i).map_or(1.0, |old| old.kept_share);
                state.kept_share = from + (state.kept_share - from).clamp(-step, step);
                state
            };
            domains.map(state).collect()
        };
        let all = services.map(|service| ServiceStates {
            service: service.clone(),
            states: states(service),
        });
        let all: Vec<ServiceStates> = all.collect();
        let default_states = states("");
        self.services = all;
        self.default_states = default_states;
    }

    /// The failure domains for callers of the domain `preferred`, nearest
    /// first. The order of equally near domains depends on the block, so that
    /// no domain gets all callers.
    pub(crate) fn domains_by_distance(
        &self,
        preferred: usize,
        block: u64,
    ) -> impl Iterator<Item = usize> + Clone {
        let groups = self
            .distance_groups
            .get(preferred)
            .map_or(&[][..], Vec::as_slice);
        groups.iter().flat_map(move |group| {
            let shift = (block % group.len() as u64) as usize;
            let (front, back) = group.split_at(shift);
            let rotated = back.iter().chain(front);
            rotated.map(|i| usize::from(*i))
        })
    }

    /// Whether a block currently stays with a failure domain.
    pub(crate) fn keeps_block(&self, domain: usize, state: &DomainState, block: u64) -> bool {
        state.kept_share >= 1.0
            || hash::unit_interval(block, self.domains[domain].1) < state.kept_share
    }
}

/// The state of a failure domain for one service, with the kept share that its
/// headroom calls for.
fn domain_state(
    view: &ClusterView,
    own_domain: &DomainId,
    domain: &DomainId,
    service: &str,
    config: &SteeringConfig,
) -> DomainState {
    let mut state = DomainState::default();
    let (mut slots, mut free, mut queued) = (0, 0, 0);
    let mut add = |headroom: pimento_admit::Headroom| {
        slots += headroom.slots;
        free += headroom.free;
        queued += headroom.queued;
    };
    if domain == own_domain {
        for peer in &view.peers {
            let headroom = view::headroom_of(&peer.services, service);
            add(headroom);
            state.valid_until = state
                .valid_until
                .max(peer.received_at + config.headroom_ttl);
            if !peer.stopping {
                state
                    .candidates
                    .push(Candidate::new(&peer.entry, headroom.slots));
            }
        }
    }
    for summary in view.domains.iter().filter(|s| s.domain == *domain) {
        add(view::headroom_of(&summary.services, service));
        state.valid_until = state
            .valid_until
            .max(summary.received_at + config.headroom_ttl);
        let candidates = summary.entries.iter().map(|entry| Candidate::new(entry, 1));
        state.candidates.extend(candidates);
    }
    state.has_slots = slots > 0;
    state.kept_share = if free > 0 || queued == 0 {
        1.0
    } else {
        f64::from(slots) / f64::from(slots + queued)
    };
    state
}
