//! Look-ups of callers and routes of requests.

use super::{Lookup, Node, RecordOutcome, Route, Routed};
use crate::callers::LookupReply;
use actix::prelude::*;
use pimento_admit::Headroom;
use pimento_core::{ServiceId, Time, VmId};
use pimento_members::{Contact, Domain, ServiceLoad, VmInfo};
use pimento_steer::{
    ClusterView, DomainSummary, EntryVm, Hop, Peer, RouteRequest, ServiceHeadroom,
};
use std::time::Duration;

impl Handler<Lookup> for Node {
    type Result = Option<LookupReply>;

    fn handle(&mut self, msg: Lookup, _ctx: &mut Self::Context) -> Self::Result {
        self.rules.load().service(&msg.service)?;
        let found = self.steering.lookup(self.now(), &msg.service, msg.block);
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
        let local = self.admission.headroom(now, &msg.service);
        let request = RouteRequest {
            service: &msg.service,
            class: msg.class,
            origin: msg.origin,
            tried: &msg.tried_vms,
            local,
        };
        let hop = self.steering.route(now, &request)?;
        if let Hop::Vm { address, .. } = &hop {
            self.pauses.forget(&msg.service, *address);
        }
        let expected = self.expected_latency(&msg.service, local);
        Some(Routed { hop, expected })
    }
}

impl Handler<RecordOutcome> for Node {
    type Result = ();

    fn handle(&mut self, msg: RecordOutcome, _ctx: &mut Self::Context) {
        let now = self.now();
        self.steering
            .record_outcome(now, &msg.service, &msg.hop, msg.outcome);
    }
}

impl Node {
    /// The expected latency of a request, measured on this VM or else the
    /// highest one that a peer reports; zero if there is no measurement.
    fn expected_latency(&self, service: &ServiceId, local: Headroom) -> Duration {
        let peers = self.members.live().flat_map(|peer| &peer.loads);
        let loads = peers.filter(|load| load.service == *service);
        let slowest = loads.map(|load| u64::from(load.latency)).max();
        let latency_us = match local.latency_us {
            0 => slowest.unwrap_or(0),
            measured => measured,
        };
        Duration::from_micros(latency_us)
    }

    /// Passes the state of membership and admission to steering.
    pub(super) fn update_view(&mut self) {
        let now = self.now();
        let this_vm = entry_vm(self.members.this_vm()).map(|entry| Peer {
            entry,
            stopping: self.stopping,
            received_at: now,
            services: self.headrooms(now),
        });
        let peers = self.members.live().filter_map(|peer| {
            Some(Peer {
                entry: entry_vm(&peer.info)?,
                stopping: false,
                received_at: peer.loads_received,
                services: peer.loads.iter().map(service_headroom).collect(),
            })
        });
        let peers = this_vm.into_iter().chain(peers).collect();
        let domains = self.members.domains().iter().map(domain_summary).collect();
        self.steering.set_view(now, ClusterView { peers, domains });
    }

    fn headrooms(&self, now: Time) -> Vec<ServiceHeadroom> {
        let services = self.admission.services();
        let headrooms = services.map(|service| ServiceHeadroom {
            service: service.clone(),
            headroom: self.admission.headroom(now, service),
        });
        headrooms.collect()
    }
}

fn entry_vm(info: &VmInfo) -> Option<EntryVm> {
    contact_entry_vm(&info.vm, &Contact::from(info))
}

fn contact_entry_vm(vm: &VmId, contact: &Contact) -> Option<EntryVm> {
    Some(EntryVm {
        vm: vm.clone(),
        caller_addr: contact.callers?,
        forward_addr: contact.forwards?,
    })
}

fn service_headroom(load: &ServiceLoad) -> ServiceHeadroom {
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

fn domain_summary(domain: &Domain) -> DomainSummary {
    let entries = domain.contacts.iter();
    DomainSummary {
        domain: domain.id.clone(),
        entries: entries.filter_map(|c| contact_entry_vm(&c.vm, c)).collect(),
        received_at: domain.received_at - domain.initial_age,
        services: domain
            .services
            .iter()
            .map(|service| service_headroom(&service.load))
            .collect(),
    }
}
