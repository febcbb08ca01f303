//! The attempts that one request makes on its way to an answer.

use crate::{
    answer::Answer,
    body::Body,
    dispatch, forward,
    inbound::Inbound,
    node::{Route, Routed, Settle},
    problem::Problem,
    shared::Shared,
    upstream::Clients,
};
use actix_web::http::StatusCode;
use pimento_core::{TargetId, Verdict, VmId};
use pimento_steer::{Attempts, Failure, Hop, Next, Outcome};

/// An attempt that brought no answer.
#[derive(Clone, Debug)]
pub(crate) struct Failed {
    pub(crate) problem: Problem,
    /// The target that had the attempt, if it got that far.
    pub(crate) target: Option<TargetId>,
}

impl From<Problem> for Failed {
    fn from(problem: Problem) -> Self {
        Self {
            problem,
            target: None,
        }
    }
}

impl Failed {
    /// The verdict; without one, nothing is known.
    pub(crate) fn verdict(&self) -> Verdict {
        self.problem.verdict.unwrap_or(Verdict::MayHaveRun)
    }

    /// What the attempt means for further ones; `vm` is the VM that failed it.
    fn meaning(&self, vm: &VmId) -> Failure {
        match (&self.target, self.verdict()) {
            (Some(target), Verdict::NotRun) => Failure::Shed {
                target: target.clone(),
            },
            (None, Verdict::NotRun) => Failure::Refused { vm: vm.clone() },
            (target, verdict) => Failure::Failed {
                verdict,
                target: target.clone(),
                vm: None,
            },
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
        let Some(routed) = route(shared, inbound, attempts.vms()).await else {
            break;
        };
        let sent = send(
            shared,
            clients,
            inbound,
            next,
            &routed.hop,
            attempts.targets(),
        )
        .await;
        let failed = match sent {
            Ok(answer) => return Ok(answer),
            Err(failed) => failed,
        };
        let next = decide(shared, &mut attempts, &failed, &routed);
        last = Some(failed.problem);
        match next {
            Next::Retry { after } => tokio::time::sleep(after).await,
            Next::GiveUp { .. } => break,
        }
    }
    let problem = last.unwrap_or_else(nowhere);
    Err(problem.with(attempts.verdict()))
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
    send(shared, clients, inbound, body, &routed.hop, &inbound.avoid).await
}

fn begin(shared: &Shared, inbound: &Inbound) -> Attempts {
    let now = shared.clock.now();
    let mut budget = shared.budget.lock().expect("no holder panics");
    Attempts::new(
        now,
        &inbound.service,
        inbound.class,
        inbound.deadline,
        &mut budget,
    )
}

/// The body for the next attempt: a held one again, a streamed one only once.
fn again(body: &mut Option<Body>) -> Option<Body> {
    match body {
        Some(held) if held.again().is_some() => held.again(),
        _ => body.take(),
    }
}

async fn route(shared: &Shared, inbound: &Inbound, tried: &[VmId]) -> Option<Routed> {
    let route = Route {
        service: inbound.service.name.clone(),
        class: inbound.class,
        origin: inbound.origin.clone(),
        tried: tried.to_vec(),
    };
    shared.node.send(route).await.ok().flatten()
}

async fn send(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
    hop: &Hop,
    tried: &[TargetId],
) -> Result<Answer, Failed> {
    let Hop::Vm { address, .. } = hop else {
        return dispatch::send(shared, clients, inbound, body, tried).await;
    };
    let settle = |outcome| Settle {
        service: inbound.service.name.clone(),
        hop: hop.clone(),
        outcome,
    };
    match forward::send(shared, clients, inbound, body, *address, tried).await {
        Ok(mut answer) => {
            let node = shared.node.clone();
            let settle = settle(Outcome::Answered { bytes: 0 });
            answer.count_bytes(move |bytes, whole| {
                let outcome = if whole {
                    Outcome::Answered { bytes }
                } else {
                    Outcome::Failed { bytes }
                };
                node.do_send(Settle { outcome, ..settle });
            });
            Ok(answer)
        }
        Err(failed) => {
            let refused = failed.verdict() == Verdict::NotRun;
            let outcome = if refused {
                Outcome::Refused
            } else {
                Outcome::Failed { bytes: 0 }
            };
            shared.node.do_send(settle(outcome));
            Err(failed)
        }
    }
}

/// Decides after a failed attempt.
fn decide(shared: &Shared, attempts: &mut Attempts, failed: &Failed, routed: &Routed) -> Next {
    let vm = match &routed.hop {
        Hop::Local => &shared.settings.vm,
        Hop::Vm { vm, .. } => vm,
    };
    let failure = failed.meaning(vm);
    let now = shared.clock.now();
    let mut budget = shared.budget.lock().expect("no holder panics");
    attempts.fail(
        now,
        &failure,
        routed.expected,
        &mut budget,
        &mut rand::rng(),
    )
}

fn nowhere() -> Problem {
    let detail = "no VM in reach has a target for the service";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-target", detail)
}
