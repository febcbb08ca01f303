//! Where an entry VM passes a request on.

use crate::{
    EntryVm, Steering, SteeringConfig,
    place::{Left, Place},
    view,
};
use pimento_admit::Headroom;
use pimento_core::prelude::*;
use rand::Rng;
use std::net::SocketAddr;

/// Who handed the request to this VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// An entry VM of the same failure domain; it chose this VM for its
    /// targets, so the request goes no further.
    Peer,
    /// An entry VM of another failure domain; the request stays in this one.
    Domain,
}

/// A request that looks for a place.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Its service.
    pub service: &'a ServiceId,
    /// Its class.
    pub class: Class,
    /// Who handed it over.
    pub origin: Origin,
    /// Entry VMs that had an attempt of it.
    pub tried: &'a [VmId],
    /// The exact headroom of this VM itself.
    pub local: Headroom,
}

/// Where a request goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Hop {
    /// To the targets that this VM holds.
    Local,
    /// To another entry VM; [`Steering::record_outcome`] must be told how it ended.
    Vm {
        /// The VM.
        vm: VmId,
        /// Where it takes forwarded requests.
        address: SocketAddr,
        /// Its failure domain.
        domain: DomainId,
        /// The bytes that are reserved on the link to its region.
        reserved_bytes: u64,
    },
}

/// How a request ended that was passed to another VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// An answer came, with this many bytes.
    Answered {
        /// The bytes of the answer.
        bytes: u64,
    },
    /// The VM refused it before any target saw it.
    Refused,
    /// No whole answer came; this many bytes did.
    Failed {
        /// The bytes that came.
        bytes: u64,
    },
}

/// A place that a request might go to.
#[derive(Clone, Debug)]
struct Choice {
    /// Index into the peers or the other domains of the view.
    index: usize,
    cost: f64,
    left: Left,
}

/// The requests a second that a place can answer.
fn rate(room: Headroom, config: &SteeringConfig) -> f64 {
    let known = Duration::from_micros(room.latency_us);
    let latency = if known.is_zero() {
        config.initial_latency
    } else {
        known
    };
    f64::from(room.slots) / latency.as_secs_f64()
}

impl Steering {
    /// Chooses the place for a request, and reserves what it will use there.
    ///
    /// None means that no place is left: the request was not run.
    pub fn route(&mut self, now: Time, ask: &RouteRequest<'_>) -> Option<Hop> {
        let local = self.local(ask);
        if ask.origin == Origin::Peer {
            return local.map(|_| Hop::Local);
        }
        let least = local.map_or(f64::INFINITY, |left| self.threshold(&left));
        let peer = self.best_peer(now, ask);
        let peer = peer.filter(|peer| peer.cost < least);
        let near = peer.as_ref().map_or(least, |peer| peer.cost);
        let waits = |left: &Left| left.free < 1.0;
        let full = match &peer {
            Some(peer) => waits(&peer.left),
            None => local.as_ref().is_none_or(waits),
        };
        if full
            && ask.origin == Origin::Caller
            && let Some(hop) = self.move_away(now, ask, near)
        {
            return Some(hop);
        }
        match peer {
            Some(peer) => Some(self.send_to_peer(now, ask, peer.index)),
            None => local.map(|_| Hop::Local),
        }
    }

    /// The cost below which another place is better than this VM itself. While
    /// a slot is free here, only much slower targets are left behind.
    fn threshold(&self, local: &Left) -> f64 {
        let cost = local.cost(Duration::ZERO);
        if local.free >= 1.0 {
            cost * self.config.latency_ratio
        } else {
            cost
        }
    }

    /// The own headroom, if the request may use it.
    fn local(&self, ask: &RouteRequest<'_>) -> Option<Left> {
        let usable = ask.local.slots > 0 && !ask.tried.contains(&self.home.vm);
        usable.then(|| Left::exact(ask.local))
    }

