//! The attempts that one request makes on its way to an answer.

use crate::{
    answer::Answer,
    body::Body,
    dispatch, forward,
    inbound::Inbound,
    node::{Hop, Route},
    problem::Problem,
    shared::Shared,
    upstream::Clients,
};
use actix_web::http::StatusCode;
use pimento_core::{TargetId, Verdict, VmId};

/// An attempt that brought no answer.
#[derive(Clone, Debug)]
pub(crate) struct Failure {
    pub(crate) problem: Problem,
    /// The target that was tried, if the attempt got that far.
    pub(crate) target: Option<TargetId>,
}

impl From<Problem> for Failure {
    fn from(problem: Problem) -> Self {
        Self {
            problem,
            target: None,
        }
    }
}

impl Failure {
    /// The verdict; without one, nothing is known.
    fn verdict(&self) -> Verdict {
        self.problem.verdict.unwrap_or(Verdict::MayHaveRun)
    }
}

/// What earlier attempts used up.
#[derive(Debug, Default)]
struct Tried {
    targets: Vec<TargetId>,
    vms: Vec<VmId>,
    local: bool,
    count: u8,
}

/// Tries hop after hop until one answers or no further attempt is allowed.
pub(crate) async fn run(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
) -> Result<Answer, Problem> {
    let mut tried = Tried::default();
    let mut body = Some(body);
    let mut worst: Option<Problem> = None;
    while let Some(next) = again(&mut body) {
        let Some(hop) = route(shared, inbound, &tried).await else {
            break;
        };
        let result = match &hop {
            Hop::Local => dispatch::send(shared, clients, inbound, next, &tried.targets).await,
            Hop::Vm { forwards, .. } => {
                forward::send(shared, clients, inbound, next, *forwards).await
            }
        };
        let failure = match result {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        let verdict = failure.verdict();
        note(&mut tried, hop, &failure);
        worst = Some(worse(worst, failure.problem));
        let may = verdict.allows_resend() || inbound.service.repeatable;
        let late = shared.clock.now() >= inbound.deadline;
        if !may || late || tried.count >= inbound.service.retry.attempts {
            break;
        }
    }
    Err(worst.unwrap_or_else(nowhere))
}

/// The body for the next attempt: a held one again, a streamed one only once.
fn again(body: &mut Option<Body>) -> Option<Body> {
    match body {
        Some(held) if held.again().is_some() => held.again(),
        _ => body.take(),
    }
}

async fn route(shared: &Shared, inbound: &Inbound, tried: &Tried) -> Option<Hop> {
    let service = inbound.service.name.clone();
    let route = Route {
        service,
        tried: tried.vms.clone(),
        local: !tried.local,
    };
    shared.node.send(route).await.ok().flatten()
}

/// Remembers what an attempt tried; this VM stays open while it has targets
/// that were not tried.
fn note(tried: &mut Tried, hop: Hop, failure: &Failure) {
    tried.count += 1;
    match (hop, &failure.target) {
        (Hop::Local, Some(target)) => tried.targets.push(target.clone()),
        (Hop::Local, None) => tried.local = true,
        (Hop::Vm { vm, .. }, _) => tried.vms.push(vm),
    }
}

/// Keeps the problem with the worse verdict: what may have run, may have run.
fn worse(earlier: Option<Problem>, later: Problem) -> Problem {
    match earlier {
        Some(earlier) if earlier.verdict > later.verdict => earlier,
        _ => later,
    }
}

fn nowhere() -> Problem {
    let detail = "no VM in reach has a target for the service";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-target", detail)
}
