//! Targets that leave or pause.

use super::{ApplyNotice, FirstPauseEnd, Node, PauseScope, RecordPause};
use actix::prelude::*;
use pimento_core::{ServiceId, Time};
use pimento_members::ServiceLoad;
use std::{net::SocketAddr, time::Duration};

/// The pauses that other VMs gave as the reason of a refusal.
///
/// They only say when refused callers may return; requests are routed by the
/// headroom in heartbeats. A pause counts while its VM reports targets of the
/// service.
#[derive(Debug, Default)]
pub(super) struct ToldPauses {
    /// Sorted by service and VM.
    pauses: Vec<ToldPause>,
}

/// The pause of a service's targets at one VM.
#[derive(Debug)]
struct ToldPause {
    service: ServiceId,
    /// The VM's address for forwarded requests.
    vm: SocketAddr,
    end: Time,
}

impl ToldPauses {
    /// Records a pause, which replaces an earlier one.
    fn record(&mut self, now: Time, pause: ToldPause) {
        self.pauses.retain(|p| p.end > now);
        match self.find(&pause.service, pause.vm) {
            Ok(i) => self.pauses[i] = pause,
            Err(i) => self.pauses.insert(i, pause),
        }
    }

    /// Forgets the pause at a VM to which a request is routed again. The request
    /// is served there, or brings back newer word.
    pub(super) fn forget(&mut self, service: &ServiceId, vm: SocketAddr) {
        if let Ok(i) = self.find(service, vm) {
            self.pauses.remove(i);
        }
    }

    /// When the pause at a VM ends.
    fn end(&self, now: Time, service: &ServiceId, vm: SocketAddr) -> Option<Time> {
        let i = self.find(service, vm).ok()?;
        Some(self.pauses[i].end).filter(|end| *end > now)
    }

    fn find(&self, service: &ServiceId, vm: SocketAddr) -> Result<usize, usize> {
        self.pauses
            .binary_search_by(|p| (&p.service, p.vm).cmp(&(service, vm)))
    }
}

impl Handler<ApplyNotice> for Node {
    type Result = ();

    fn handle(&mut self, msg: ApplyNotice, _ctx: &mut Self::Context) {
        self.update_target(self.now(), &msg.target);
    }
}

impl Handler<RecordPause> for Node {
    type Result = ();

    fn handle(&mut self, msg: RecordPause, _ctx: &mut Self::Context) {
        let now = self.now();
        let pause = ToldPause {
            service: msg.service,
            vm: msg.vm,
            end: now + msg.left,
        };
        self.pauses.record(now, pause);
    }
}

impl Handler<FirstPauseEnd> for Node {
    type Result = Option<Duration>;

    fn handle(&mut self, msg: FirstPauseEnd, _ctx: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let end = match msg.scope {
            PauseScope::ThisVm => self.admission.first_pause_end(now, &msg.service),
            PauseScope::AllVms => self.first_pause_end(now, &msg.service),
        };
        Some(end?.since(now))
    }
}

impl Node {
    /// When the first pause ends, if no target of a service is usable anywhere
    /// because of pauses.
    fn first_pause_end(&self, now: Time, service: &ServiceId) -> Option<Time> {
        if self.admission.headroom(now, service).slots > 0 {
            return None;
        }
        let mut ends: Vec<Time> = Vec::new();
        ends.extend(self.admission.first_pause_end(now, service));
        for (vms, load) in self.other_loads(service) {
            let told = vms
                .iter()
                .filter_map(|vm| self.pauses.end(now, service, *vm));
            match told.min() {
                Some(end) => ends.push(end),
                None if load.slots > 0 => return None,
                None => {}
            }
        }
        ends.into_iter().min()
    }

    /// The loads of a service that other VMs and failure domains report, with
    /// the addresses for forwarded requests.
    fn other_loads<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (Vec<SocketAddr>, &'a ServiceLoad)> {
        let peers = self.members.live().filter_map(move |peer| {
            let load = peer.loads.iter().find(|load| load.service == *service)?;
            Some((peer.info.forwards.into_iter().collect(), load))
        });
        let domains = self.members.domains().iter().filter_map(move |domain| {
            let mut loads = domain.services.iter().map(|service| &service.load);
            let load = loads.find(|load| load.service == *service)?;
            let contacts = domain.contacts.iter().filter_map(|c| c.forwards);
            Some((contacts.collect(), load))
        });
        peers.chain(domains)
    }
}
