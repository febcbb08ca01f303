//! Membership, and dispatch of messages from other VMs.

use super::Node;
use actix::prelude::*;
use pimento_admit::Headroom;
use pimento_core::ServiceId;
use pimento_lease::{Candidate, LeaseRelease};
use pimento_link::{Channel, Incoming};
use pimento_log::{Event, event};
use pimento_members::{Effect, Message, ServiceLoad, VmInfo};
use pimento_settings::Settings;
use prost::Message as _;

impl Handler<Incoming> for Node {
    type Result = ();

    fn handle(&mut self, msg: Incoming, _ctx: &mut Self::Context) {
        let now = self.now();
        match msg.channel {
            Channel::Members => {
                if let Ok(message) = Message::decode(msg.payload) {
                    let effects = self.members.receive(now, message);
                    self.apply_member_effects(effects);
                }
            }
            Channel::Lease => {
                if let Ok(release) = LeaseRelease::decode(msg.payload) {
                    let effects = self.leases.accept_release(now, release);
                    self.apply_lease_effects(now, effects);
                }
            }
            Channel::Rules => self.answer_pull(msg),
            Channel::Drain => self.handle_drain_notice(&msg),
            Channel::KeepAlive | Channel::Consensus | Channel::Control => {}
        }
    }
}

impl Node {
    pub(super) fn tick_members(&mut self) {
        let now = self.now();
        self.members.set_load(self.service_loads());
        let effects = self.members.tick(now);
        self.apply_member_effects(effects);
    }

    /// Executes the effects of membership.
    pub(super) fn apply_member_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let payload = message.encode_to_vec().into();
                    self.links.send(to, Channel::Members, payload);
                }
                Effect::Alive(vm) => event!(self.log, Event::VmAlive, "peer" => %vm),
                Effect::Dead(vm) => event!(self.log, Event::VmDead, "peer" => %vm),
                Effect::Left(vm) => event!(self.log, Event::VmLeft, "peer" => %vm),
                Effect::NewerRules { version, link, .. } => self.pull_newer(version, link),
            }
        }
    }

    /// The live entry VMs of the failure domain, including this one unless it
    /// is stopping.
    pub(super) fn live_candidates(&self) -> Vec<Candidate> {
        let this_vm = (!self.stopping).then(|| self.members.this_vm());
        let peers = self.members.live().map(|peer| &peer.info);
        this_vm
            .into_iter()
            .chain(peers)
            .filter_map(candidate)
            .collect()
    }

    /// The load of this VM by service.
    fn service_loads(&self) -> Vec<ServiceLoad> {
        let now = self.now();
        let services = self.admission.services();
        services
            .map(|service| service_load(service, self.admission.headroom(now, service)))
            .collect()
    }
}

fn candidate(info: &VmInfo) -> Option<Candidate> {
    let listener = info.targets?;
    Some(Candidate {
        vm: info.vm.clone(),
        listener,
    })
}

fn service_load(service: &ServiceId, headroom: Headroom) -> ServiceLoad {
    ServiceLoad {
        service: service.clone(),
        slots: headroom.slots,
        free: headroom.free,
        queued: headroom.queued,
        latency: u32::try_from(headroom.latency_us).unwrap_or(u32::MAX),
        cold: 0,
    }
}

/// This VM's entry in the membership protocol.
pub(super) fn member_info(settings: &Settings, incarnation: u64) -> VmInfo {
    VmInfo {
        vm: settings.vm.clone(),
        region: settings.region.clone(),
        domain: settings.domain.clone(),
        incarnation,
        link: settings.listen.links,
        callers: settings.listen.callers,
        forwards: settings.listen.forwards,
        targets: settings.listen.targets,
    }
}
