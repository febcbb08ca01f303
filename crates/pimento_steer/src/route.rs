//! Routing: where an entry VM sends a request.

use crate::{
    EntryVm, Steering, SteeringConfig,
    destination::{Destination, RemainingHeadroom},
    view,
};
use pimento_admit::Headroom;
use pimento_core::prelude::*;
use rand::Rng;
use std::net::SocketAddr;

/// Who sent the request to this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// An entry VM of the same failure domain. It chose this VM for its
    /// targets, so the request is not forwarded again.
    Peer,
    /// An entry VM of another failure domain. The request is not forwarded to
    /// yet another domain.
    Domain,
}

/// A request to be routed.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// The service that the request is for.
    pub service: &'a ServiceId,
    /// The priority class of the request.
    pub class: Class,
    /// Who sent the request to this VM.
    pub origin: Origin,
    /// Entry VMs that already had an attempt of this request.
    pub tried: &'a [VmId],
    /// The exact headroom of this VM itself.
    pub local: Headroom,
}

/// Where a request is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Hop {
    /// To a target whose lease this VM holds.
    Local,
    /// To another entry VM. The caller must report the outcome with
    /// [`Steering::record_outcome`].
    Vm {
        /// The name of the VM.
        vm: VmId,
        /// The VM's address for forwarded requests.
        address: SocketAddr,
        /// The VM's failure domain.
        domain: DomainId,
        /// The bytes that are reserved on the link to the VM's region.
        reserved_bytes: u64,
    },
}

/// How a request ended that was forwarded to another VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A complete response was received.
    Answered {
        /// The size of the response.
        bytes: u64,
    },
    /// The VM refused the request before it reached any target.
    Refused,
    /// No complete response was received.
    Failed {
        /// The bytes that were received.
        bytes: u64,
    },
}

/// A possible destination of a request.
#[derive(Clone, Debug)]
struct Choice {
    /// The index of the peer or failure domain in the view.
    index: usize,
    cost: f64,
    remaining: RemainingHeadroom,
}

/// The rate of requests that the targets can serve, per second.
fn service_rate(headroom: Headroom, config: &SteeringConfig) -> f64 {
    let measured = Duration::from_micros(headroom.latency_us);
    let latency = if measured.is_zero() {
        config.initial_latency
    } else {
        measured
    };
    f64::from(headroom.slots) / latency.as_secs_f64()
}

impl Steering {
    /// Chooses where a request is sent, and reserves what it will use there.
    ///
    /// Returns `None` if there is no suitable destination; the request was not
    /// run.
    pub fn route(&mut self, now: Time, request: &RouteRequest<'_>) -> Option<Hop> {
        let local = self.local_headroom(request);
        if request.origin == Origin::Peer {
            return local.map(|_| Hop::Local);
        }
        let max_cost = local.map_or(f64::INFINITY, |remaining| self.cost_threshold(&remaining));
        let peer = self.best_peer(now, request);
        let peer = peer.filter(|peer| peer.cost < max_cost);
        let near_cost = peer.as_ref().map_or(max_cost, |peer| peer.cost);
        let has_no_slot = |remaining: &RemainingHeadroom| remaining.free < 1.0;
        let is_full = match &peer {
            Some(peer) => has_no_slot(&peer.remaining),
            None => local.as_ref().is_none_or(has_no_slot),
        };
        if is_full
            && request.origin == Origin::Caller
            && let Some(hop) = self.spill(now, request, near_cost)
        {
            return Some(hop);
        }
        match peer {
            Some(peer) => Some(self.send_to_peer(now, request, peer.index)),
            None => local.map(|_| Hop::Local),
        }
    }

    /// The cost below which another VM is better than this one. While this VM
    /// has a free slot, another one must be much faster to be chosen.
    fn cost_threshold(&self, local: &RemainingHeadroom) -> f64 {
        let cost = local.cost(Duration::ZERO);
        if local.free >= 1.0 {
            cost * self.config.latency_ratio
        } else {
            cost
        }
    }

    /// The headroom of this VM, if the request may use it.
    fn local_headroom(&self, request: &RouteRequest<'_>) -> Option<RemainingHeadroom> {
        let is_usable = request.local.slots > 0 && !request.tried.contains(&self.location.vm);
        is_usable.then(|| RemainingHeadroom::exact(request.local))
    }

