//! Handlers for permits.

use super::Node;
use crate::permit::{CancelRequest, Grant, Refusal, ReleasePermit, RequestPermit};
use actix::prelude::*;
use pimento_admit::{Completion, Effect, RefusalReason, Request};
use pimento_core::{TargetId, Time};

impl Handler<RequestPermit> for Node {
    type Result = ();

    fn handle(&mut self, msg: RequestPermit, _ctx: &mut Self::Context) {
        let rules = self.rules.load();
        let Some(service) = rules.service(&msg.service) else {
            drop(msg.reply.send(Err(Refusal::NoService)));
            return;
        };
        let request = Request {
            id: msg.id,
            service: msg.service,
            tenant: msg.tenant,
            class: msg.class,
            deadline: msg.deadline,
            queue: service.queue.clone(),
            tried: msg.tried_targets,
            reserve: msg.cross_region.then(|| self.steering.region_reserve()),
        };
        match self.waiters.binary_search_by_key(&msg.id, |(id, _)| *id) {
            Ok(_) => return,
            Err(i) => self.waiters.insert(i, (msg.id, msg.reply)),
        }
        let now = self.now();
        let effects = self.admission.submit(now, request);
        self.apply_admission_effects(now, effects);
    }
}

impl Handler<CancelRequest> for Node {
    type Result = ();

    fn handle(&mut self, msg: CancelRequest, _ctx: &mut Self::Context) {
        drop(self.remove_waiter(msg.id));
        let now = self.now();
        let effects = self.admission.cancel(now, msg.id);
        self.apply_admission_effects(now, effects);
    }
}

impl Handler<ReleasePermit> for Node {
    type Result = ();

    fn handle(&mut self, msg: ReleasePermit, _ctx: &mut Self::Context) {
        self.release_permit(msg.id, msg.completion);
    }
}

impl Node {
    pub(super) fn tick_admission(&mut self) {
        let now = self.now();
        let effects = self.admission.tick(now);
        self.apply_admission_effects(now, effects);
    }

    fn release_permit(&mut self, id: u64, completion: Completion) {
        let now = self.now();
        let effects = self.admission.finish(now, id, completion);
        self.apply_admission_effects(now, effects);
    }

    /// Sends the decisions of admission to the waiting requests.
    pub(super) fn apply_admission_effects(&mut self, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start { id, target } => self.grant_permit(now, id, target),
                Effect::Refuse { id, reason } => self.refuse_request(id, Refusal::Admit(reason)),
            }
        }
    }

    /// Grants a permit to its request, or releases it if the lease has ended or
    /// the request is gone.
    fn grant_permit(&mut self, now: Time, id: u64, target: TargetId) {
        let send_by = self.leases.send_deadline(now, &target);
        let lease = self.leases.held_lease(now, &target);
        let lease = lease.map(|view| (view.address, view.incarnation));
        let (Some(send_by), Some((address, incarnation))) = (send_by, lease) else {
            self.refuse_request(id, Refusal::Admit(RefusalReason::NoTarget));
            self.release_permit(id, Completion::Cancelled);
            return;
        };
        let grant = Grant {
            id,
            target,
            incarnation,
            address,
            send_by,
        };
        let is_delivered = self
            .remove_waiter(id)
            .is_some_and(|reply| reply.send(Ok(grant)).is_ok());
        if !is_delivered {
            self.release_permit(id, Completion::Cancelled);
        }
    }

    fn refuse_request(&mut self, id: u64, refusal: Refusal) {
        if let Some(reply) = self.remove_waiter(id) {
            drop(reply.send(Err(refusal)));
        }
    }

    fn remove_waiter(
        &mut self,
        id: u64,
    ) -> Option<tokio::sync::oneshot::Sender<Result<Grant, Refusal>>> {
        let found = self.waiters.binary_search_by_key(&id, |(id, _)| *id);
        found.ok().map(|i| self.waiters.remove(i).1)
    }
}
