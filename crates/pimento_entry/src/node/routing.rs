//! Where callers and requests go.

use super::{Lookup, Node, Route, Routed, Settle};
use crate::callers::LookupReply;
use actix::prelude::*;
use pimento_admit::Headroom;
use pimento_core::{ServiceId, Time, VmId};
use pimento_members::{Contact, Domain, ServiceLoad, VmInfo};
use pimento_steer::{ClusterView, DomainSummary, EntryVm, Peer, RouteRequest, ServiceHeadroom};
use std::time::Duration;

impl Handler<Lookup> for Node {
    type Result = Option<LookupReply>;

    fn handle(&mut self, msg: Lookup, _ctx: &mut Self::Context) -> Self::Result {
        self.rules.load().service(&msg.service)?;
        let found = self.steer.lookup(self.now(), &msg.service, msg.block);
        Some(LookupReply {
            version: found.version,
            ttl_ms: found.ttl.as_millis() as u64,
            entries: found.entries,
            stale: found.stale,
        })
    }
}

impl Handler<Route> for Node {
    type Result = Option<Routed>;

    fn handle(&mut self, msg: Route, _ctx: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let local = self.admit.headroom(now, &msg.service);
        let ask = RouteRequest {
            service: &msg.service,
            class: msg.class,
            origin: msg.origin,
            tried: &msg.tried,
            local,
        };
        let hop = self.steer.route(now, &ask)?;
        let expected = self.usual_time(&msg.service, local);
        Some(Routed { hop, expected })
    }
}

impl Handler<Settle> for Node {
    type Result = ();

    fn handle(&mut self, msg: Settle, _ctx: &mut Self::Context) {
        let now = self.now();
        self.steer
            .record_outcome(now, &msg.service, &msg.hop, msg.outcome);
    }
}

impl Node {
    /// The usual time of a request, as measured here or else by a peer; zero if
    /// nobody has measured any.
    fn usual_time(&self, service: &ServiceId, local: Headroom) -> Duration {
        let peers = self.members.live().flat_map(|peer| &peer.loads);
        let times = peers.filter(|load| load.service == *service);
        let slowest = times.map(|load| u64::from(load.latency)).max();
        let micros = match local.latency_us {
            0 => slowest.unwrap_or(0),
            own => own,
        };
        Duration::from_micros(micros)
    }

    /// Hands steering what membership and admission know.
    pub(super) fn tick_view(&mut self) {
        let now = self.now();
        let own = entry(self.members.me()).map(|entry| Peer {
            entry,
            stopping: self.stopping,
            received_at: now,
            services: self.rooms(now),
        });
        let peers = self.members.live().filter_map(|peer| {
            Some(Peer {
                entry: entry(&peer.info)?,
                stopping: false,
                received_at: peer.loads_received,
                services: peer.loads.iter().map(room).collect(),
            })
        });
        let peers = own.into_iter().chain(peers).collect();
        let domains = self.members.domains().iter().map(summary).collect();
        self.steer.set_view(now, ClusterView { peers, domains });
    }

    fn rooms(&self, now: Time) -> Vec<ServiceHeadroom> {
        let services = self.admit.services();
        let rooms = services.map(|service| ServiceHeadroom {
            service: service.clone(),
            headroom: self.admit.headroom(now, service),
        });
        rooms.collect()
    }
}

fn entry(info: &VmInfo) -> Option<EntryVm> {
    contact(&info.vm, &Contact::from(info))
}

fn contact(vm: &VmId, contact: &Contact) -> Option<EntryVm> {
    Some(EntryVm {
        vm: vm.clone(),
        caller_addr: contact.callers?,
        forward_addr: contact.forwards?,
    })
}

fn room(load: &ServiceLoad) -> ServiceHeadroom {
    ServiceHeadroom {
        service: load.service.clone(),
        headroom: Headroom {
            slots: load.slots,
            free: load.free,
            queued: load.queued,
            latency_us: u64::from(load.latency),
        },
    }
}

fn summary(domain: &Domain) -> DomainSummary {
    let entries = domain.contacts.iter();
    DomainSummary {
        domain: domain.id.clone(),
        entries: entries.filter_map(|c| contact(&c.vm, c)).collect(),
        received_at: domain.received_at - domain.initial_age,
        services: domain.services.iter().map(|h| room(&h.load)).collect(),
    }
}