    /// The better of two random peers that hold targets of the service (power
    /// of two choices).
    fn best_peer(&mut self, now: Time, request: &RouteRequest<'_>) -> Option<Choice> {
        let rtt = self.config.peer_rtt;
        let peers = self.view.peers.iter().enumerate();
        let suitable: Vec<usize> = peers
            .filter(|(_, peer)| {
                let is_other = peer.entry.vm != self.location.vm && !peer.stopping;
                let headroom = view::headroom_of(&peer.services, request.service);
                let has_targets = headroom.slots > 0 && !request.tried.contains(&peer.entry.vm);
                is_other && has_targets && !self.is_paused(now, &peer.entry.vm, request.service)
            })
            .map(|(i, _)| i)
            .collect();
        let choices = self.pick_two(&suitable).into_iter().flatten().map(|index| {
            let peer = &self.view.peers[index];
            let headroom = view::headroom_of(&peer.services, request.service);
            let remaining = self.remaining(
                now,
                &peer.entry.vm,
                request.service,
                peer.received_at,
                rtt,
                headroom,
            );
            // The round trip is counted twice, so that small gains move no
            // requests.
            let cost = remaining.cost(rtt * 2);
            Choice {
                index,
                cost,
                remaining,
            }
        });
        choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Two different random items of a list, or as many as there are.
    fn pick_two(&mut self, list: &[usize]) -> [Option<usize>; 2] {
        if list.len() < 2 {
            return [list.first().copied(), None];
        }
        let a = self.rng.random_range(0..list.len());
        let b = (a + self.rng.random_range(1..list.len())) % list.len();
        [Some(list[a]), Some(list[b])]
    }

    /// The remaining headroom of a destination, less what this VM has sent
    /// there.
    fn remaining(
        &self,
        now: Time,
        destination: &str,
        service: &ServiceId,
        received_at: Time,
        rtt: Duration,
        headroom: Headroom,
    ) -> RemainingHeadroom {
        let empty = Destination::new(now, destination, service, 0.0);
        let found = self.find_destination(destination, service);
        let destination = found.map_or(&empty, |i| &self.destinations[i]);
        destination.remaining(now, received_at, rtt, headroom, &self.config)
    }

    fn find_destination(&self, destination: &str, service: &ServiceId) -> Result<usize, usize> {
        let key = (destination, service);
        self.destinations
            .binary_search_by(|d| (d.name.as_str(), &d.service).cmp(&key))
    }

    /// Whether a destination is paused after failures.
    fn is_paused(&self, now: Time, destination: &str, service: &ServiceId) -> bool {
        let found = self.find_destination(destination, service);
        found.is_ok_and(|i| self.destinations[i].is_paused(now))
    }

    /// The record of a destination, created if it doesn't exist.
    fn destination_mut(
        &mut self,
        now: Time,
        name: &str,
        service: &ServiceId,
        floor: f64,
    ) -> &mut Destination {
        let i = match self.find_destination(name, service) {
            Ok(i) => i,
            Err(i) => {
                let destination = Destination::new(now, name, service, floor);
                self.destinations.insert(i, destination);
                i
            }
        };
        &mut self.destinations[i]
    }

    fn send_to_peer(&mut self, now: Time, request: &RouteRequest<'_>, index: usize) -> Hop {
        let EntryVm {
            vm, forward_addr, ..
        } = self.view.peers[index].entry.clone();
        self.destination_mut(now, &vm, request.service, 0.0)
            .record_start(now);
        let domain = self.location.domain.clone();
        Hop::Vm {
            vm,
            address: forward_addr,
            domain,
            reserved_bytes: 0,
        }
    }

    /// Spills a request over to another failure domain that promises an earlier
    /// response, preferably of the same region.
    fn spill(&mut self, now: Time, request: &RouteRequest<'_>, max_cost: f64) -> Option<Hop> {
        let (nearby, distant): (Vec<usize>, Vec<usize>) = (0..self.view.domains.len())
            .filter(|i| self.accepts_spill(now, request, *i))
            .partition(|i| {
                let domain = &self.view.domains[*i].domain;
                self.region_of(domain) == Some(&self.location.region)
            });
        let hop = self.spill_to(now, request, &nearby, max_cost);
        // Background requests only use spare slots of the same region, so that
        // they never use the bandwidth of a link between regions.
        if hop.is_some() || request.class == Class::Background {
            return hop;
        }
        self.spill_to(now, request, &distant, max_cost)
    }

    /// Whether a request may spill over to a failure domain.
    fn accepts_spill(&self, now: Time, request: &RouteRequest<'_>, i: usize) -> bool {
        let summary = &self.view.domains[i];
        if self.is_paused(now, &summary.domain, request.service) {
            return false;
        }
        let untried = |entry: &EntryVm| !request.tried.contains(&entry.vm);
        view::headroom_of(&summary.services, request.service).slots > 0
            && summary.entries.iter().any(untried)
    }

    /// Spills a request over to the better of two random failure domains.
    fn spill_to(
        &mut self,
        now: Time,
        request: &RouteRequest<'_>,
        list: &[usize],
        max_cost: f64,
    ) -> Option<Hop> {
        let choices = self.pick_two(list).into_iter().flatten().map(|index| {
            let summary = &self.view.domains[index];
            let headroom = view::headroom_of(&summary.services, request.service);
            let rtt = self.rtt(&summary.domain);
            let domain = &summary.domain;
            let remaining = self.remaining(
                now,
                domain,
                request.service,
                summary.received_at,
                rtt,
                headroom,
            );
            // The round trip is counted twice, so that small gains move no
            // requests.
            let cost = remaining.cost(rtt * 2);
            Choice {
                index,
                cost,
                remaining,
            }
        });
        let service = self.service_rule(request.service);
        let repeatable = service.is_some_and(|service| service.repeatable);
        let promising = choices.filter(|choice| {
            let age = now.since(self.view.domains[choice.index].received_at);
            // If the headroom is outdated, a few requests probe the domain,
            // since it refuses what it can't serve. If the domain is down, it
            // stays unknown whether they ran, so they must be repeatable. And
            // if this VM can't serve the request at all, a full domain is
            // better than none.
            let is_probe = repeatable && age > self.config.headroom_ttl;
            let ignores_free = is_probe || max_cost.is_infinite();
            (choice.remaining.free >= 1.0 || ignores_free) && choice.cost < max_cost
        });
        let best = promising.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        self.send_to_domain(now, request, best.index)
    }

    fn send_to_domain(
        &mut self,
        now: Time,
        request: &RouteRequest<'_>,
        index: usize,
    ) -> Option<Hop> {
        let summary = &self.view.domains[index];
        let domain = summary.domain.clone();
        let headroom = view::headroom_of(&summary.services, request.service);
        let untried = summary
            .entries
            .iter()
            .filter(|e| !request.tried.contains(&e.vm));
        let entries: Vec<EntryVm> = untried.cloned().collect();
        let entry = &entries[self.rng.random_range(0..entries.len())];
        let config = self.config.clone();
        let floor = config.spill_floor * service_rate(headroom, &config);
        let destination = self.destination_mut(now, &domain, request.service, floor);
        if !destination.spillover.allows(now, floor, &config) {
            return None;
        }
        let reserved_bytes = self.reserve_link(now, &domain, request.service)?;
        let destination = self.destination_mut(now, &domain, request.service, floor);
        destination.record_start(now);
        Some(Hop::Vm {
            vm: entry.vm.clone(),
            address: entry.forward_addr,
            domain,
            reserved_bytes,
        })
    }

    /// Reserves the bytes of a response. No reservation is needed within the
    /// region.
    fn reserve_link(&mut self, now: Time, domain: &str, service: &ServiceId) -> Option<u64> {
        let region = self.region_of(domain)?.clone();
        if region == self.location.region {
            return Some(0);
        }
        let found = self.budgets.binary_search_by(|b| b.region.cmp(&region));
        self.budgets[found.ok()?].link.reserve(now, service)
    }

    /// Updates the destination's record and the link budget after a forwarded
    /// request ended.
    pub fn record_outcome(&mut self, now: Time, service: &ServiceId, hop: &Hop, outcome: Outcome) {
        let Hop::Vm {
            vm,
            domain,
            reserved_bytes,
            ..
        } = hop
        else {
            return;
        };
        let is_peer = *domain == self.location.domain;
        let name = if is_peer {
            vm.as_str()
        } else {
            domain.as_str()
        };
        if let Ok(i) = self.find_destination(name, service) {
            self.destinations[i].record_end(now, outcome);
        }
        let bytes = match outcome {
            Outcome::Answered { bytes } | Outcome::Failed { bytes } => bytes,
            Outcome::Refused => 0,
        };
        let Some(region) = self.region_of(domain).cloned() else {
            return;
        };
        let found = self.budgets.binary_search_by(|b| b.region.cmp(&region));
        if let Ok(i) = found {
            let link = &mut self.budgets[i].link;
            link.settle(now, service, *reserved_bytes, bytes);
        }
    }

    /// Records headroom that another VM of the failure domain sent along with a
    /// response. It is newer than the VM's last heartbeat.
    pub fn record_headroom(&mut self, now: Time, vm: &str, service: &str, headroom: Headroom) {
        let peers = self.view.peers.iter_mut();
        let Some(peer) = peers.into_iter().find(|p| p.entry.vm.as_str() == vm) else {
            return;
        };
        let found = peer
            .services
            .binary_search_by(|item| item.service.as_str().cmp(service));
        if let Ok(i) = found {
            peer.services[i].headroom = headroom;
            peer.received_at = now;
        }
    }
}
