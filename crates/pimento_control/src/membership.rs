//! Members that join and are removed without an operator.

use crate::{
    Control,
    waiters::Responder,
    wire::{JoinRequest, MemberAddress, MemberList, Request, Response},
};
use actix::prelude::*;
use pimento_consensus::{MemberChange, RejectReason, Role};
use pimento_core::VmId;
use pimento_log::{Event, event};

/// The maximum number of requests to join at a time. Each searches the leader for
/// some seconds; a second one keeps going while the first waits for a silent VM.
const MAX_PENDING_JOINS: usize = 2;

impl Control {
    /// Requests to join the group if necessary.
    pub(crate) fn request_membership(&mut self, ctx: &mut Context<Self>) {
        let is_needed = self.raft.should_join(self.now()) && !self.is_bootstrapping();
        if !self.is_working() || !is_needed || self.pending_joins >= MAX_PENDING_JOINS {
            return;
        }
        let Some(address) = self.own_address() else {
            return;
        };
        let client = self.client.clone();
        let join = Request::Join(JoinRequest {
            vm: self.vm.as_str().to_owned(),
            address,
            folder_id: self.folder_id,
        });
        let response = async move { client.request(join).await };
        self.pending_joins += 1;
        let recorded = response.into_actor(self).map(|response, control, _| {
            control.pending_joins -= 1;
            // Without a reply it is requested again after the interval.
            if let Ok(Response::Members(list)) = response {
                control.record_addresses(&list.members);
            }
        });
        ctx.spawn(recorded);
    }

    /// Stores the addresses of the members until the log provides them.
    fn record_addresses(&mut self, members: &[MemberAddress]) {
        let parse = |m: &MemberAddress| Some((VmId::new(&m.vm).ok()?, m.address.parse().ok()?));
        self.reported_members = members.iter().filter_map(parse).collect();
        self.addresses.clear();
    }

    /// Whether this VM takes part in bootstrapping the group, and must not
    /// request to join.
    fn is_bootstrapping(&self) -> bool {
        let is_listed = self.peers.iter().any(|peer| peer.vm == self.vm);
        let bootstraps = matches!(
            self.membership,
            crate::MembershipMode::Dynamic {
                bootstrap: true,
                ..
            }
        );
        bootstraps && is_listed && self.raft.members().list.is_empty()
    }

    fn own_address(&mut self) -> Option<String> {
        if let Some(address) = self.advertise_address {
            return Some(address.to_string());
        }
        let vm = self.vm.clone();
        self.address_of(&vm).map(|address| address.to_string())
    }

    /// Handles a request to join, which the VM repeats until it is a voter.
    pub(crate) fn handle_join(
        &mut self,
        request: &JoinRequest,
        responder: Responder,
        ctx: &mut Context<Self>,
    ) {
        let status = self.raft.status();
        if status.role != Role::Leader {
            let leader = status.leader;
            let response = self.rejection(&RejectReason::NotLeader { leader });
            return responder.send(response);
        }
        let list = status.members.list.iter().map(|m| MemberAddress {
            vm: m.vm.clone(),
            address: m.address.clone(),
        });
        let members = list.collect();
        responder.send(Response::Members(MemberList { members }));
        let Ok(vm) = VmId::new(&request.vm) else {
            return;
        };
        let (folder_id, address) = (request.folder_id, request.address.as_str());
        let Some(change) = self.raft.change_for_join(&vm, folder_id, address) else {
            return;
        };
        event!(self.log, Event::MemberChange, "change" => ?change, "instance" => request.folder_id);
        self.change_members(change, Responder::new(drop), ctx);
    }

    /// Removes a member that has been silent for long, if enough others vote.
    pub(crate) fn evict_silent(&mut self, ctx: &mut Context<Self>) {
        if !self.is_working() {
            return;
        }
        let silent = self.raft.member_to_remove(self.now());
        let Some(vm) = silent else { return };
        event!(self.log, Event::MemberChange, "change" => "remove a silent member",
            "vm" => vm.as_str());
        // A failed removal is repeated while the member stays silent.
        self.change_members(MemberChange::Remove { vm }, Responder::new(drop), ctx);
    }
}
