//! The attempts that one request makes on its way to an answer.

use crate::{
    answer::Answer,
    body::Body,
    dispatch, forward, hedge,
    inbound::Inbound,
    node::{Route, Routed, Settle},
    problem::Problem,
    settling::Settling,
    shared::Shared,
    upstream::Clients,
};
use actix_web::http::StatusCode;
use pimento_core::{TargetId, Verdict, VmId};
use pimento_steer::{Attempts, Failure, Hop, NextStep};
use std::{cell::RefCell, time::Duration};

/// An attempt that brought no answer.
#[derive(Clone, Debug)]
pub(crate) struct Failed {
    pub(crate) problem: Problem,
    /// The target that had the attempt, if it got that far.
    pub(crate) target: Option<TargetId>,
}

impl From<Problem> for Failed {
    fn from(problem: Problem) -> Self {
        let target = None;
        Self { problem, target }
    }
}

impl Failed {
    /// The verdict; without one, nothing is known.
    pub(crate) fn verdict(&self) -> Verdict {
        self.problem.verdict.unwrap_or(Verdict::MayHaveRun)
    }

    /// What the attempt means for further ones; `vm` is the VM that failed it.
    fn meaning(&self, vm: &VmId) -> Failure {
        match (self.target.clone(), self.verdict()) {
            (Some(target), Verdict::NotRun) => Failure::Shed { target },
            (None, Verdict::NotRun) => Failure::Refused { vm: vm.clone() },
            (target, verdict) => {
                // Another target of the same VM may well answer.
                let vm = target.is_none().then(|| vm.clone());
                Failure::Failed {
                    verdict,
                    target,
                    vm,
                }
            }
        }
    }
}

/// The target that has an attempt under way.
pub(crate) type Sent = RefCell<Option<TargetId>>;

/// One attempt on its way to a hop.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) clients: &'a Clients,
    pub(crate) inbound: &'a Inbound,
    pub(crate) routed: Routed,
}

impl Attempt<'_> {
    /// Sends the request, and gives up waiting for an answer's head after
    /// `limit`. The target is noted in `sent` as soon as it is known.
    pub(crate) async fn send(
        &self,
        body: Body,
        tried: &[TargetId],
        limit: Duration,
        sent: &Sent,
    ) -> Result<Answer, Failed> {
        let (shared, clients, inbound) = (self.shared, self.clients, self.inbound);
        let Hop::Vm { address, .. } = &self.routed.hop else {
            return dispatch::send(shared, clients, inbound, body, tried, limit, sent).await;
        };
        let mut settling = Settling::new(shared, self.settle());
        match forward::send(shared, clients, inbound, body, *address, tried, limit).await {
            Ok(mut answer) => {
                answer.count_bytes(move |bytes, whole| settling.answered(bytes, whole));
                Ok(answer)
            }
            Err(failed) => {
                if failed.verdict() == Verdict::NotRun {
                    settling.refused();
                }
                Err(failed)
            }
        }
    }

    fn settle(&self) -> Settle {
        Settle::unknown(self.inbound.service.name.clone(), self.routed.hop.clone())
    }

    /// The VM that has the attempt.
    fn vm(&self) -> &VmId {
        match &self.routed.hop {
            Hop::Local => &self.shared.settings.vm,
            Hop::Vm { vm, .. } => vm,
        }
    }
}

/// Tries hop after hop until one answers or no further attempt is allowed.
pub(crate) async fn run(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
) -> Result<Answer, Problem> {
    let mut attempts = begin(shared, inbound);
    let mut body = Some(body);
    let mut last = None;
    while let Some(next) = again(&mut body) {
        let failure = match attempt(shared, clients, inbound, next, &mut attempts).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        let decision = decide(shared, &mut attempts, &failure);
        last = Some(failure.failed.problem);
        match decision {
            NextStep::Retry { after } => tokio::time::sleep(after).await,
            NextStep::GiveUp { .. } => break,
        }
    }
    let problem = last.unwrap_or_else(nowhere);
    Err(problem.with_verdict(attempts.verdict()))
}