    /// The better one of two random peers that hold targets of the service.
    fn best_peer(&mut self, now: Time, ask: &RouteRequest<'_>) -> Option<Choice> {
        let trip = self.config.peer_rtt;
        let peers = self.view.peers.iter().enumerate();
        let fit: Vec<usize> = peers
            .filter(|(_, peer)| {
                let other = peer.entry.vm != self.home.vm && !peer.stopping;
                let room = view::room(&peer.services, ask.service);
                let fits = room.slots > 0 && !ask.tried.contains(&peer.entry.vm);
                other && fits && !self.paused(now, &peer.entry.vm, ask.service)
            })
            .map(|(i, _)| i)
            .collect();
        let choices = self.two(&fit).into_iter().flatten().map(|index| {
            let peer = &self.view.peers[index];
            let room = view::room(&peer.services, ask.service);
            let left = self.left(
                now,
                &peer.entry.vm,
                ask.service,
                peer.received_at,
                trip,
                room,
            );
            // The trip counts twice, so that small gains move nothing.
            let cost = left.cost(trip * 2);
            Choice { index, cost, left }
        });
        choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Two different random members of a list, or what there is.
    fn two(&mut self, list: &[usize]) -> [Option<usize>; 2] {
        if list.len() < 2 {
            return [list.first().copied(), None];
        }
        let a = self.rng.random_range(0..list.len());
        let b = (a + self.rng.random_range(1..list.len())) % list.len();
        [Some(list[a]), Some(list[b])]
    }

    /// What is left at a place after what this VM has sent there.
    fn left(
        &self,
        now: Time,
        place: &str,
        service: &ServiceId,
        came: Time,
        trip: Duration,
        room: Headroom,
    ) -> Left {
        let fresh = Place::new(now, place, service, 0.0);
        let found = self.find_place(place, service);
        let place = found.map_or(&fresh, |i| &self.places[i]);
        place.left(now, came, trip, room, &self.config)
    }

    fn find_place(&self, place: &str, service: &ServiceId) -> Result<usize, usize> {
        let key = (place, service);
        self.places
            .binary_search_by(|p| (p.name.as_str(), &p.service).cmp(&key))
    }

    /// Whether a place is left alone after failures.
    fn paused(&self, now: Time, place: &str, service: &ServiceId) -> bool {
        let found = self.find_place(place, service);
        found.is_ok_and(|i| self.places[i].paused(now))
    }

    /// The record of a place, made if it is missing.
    fn place(&mut self, now: Time, name: &str, service: &ServiceId, floor: f64) -> &mut Place {
        let i = match self.find_place(name, service) {
            Ok(i) => i,
            Err(i) => {
                let place = Place::new(now, name, service, floor);
                self.places.insert(i, place);
                i
            }
        };
        &mut self.places[i]
    }

    fn send_to_peer(&mut self, now: Time, ask: &RouteRequest<'_>, index: usize) -> Hop {
        let EntryVm {
            vm, forward_addr, ..
        } = self.view.peers[index].entry.clone();
        self.place(now, &vm, ask.service, 0.0).begin(now);
        let domain = self.home.domain.clone();
        Hop::Vm {
            vm,
            address: forward_addr,
            domain,
            reserved_bytes: 0,
        }
    }

    /// Moves a request to another failure domain that promises an answer
    /// sooner, first in the region, then elsewhere.
    fn move_away(&mut self, now: Time, ask: &RouteRequest<'_>, least: f64) -> Option<Hop> {
        let (near, far): (Vec<usize>, Vec<usize>) = (0..self.view.domains.len())
            .filter(|i| self.fits(now, ask, *i))
            .partition(|i| {
                let domain = &self.view.domains[*i].domain;
                self.region_of(domain) == Some(&self.home.region)
            });
        let hop = self.move_to(now, ask, &near, least);
        // Only spare slots nearby serve background requests, so that they never
        // take bytes of a link between regions.
        if hop.is_some() || ask.class == Class::Background {
            return hop;
        }
        self.move_to(now, ask, &far, least)
    }

    /// Whether a request may move to a failure domain.
    fn fits(&self, now: Time, ask: &RouteRequest<'_>, i: usize) -> bool {
        let summary = &self.view.domains[i];
        if self.paused(now, &summary.domain, ask.service) {
            return false;
        }
        let untried = |entry: &EntryVm| !ask.tried.contains(&entry.vm);
        view::room(&summary.services, ask.service).slots > 0 && summary.entries.iter().any(untried)
    }

    /// Moves a request to the better one of two random failure domains.
    fn move_to(
        &mut self,
        now: Time,
        ask: &RouteRequest<'_>,
        list: &[usize],
        least: f64,
    ) -> Option<Hop> {
        let choices = self.two(list).into_iter().flatten().map(|index| {
            let summary = &self.view.domains[index];
            let room = view::room(&summary.services, ask.service);
            let trip = self.trip(&summary.domain);
            let domain = &summary.domain;
            let left = self.left(now, domain, ask.service, summary.received_at, trip, room);
            // The trip counts twice, so that small gains move nothing.
            let cost = left.cost(trip * 2);
            Choice { index, cost, left }
        });
        let rule = self.service(ask.service);
        let repeatable = rule.is_some_and(|rule| rule.repeatable);
        let spare = choices.filter(|choice| {
            let age = now.since(self.view.domains[choice.index].received_at);
            // Old headroom says nothing: a few requests find out, since the
            // other side refuses what it can't serve; but if it is gone, they
            // end in doubt, so they must be repeatable. And without any place
            // here, a place that is full is better than none.
            let old = repeatable && age > self.config.headroom_ttl;
            let unknown = old || least.is_infinite();
            (choice.left.free >= 1.0 || unknown) && choice.cost < least
        });
        let best = spare.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        self.send_to_domain(now, ask, best.index)
    }

    fn send_to_domain(&mut self, now: Time, ask: &RouteRequest<'_>, index: usize) -> Option<Hop> {
        let summary = &self.view.domains[index];
        let domain = summary.domain.clone();
        let room = view::room(&summary.services, ask.service);
        let untried = summary
            .entries
            .iter()
            .filter(|e| !ask.tried.contains(&e.vm));
        let entries: Vec<EntryVm> = untried.cloned().collect();
        let entry = &entries[self.rng.random_range(0..entries.len())];
        let config = self.config.clone();
        let floor = config.spill_floor * rate(room, &config);
        let place = self.place(now, &domain, ask.service, floor);
        if !place.growth.allows(now, floor, &config) {
            return None;
        }
        let reserved_bytes = self.reserve_link(now, &domain, ask.service)?;
        let place = self.place(now, &domain, ask.service, floor);
        place.begin(now);
        Some(Hop::Vm {
            vm: entry.vm.clone(),
            address: entry.forward_addr,
            domain,
            reserved_bytes,
        })
    }

    /// Reserves the bytes of an answer; none are needed inside the region.
    fn reserve_link(&mut self, now: Time, domain: &str, service: &ServiceId) -> Option<u64> {
        let region = self.region_of(domain)?.clone();
        if region == self.home.region {
            return Some(0);
        }
        let found = self.budgets.binary_search_by(|b| b.region.cmp(&region));
        self.budgets[found.ok()?].link.reserve(now, service)
    }

    /// Corrects the records once a request ended that was passed on.
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
        let inside = *domain == self.home.domain;
        let name = if inside { vm.as_str() } else { domain.as_str() };
        if let Ok(i) = self.find_place(name, service) {
            self.places[i].end(now, outcome);
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

    /// Takes headroom that came with an answer of another VM of the domain,
    /// which is newer than its last heartbeat.
    pub fn record_headroom(&mut self, now: Time, vm: &str, service: &str, headroom: Headroom) {
        let peers = self.view.peers.iter_mut();
        let Some(peer) = peers.into_iter().find(|p| p.entry.vm.as_str() == vm) else {
            return;
        };
        let found = peer
            .services
            .binary_search_by(|room| room.service.as_str().cmp(service));
        if let Ok(i) = found {
            peer.services[i].headroom = headroom;
            peer.received_at = now;
        }
    }
}
