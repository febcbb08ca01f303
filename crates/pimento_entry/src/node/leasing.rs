//! Target leases and their effects on admission.

use super::{Announce, BeginStop, Node};
use actix::prelude::*;
use pimento_admit::{LoadReport, TargetView};
use pimento_core::{TargetId, Time, VmId};
use pimento_lease::{Candidate, Effect, LeaseRelease, TargetState};
use pimento_link::Channel;
use pimento_log::{Event, event};
use pimento_notices::Hold;
use prost::Message as _;
use std::net::SocketAddr;

impl Handler<Announce> for Node {
    type Result = MessageResult<Announce>;

    fn handle(&mut self, msg: Announce, _ctx: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let live = self.live_candidates();
        let (reply, effects) = self
            .leases
            .handle_announcement(now, &msg.announcement, &live);
        self.apply_lease_effects(now, effects);
        MessageResult::<Announce>(reply)
    }
}

impl Handler<BeginStop> for Node {
    type Result = ();

    fn handle(&mut self, _msg: BeginStop, _ctx: &mut Self::Context) {
        self.stopping = true;
        self.release_all();
        let now = self.now();
        let effects = self.members.leave(now);
        self.apply_member_effects(effects);
    }
}

impl Node {
    pub(super) fn tick_leases(&mut self) {
        let now = self.now();
        let held: Vec<TargetId> = self
            .leases
            .held_leases(now)
            .map(|v| v.target.clone())
            .collect();
        for target in held {
            let used = self.admission.used_slots(&target);
            self.leases.set_used_slots(&target, used);
            self.update_target(now, &target);
        }
        let effects = self.leases.tick(now);
        self.apply_lease_effects(now, effects);
        if self.stopping {
            self.release_all();
        }
    }

    /// Executes the effects of lease changes.
    pub(super) fn apply_lease_effects(&mut self, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Acquired { target, epoch, .. } => {
                    event!(self.log, Event::LeaseTaken, "target" => %target, "epoch" => epoch);
                    self.reapply_drain(now, &target);
                    self.update_target(now, &target);
                }
                Effect::Changed { target } => self.update_target(now, &target),
                Effect::Lost { target, cause } => {
                    event!(self.log, Event::LeaseLost, "target" => %target, "cause" => ?cause);
                    let effects = self.admission.remove_target(now, &target);
                    self.apply_admission_effects(now, effects);
                }
            }
        }
    }

    /// Passes a target's capacity to admission, as soon as this VM may send to
    /// the target.
    ///
    /// What the target said of itself in its answers comes on top of its
    /// report, which may be older.
    pub(super) fn update_target(&mut self, now: Time, target: &TargetId) {
        if self.leases.send_deadline(now, target).is_none() {
            return;
        }
        let Some(view) = self.leases.held_lease(now, target) else {
            return;
        };
        let report = LoadReport {
            load: view.load,
            received_at: view.last_heard,
        };
        self.notices.forget_others(target, view.incarnation);
        let (state, paused_until) = match self.notices.hold(now, target, view.incarnation) {
            None => (view.state, Time::ZERO),
            Some(Hold::Leaving) => (TargetState::Draining, Time::ZERO),
            Some(Hold::Paused(left)) => (view.state, now + left),
        };
        let view = TargetView {
            target: view.target.clone(),
            service: view.service.clone(),
            slots: view.slots,
            connections: view.connections,
            state,
            report: Some(report),
            inherited: view.inherited,
            paused_until,
        };
        let effects = self.admission.set_target(now, view);
        self.apply_admission_effects(now, effects);
    }

    /// Releases all leases to other VMs of the failure domain.
    fn release_all(&mut self) {
        let now = self.now();
        let live = self.live_candidates();
        // Released leases are sent again, with the current number of used
        // slots, while requests are still running.
        let held = self.leases.held_leases(now).map(|view| view.target);
        let held: Vec<TargetId> = held
            .chain(self.leases.released_targets())
            .cloned()
            .collect();
        for target in held {
            let used = self.admission.used_slots(&target);
            if let Some((to, release)) = self.leases.release(now, &target, used, &live) {
                self.send_release(&to, &release);
                let effects = self.admission.remove_target(now, &target);
                self.apply_admission_effects(now, effects);
            }
        }
    }

    /// Sends a released lease to its next holder.
    fn send_release(&self, to: &Candidate, release: &LeaseRelease) {
        if let Some(link) = self.link_address(&to.vm) {
            let payload = release.encode_to_vec().into();
            self.links.send(link, Channel::Lease, payload);
        }
    }

    fn link_address(&self, vm: &VmId) -> Option<SocketAddr> {
        self.members.peer(vm).map(|peer| peer.info.link)
    }
}
