//! Sending a request to a target whose lease this VM holds.

use crate::{
    answer::Answer,
    body::Body,
    hops::{Failed, Sent},
    inbound::Inbound,
    permit::{Permit, Refusal, Submit, Waiting},
    problem::Problem,
    shared::Shared,
    upstream::{self, Clients},
};
use actix_web::http::StatusCode;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use pimento_admit::{Completion, RefusalReason};
use pimento_core::{TargetId, Time, Verdict};
use std::{io, time::Duration};
use tokio::sync::oneshot;

/// Sends a request to one target of this VM and takes its answer.
pub(crate) async fn send(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
    tried: &[TargetId],
    limit: Duration,
    sent: &Sent,
) -> Result<Answer, Failed> {
    let permit = admit(shared, inbound, tried).await?;
    let now = shared.clock.now();
    if now >= permit.grant.until || now >= inbound.deadline {
        permit.end(Completion::Cancelled);
        let detail = "the lease or the deadline ended before the request was sent";
        let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "late", detail);
        return Err(Failed::from(problem));
    }
    let target = permit.grant.target.clone();
    let url = format!("http://{}{}", permit.grant.address, inbound.path);
    sent.replace(Some(target.clone()));
    let limit = limit.min(inbound.deadline.since(now));
    let answer = upstream::exchange(shared, clients, inbound, body, url, &[], limit).await;
    match answer {
        Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
            shed(answer, permit, target)
        }
        Ok(answer) => Ok(guard(answer, permit, shared, now, inbound.deadline)),
        Err(lost) => {
            permit.end(lost.ending);
            // A target that can't be reached had no attempt.
            let target = (lost.ending != Completion::Unreachable).then_some(target);
            let problem = lost.problem;
            Err(Failed { problem, target })
        }
    }
}

/// Waits for a slot.
async fn admit(shared: &Shared, inbound: &Inbound, tried: &[TargetId]) -> Result<Permit, Failed> {
    let id = shared.next_id();
    let (reply, granted) = oneshot::channel();
    let submit = Submit {
        id,
        service: inbound.service.name.clone(),
        tenant: inbound.tenant.clone(),
        class: inbound.class,
        deadline: inbound.deadline,
        tried: tried.to_vec(),
        foreign: inbound.foreign,
        reply,
    };
    let mut waiting = Waiting {
        id,
        node: shared.node.clone(),
        armed: true,
    };
    shared.node.do_send(submit);
    let granted = granted.await.unwrap_or(Err(Refusal::Stopping));
    waiting.armed = false;
    match granted {
        Ok(grant) => {
            let node = shared.node.clone();
            Ok(Permit {
                grant,
                node,
                ending: Completion::Cancelled,
            })
        }
        Err(refusal) => Err(Failed::from(refused(refusal))),
    }
}

fn refused(refusal: Refusal) -> Problem {
    let (title, detail) = match refusal {
        Refusal::NoService => ("no-service", "the rules of this VM do not have the service"),
        Refusal::Admit(RefusalReason::NoTarget) => ("no-target", "this VM holds no usable target"),
        Refusal::Admit(reason) => (reason.as_str(), "no target can answer in time"),
        Refusal::Stopping => ("stopping", "this VM is stopping"),
    };
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, title, detail)
}

/// A target that sheds says so; any other 503 is its answer.
fn shed(answer: Answer, permit: Permit, target: TargetId) -> Result<Answer, Failed> {
    if answer.verdict() == Some(Verdict::NotRun) {
        permit.end(Completion::Shed);
        let detail = format!("target {target} shed the request");
        let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "shed", detail);
        return Err(Failed {
            problem,
            target: Some(target),
        });
    }
    permit.end(Completion::Failed);
    Ok(answer)
}

/// Keeps the slot until the answer's body has ended, and ends the body with an
/// error at the deadline.
fn guard(
    mut answer: Answer,
    permit: Permit,
    shared: &Shared,
    start: Time,
    deadline: Time,
) -> Answer {
    answer.headers.retain(|(name, _)| name != Verdict::HEADER);
    let clock = shared.clock;
    let state = (answer.body, Some(permit));
    let guarded = stream::unfold(state, move |(mut body, mut permit)| async move {
        permit.as_ref()?;
        let left = deadline.since(clock.now());
        let next = tokio::time::timeout(left, body.next()).await;
        let (ending, item) = match next {
            Ok(Some(Ok(chunk))) => return Some((Ok(chunk), (body, permit))),
            Ok(None) => (
                Completion::Ok {
                    latency: clock.now().since(start),
                },
                None,
            ),
            Ok(Some(Err(e))) => (Completion::Failed, Some(Err(e))),
            Err(_) => (
                Completion::TimedOut,
                Some(Err(io::ErrorKind::TimedOut.into())),
            ),
        };
        if let Some(permit) = permit.take() {
            permit.end(ending);
        }
        item.map(|item: io::Result<Bytes>| (item, (body, None)))
    });
    answer.body = guarded.boxed_local();
    answer
}
