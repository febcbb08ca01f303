//! The status that operators see.

use super::{DomainStatus, GetStatus, Node, NodeStatus, PeerStatus, TargetStatus};
use actix::prelude::*;
use pimento_core::Time;
use pimento_members::{Domain, Peer, PeerState};

impl Handler<GetStatus> for Node {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _msg: GetStatus, _ctx: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let targets = self.leases.held_leases(now).map(|view| TargetStatus {
            target: view.target.clone(),
            service: view.service.clone(),
            address: view.address,
            state: view.state,
            open: view.valid_from <= now,
            slots: view.slots,
            used: self.admission.used_slots(view.target),
            carried: view.inherited,
            epoch: view.epoch,
        });
        MessageResult(NodeStatus {
            vm: self.settings.vm.clone(),
            region: self.settings.region.clone(),
            domain: self.settings.domain.clone(),
            version: self.rules.load().version,
            stopping: self.stopping,
            targets: targets.collect(),
            vms: self.members.peers().iter().map(peer_status).collect(),
            domains: self
                .members
                .domains()
                .iter()
                .map(|d| domain_status(now, d))
                .collect(),
        })
    }
}

fn peer_status(peer: &Peer) -> PeerStatus {
    let state = match peer.state {
        PeerState::Known => "known",
        PeerState::Alive => "alive",
        PeerState::Suspect => "suspect",
        PeerState::Dead => "dead",
        PeerState::Left => "left",
    };
    PeerStatus {
        vm: peer.info.vm.clone(),
        state,
        alive: peer.is_live(),
        version: peer.version,
    }
}

fn domain_status(now: Time, domain: &Domain) -> DomainStatus {
    DomainStatus {
        domain: domain.id.clone(),
        region: domain.region.clone(),
        live: domain.live,
        total: domain.total,
        low: domain.min_version,
        high: domain.max_version,
        age_ms: domain.age(now).as_millis() as u64,
    }
}