/// Makes one attempt, with its hedge; no place to go counts as a refusal here.
async fn attempt(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
    attempts: &mut Attempts,
) -> Result<Answer, Lost> {
    let Some(routed) = route(shared, inbound, attempts.tried_vms()).await else {
        return Err(Lost {
            failed: nowhere().into(),
            vm: shared.settings.vm.clone(),
            expected: Duration::ZERO,
        });
    };
    let attempt = Attempt {
        shared,
        clients,
        inbound,
        routed,
    };
    hedge::send(&attempt, body, attempts).await
}

/// Sends a request that another entry VM forwarded, once: whether there is a
/// further attempt is for the first entry VM to decide.
pub(crate) async fn run_once(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
) -> Result<Answer, Failed> {
    let Some(routed) = route(shared, inbound, &[]).await else {
        return Err(nowhere().into());
    };
    let attempt = Attempt {
        shared,
        clients,
        inbound,
        routed,
    };
    let limit = inbound.deadline.since(shared.clock.now());
    let sent = Sent::default();
    attempt.send(body, &inbound.avoid, limit, &sent).await
}

/// An attempt may take this many times the usual time before another one is
/// made in its place.
const SLOWEST: u32 = 4;

/// How long an attempt may wait for an answer's head.
///
/// While another attempt may follow, half of what is left: a connection that
/// has gone silent must not use up the deadline. A service that is usually slow,
/// or whose time is unknown, gets all of it.
pub(crate) fn patience(attempt: &Attempt<'_>, body: &Body) -> Duration {
    let inbound = attempt.inbound;
    let left = inbound.deadline.since(attempt.shared.clock.now());
    let usual = attempt.routed.expected;
    let more = inbound.service.repeatable && inbound.service.retry.attempts > 1;
    match body {
        Body::Held(_) if more && !usual.is_zero() => left.min((left / 2).max(usual * SLOWEST)),
        Body::Held(_) | Body::Stream(_) => left,
    }
}

/// Asks the node for the next hop.
pub(crate) async fn route(shared: &Shared, inbound: &Inbound, tried: &[VmId]) -> Option<Routed> {
    let route = Route {
        service: inbound.service.name.clone(),
        class: inbound.class,
        origin: inbound.origin.clone(),
        tried: tried.to_vec(),
    };
    shared.node.send(route).await.ok().flatten()
}

fn begin(shared: &Shared, inbound: &Inbound) -> Attempts {
    let now = shared.clock.now();
    let (service, class, deadline) = (&inbound.service, inbound.class, inbound.deadline);
    let mut budget = shared.budget.lock().expect("no holder panics");
    Attempts::new(now, service, class, deadline, &mut budget)
}

/// The body for the next attempt: a held one again, a streamed one only once.
fn again(body: &mut Option<Body>) -> Option<Body> {
    match body {
        Some(held) if held.again().is_some() => held.again(),
        _ => body.take(),
    }
}

/// An attempt that failed, and what is needed to decide about the next one.
#[derive(Debug)]
pub(crate) struct Lost {
    pub(crate) failed: Failed,
    vm: VmId,
    expected: Duration,
}

impl Lost {
    pub(crate) fn new(failed: Failed, attempt: &Attempt<'_>) -> Self {
        let vm = attempt.vm().clone();
        let expected = attempt.routed.expected;
        Self {
            failed,
            vm,
            expected,
        }
    }
}

/// Decides after a failed attempt.
fn decide(shared: &Shared, attempts: &mut Attempts, lost: &Lost) -> NextStep {
    let failure = lost.failed.meaning(&lost.vm);
    let now = shared.clock.now();
    let mut budget = shared.budget.lock().expect("no holder panics");
    attempts.record_failure(now, &failure, lost.expected, &mut budget, &mut rand::rng())
}

fn nowhere() -> Problem {
    let detail = "no VM in reach has a target for the service";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-target", detail)
}
