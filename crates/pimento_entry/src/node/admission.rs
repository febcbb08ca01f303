//! Slots for requests.

use super::Node;
use crate::permit::{Cancel, Finish, Grant, Refusal, Submit};
use actix::prelude::*;
use pimento_admit::{Completion, Effect, RefusalReason, Request};
use pimento_core::{TargetId, Time};

impl Handler<Submit> for Node {
    type Result = ();

    fn handle(&mut self, msg: Submit, _ctx: &mut Self::Context) {
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
            avoid: msg.tried,
            reserve: msg.foreign.then(|| self.steer.region_reserve()),
        };
        match self.waiters.binary_search_by_key(&msg.id, |(id, _)| *id) {
            Ok(_) => return,
            Err(i) => self.waiters.insert(i, (msg.id, msg.reply)),
        }
        let now = self.now();
        let effects = self.admit.submit(now, request);
        self.admitted(now, effects);
    }
}

impl Handler<Cancel> for Node {
    type Result = ();

    fn handle(&mut self, msg: Cancel, _ctx: &mut Self::Context) {
        drop(self.take_waiter(msg.id));
        let now = self.now();
        let effects = self.admit.cancel(now, msg.id);
        self.admitted(now, effects);
    }
}

impl Handler<Finish> for Node {
    type Result = ();

    fn handle(&mut self, msg: Finish, _ctx: &mut Self::Context) {
        self.finish(msg.id, msg.ending);
    }
}

impl Node {
    pub(super) fn tick_admission(&mut self) {
        let now = self.now();
        let effects = self.admit.tick(now);
        self.admitted(now, effects);
    }

    fn finish(&mut self, id: u64, ending: Completion) {
        let now = self.now();
        let effects = self.admit.finish(now, id, ending);
        self.admitted(now, effects);
    }

    /// Tells waiting requests what admission decided.
    pub(super) fn admitted(&mut self, now: Time, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start { id, target } => self.start(now, id, target),
                Effect::Refuse { id, reason } => self.refuse(id, Refusal::Admit(reason)),
            }
        }
    }

    /// Hands a slot to its request, or returns it if the lease has ended or the
    /// request is gone.
    fn start(&mut self, now: Time, id: u64, target: TargetId) {
        let until = self.leases.send_deadline(now, &target);
        let address = self
            .leases
            .held_lease(now, &target)
            .map(|view| view.address);
        let (Some(until), Some(address)) = (until, address) else {
            self.refuse(id, Refusal::Admit(RefusalReason::NoTarget));
            self.finish(id, Completion::Cancelled);
            return;
        };
        let grant = Grant {
            id,
            target,
            address,
            until,
        };
        let taken = self
            .take_waiter(id)
            .is_some_and(|reply| reply.send(Ok(grant)).is_ok());
        if !taken {
            self.finish(id, Completion::Cancelled);
        }
    }

    fn refuse(&mut self, id: u64, refusal: Refusal) {
        if let Some(reply) = self.take_waiter(id) {
            drop(reply.send(Err(refusal)));
        }
    }

    fn take_waiter(
        &mut self,
        id: u64,
    ) -> Option<tokio::sync::oneshot::Sender<Result<Grant, Refusal>>> {
        let found = self.waiters.binary_search_by_key(&id, |(id, _)| *id);
        found.ok().map(|i| self.waiters.remove(i).1)
    }
}
