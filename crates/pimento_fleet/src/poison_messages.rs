//! Messages to the fleet actor about requests that crash targets.

use crate::FleetActor;
use actix::prelude::*;
use pimento_poison::{Fingerprint, Ruling};
use std::time::Duration;

/// What this process learned of a request that may crash targets.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum PoisonReport {
    /// A target crashed while it had requests.
    Crashed {
        /// The hash of the target's name and incarnation.
        incarnation: u64,
        /// The requests of this process that it had.
        requests: Vec<Fingerprint>,
        /// How long ago it crashed.
        age: Duration,
    },
    /// A target answered the request completely.
    Answered(Fingerprint),
    /// The request was refused.
    Refused(Fingerprint),
}

impl Handler<PoisonReport> for FleetActor {
    type Result = ();

    fn handle(&mut self, msg: PoisonReport, _: &mut Context<Self>) {
        let now = self.now();
        let effects = match msg {
            PoisonReport::Crashed {
                incarnation,
                requests,
                age,
            } => {
                self.fleet.report_crash(now, incarnation, &requests, age);
                Vec::new()
            }
            PoisonReport::Answered(request) => self.fleet.report_answer(now, request),
            PoisonReport::Refused(request) => self.fleet.renew_refusal(now, request),
        };
        self.apply_effects(effects);
    }
}

/// Returns the verdicts on requests that this process knows, sorted by request.
#[derive(Debug, Message)]
#[rtype(result = "Vec<Ruling>")]
pub struct GetRulings;

impl Handler<GetRulings> for FleetActor {
    type Result = MessageResult<GetRulings>;

    fn handle(&mut self, _: GetRulings, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.fleet.rulings(self.now()))
    }
}

/// Lifts the refusal of a request at all VMs. The response says whether there was
/// one.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub struct LiftRefusal(pub Fingerprint);

impl Handler<LiftRefusal> for FleetActor {
    type Result = bool;

    fn handle(&mut self, msg: LiftRefusal, _: &mut Context<Self>) -> bool {
        let effects = self.fleet.acquit_request(self.now(), msg.0);
        let was_open = !effects.is_empty();
        self.apply_effects(effects);
        was_open
    }
}
