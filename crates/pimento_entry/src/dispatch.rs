//! Sends a request to a target whose lease this VM holds.

use crate::{
    answer::Answer,
    attempt::{self, AttemptError, SentTarget},
    body::Body,
    inbound::Inbound,
    node::{ApplyNotice, PauseScope},
    notices,
    permit::{Permit, QueueGuard, Refusal, RequestPermit},
    problem::Problem,
    relay::{self, BodyEnd},
    shared::Shared,
    upstream::{self, Clients},
};
use actix_web::http::StatusCode;
use pimento_admit::{Completion, RefusalReason};
use pimento_core::{TargetId, Time, Verdict};
use pimento_notices::TargetNotice;
use std::time::Duration;
use tokio::sync::oneshot;

/// Acquires a permit, sends the request to its target and returns the response.
///
/// What the target says of itself is recorded before anything else happens, so
/// that no later request is sent against its word.
pub(crate) async fn send(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
    tried: &[TargetId],
    timeout: Duration,
    sent: &SentTarget,
) -> Result<Answer, AttemptError> {
    let permit = acquire_usable_permit(shared, inbound, tried).await?;
    let now = shared.clock.now();
    if now >= permit.grant.send_by || now >= inbound.deadline {
        permit.release(Completion::Cancelled);
        let detail = "the lease or the deadline ended before the request was sent";
        let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "late", detail);
        return Err(AttemptError::from(problem));
    }
    let target = permit.grant.target.clone();
    let url = format!("http://{}{}", permit.grant.address, inbound.path);
    sent.replace(Some(target.clone()));
    let timeout = timeout.min(inbound.deadline.since(now));
    let client = clients.for_target(&inbound.service);
    let answer = upstream::exchange(shared, client, inbound, body, url, &[], timeout).await;
    let notice = record_notice(shared, inbound, &permit, answer.as_ref().ok());
    match answer {
        Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
            if answer.verdict() == Some(Verdict::NotRun) {
                return Err(shed_error(shared, inbound, permit, notice).await);
            }
            Ok(hold_permit(answer, permit, shared, now, inbound.deadline))
        }
        Ok(mut answer) => {
            answer.headers.retain(|(name, _)| name != Verdict::HEADER);
            Ok(hold_permit(answer, permit, shared, now, inbound.deadline))
        }
        Err(error) => {
            permit.release(error.completion);
            // An unreachable target did not receive the attempt.
            let target = (error.completion != Completion::Unreachable).then_some(target);
            let problem = error.problem;
            Err(AttemptError { problem, target })
        }
    }
}

/// Waits for a permit on a target that wants requests. A notice may arrive
/// after the permit was granted; admission learns of it before the next one.
async fn acquire_usable_permit(
    shared: &Shared,
    inbound: &Inbound,
    tried: &[TargetId],
) -> Result<Permit, AttemptError> {
    loop {
        let permit = acquire_permit(shared, inbound, tried).await?;
        let grant = &permit.grant;
        let now = shared.clock.now();
        let hold = shared.notices.hold(now, &grant.target, grant.incarnation);
        if hold.is_none() {
            return Ok(permit);
        }
        permit.release(Completion::Cancelled);
    }
}

/// Records what the target said of itself in its answer, and tells admission.
fn record_notice(
    shared: &Shared,
    inbound: &Inbound,
    permit: &Permit,
    answer: Option<&Answer>,
) -> TargetNotice {
    let notice = answer.map_or(TargetNotice::NONE, |answer| {
        notices::read(answer, &inbound.service.name, &shared.metrics)
    });
    if shared.notices.record(&permit.grant, notice) {
        let target = permit.grant.target.clone();
        shared.node.do_send(ApplyNotice { target });
    }
    notice
}

/// Waits in the admission queue for a permit.
async fn acquire_permit(
    shared: &Shared,
    inbound: &Inbound,
    tried: &[TargetId],
) -> Result<Permit, AttemptError> {
    let id = shared.next_request_id();
    let (reply, decision) = oneshot::channel();
    let message = RequestPermit {
        id,
        service: inbound.service.name.clone(),
        tenant: inbound.tenant.clone(),
        class: inbound.class,
        deadline: inbound.deadline,
        tried_targets: tried.to_vec(),
        cross_region: inbound.cross_region,
        reply,
    };
    let mut queue_guard = QueueGuard {
        id,
        node: shared.node.clone(),
        armed: true,
    };
    shared.node.do_send(message);
    let decision = decision.await.unwrap_or(Err(Refusal::Stopping));
    queue_guard.armed = false;
    match decision {
        Ok(grant) => {
            let node = shared.node.clone();
            Ok(Permit {
                grant,
                node,
                completion: Completion::Cancelled,
            })
        }
        Err(refusal) => {
            let now = shared.clock.now();
            Err(AttemptError::from(refusal_problem(now, refusal)))
        }
    }
}

fn refusal_problem(now: Time, refusal: Refusal) -> Problem {
    let (title, detail) = match refusal {
        Refusal::Admit(RefusalReason::Paused { until }) => return paused(until.since(now)),
        Refusal::NoService => (
            "no-service",
            "the rules of this VM don't contain the service",
        ),
        Refusal::Admit(RefusalReason::NoTarget) => ("no-target", "this VM holds no usable target"),
        Refusal::Admit(reason) => (reason.as_str(), "no target can answer in time"),
        Refusal::Stopping => ("stopping", "this VM is stopping"),
    };
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, title, detail)
}

/// The refusal while all targets of a service pause for this much longer.
pub(crate) fn paused(left: Duration) -> Problem {
    let detail = "all targets of the service want no requests for a while";
    let retry_after = pimento_notices::after_pause(left, &mut rand::rng());
    let reason = RefusalReason::Paused { until: Time::ZERO }.as_str();
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, detail)
        .with_retry_after(Some(retry_after))
}

/// The error of a request that its target shed. If the target pauses now, and
/// all others of this VM with it, the error tells when the first pause ends.
async fn shed_error(
    shared: &Shared,
    inbound: &Inbound,
    permit: Permit,
    notice: TargetNotice,
) -> AttemptError {
    let target = permit.grant.target.clone();
    let detail = format!("target {target} shed the request");
    let problem = Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "shed", detail);
    let target = Some(target);
    if notice.pause.is_none() {
        permit.release(Completion::Shed);
        return AttemptError { problem, target };
    }
    permit.release(Completion::Paused);
    let left = attempt::first_pause_end(shared, inbound, PauseScope::ThisVm).await;
    let retry_after = left.map(|left| pimento_notices::after_pause(left, &mut rand::rng()));
    let problem = problem.with_retry_after(retry_after);
    AttemptError { problem, target }
}

/// Holds the permit until the response's body has ended. At the deadline the
/// body ends with an error.
fn hold_permit(
    mut answer: Answer,
    permit: Permit,
    shared: &Shared,
    start: Time,
    deadline: Time,
) -> Answer {
    let clock = shared.clock;
    let is_failure = answer.status == StatusCode::SERVICE_UNAVAILABLE;
    let release = move |end| {
        permit.release(match end {
            BodyEnd::Complete if is_failure => Completion::Failed,
            BodyEnd::Complete => Completion::Ok {
                latency: clock.now().since(start),
            },
            BodyEnd::Failed => Completion::Failed,
            BodyEnd::TimedOut => Completion::TimedOut,
            BodyEnd::Dropped => Completion::Cancelled,
        });
    };
    let timeout = deadline.since(clock.now());
    answer.body = relay::until_deadline(answer.body, timeout, release);
    answer
}
