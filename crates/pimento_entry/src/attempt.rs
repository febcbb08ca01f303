//! The attempts of one request: routing, retries and timeouts.

use crate::{
    answer::Answer,
    body::Body,
    dispatch, forward, hedge,
    inbound::Inbound,
    node::{FirstPauseEnd, PauseScope, RecordOutcome, Route, Routed},
    outcome_guard::OutcomeGuard,
    problem::Problem,
    shared::Shared,
    upstream::Clients,
};
use actix_web::http::StatusCode;
use pimento_admit::RefusalReason;
use pimento_core::{TargetId, Verdict, VmId};
use pimento_notices::UNUSABLE_DELAY;
use pimento_steer::{Attempts, Failure, Hop, NextStep};
use std::{cell::RefCell, time::Duration};

/// The title of a refusal because no target is usable.
const NO_TARGET: &str = RefusalReason::NoTarget.as_str();

/// The error of a failed attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptError {
    pub(crate) problem: Problem,
    /// The target that received the attempt, if any.
    pub(crate) target: Option<TargetId>,
}

impl From<Problem> for AttemptError {
    fn from(problem: Problem) -> Self {
        let target = None;
        Self { problem, target }
    }
}

impl AttemptError {
    /// The verdict; without one, the request may have run.
    pub(crate) fn verdict(&self) -> Verdict {
        self.problem.verdict.unwrap_or(Verdict::MayHaveRun)
    }

    /// Classifies the failure for the retry decision; `vm` is the VM at which
    /// the attempt failed.
    fn to_failure(&self, vm: &VmId) -> Failure {
        match (self.target.clone(), self.verdict()) {
            (Some(target), Verdict::NotRun) => Failure::Shed { target },
            (None, Verdict::NotRun) => Failure::Refused { vm: vm.clone() },
            (target, verdict) => {
                // Another target of the same VM may still succeed.
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

/// The target that the current attempt was sent to, if any.
pub(crate) type SentTarget = RefCell<Option<TargetId>>;

/// One attempt with its route.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) clients: &'a Clients,
    pub(crate) inbound: &'a Inbound,
    pub(crate) routed: Routed,
}

impl Attempt<'_> {
    /// Sends the request and waits at most `timeout` for the head of the
    /// response. Stores the target in `sent` as soon as it is chosen.
    pub(crate) async fn send(
        &self,
        body: Body,
        tried: &[TargetId],
        timeout: Duration,
        sent: &SentTarget,
    ) -> Result<Answer, AttemptError> {
        let (shared, clients, inbound) = (self.shared, self.clients, self.inbound);
        let Hop::Vm { address, .. } = &self.routed.hop else {
            return dispatch::send(shared, clients, inbound, body, tried, timeout, sent).await;
        };
        let mut guard = OutcomeGuard::new(shared, self.initial_outcome());
        match forward::send(shared, clients, inbound, body, *address, tried, timeout).await {
            Ok(mut answer) => {
                answer.count_bytes(move |bytes, complete| guard.set_answered(bytes, complete));
                Ok(answer)
            }
            Err(error) => {
                if error.verdict() == Verdict::NotRun {
                    guard.set_refused();
                }
                Err(error)
            }
        }
    }

    fn initial_outcome(&self) -> RecordOutcome {
        RecordOutcome::unknown(self.inbound.service.name.clone(), self.routed.hop.clone())
    }

    /// The VM that handles the attempt.
    fn vm(&self) -> &VmId {
        match &self.routed.hop {
            Hop::Local => &self.shared.settings.vm,
            Hop::Vm { vm, .. } => vm,
        }
    }
}

/// Makes attempts until one succeeds or no further one is allowed.
pub(crate) async fn run(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
) -> Result<Answer, Problem> {
    let mut attempts = new_attempts(shared, inbound);
    let mut body = Some(body);
    let mut last = None;
    // Whether all refusals so far were due to pauses.
    let mut only_pauses = true;
    while let Some(next) = next_body(&mut body) {
        let failure = match make_attempt(shared, clients, inbound, next, &mut attempts).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        only_pauses &= failure.error.problem.retry_after.is_some();
        if failure.unrouted && only_pauses {
            last = Some(failure.error.problem);
            break;
        }
        let decision = next_step(shared, &mut attempts, &failure);
        last = Some(failure.error.problem);
        match decision {
            NextStep::Retry { after } => tokio::time::sleep(after).await,
            NextStep::GiveUp { .. } => break,
        }
    }
    let problem = last.unwrap_or_else(no_target);
    let problem = with_caller_delay(shared, inbound, problem).await;
    Err(problem.with_verdict(attempts.verdict()))
}

/// Makes one attempt, with its hedge. The lack of a route counts as a refusal
/// by this VM.
async fn make_attempt(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
    attempts: &mut Attempts,
) -> Result<Answer, FailedAttempt> {
    let Some(routed) = route(shared, inbound, attempts.tried_vms()).await else {
        return Err(FailedAttempt {
            error: unrouted(shared, inbound, PauseScope::AllVms).await.into(),
            vm: shared.settings.vm.clone(),
            expected: Duration::ZERO,
            unrouted: true,
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

/// Makes a single attempt for a request that another entry VM forwarded. That
/// VM decides about retries.
pub(crate) async fn run_once(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
) -> Result<Answer, AttemptError> {
    let Some(routed) = route(shared, inbound, &[]).await else {
        let problem = unrouted(shared, inbound, PauseScope::ThisVm).await;
        return Err(problem.into());
    };
    let attempt = Attempt {
        shared,
        clients,
        inbound,
        routed,
    };
    let timeout = inbound.deadline.since(shared.clock.now());
    let sent = SentTarget::default();
    attempt
        .send(body, &inbound.tried_targets, timeout, &sent)
        .await
}

/// An attempt may take this multiple of the expected latency before a retry
/// replaces it.
const MAX_LATENCY_FACTOR: u32 = 4;

/// The time that an attempt may wait for the head of the response.
///
/// While retries are possible, that is half of the remaining time, so that a
/// connection that has gone silent can't use up the deadline, or
/// `MAX_LATENCY_FACTOR` times the expected latency if that is longer. If the
/// expected latency is unknown, it is all of the remaining time.
pub(crate) fn head_timeout(attempt: &Attempt<'_>, body: &Body) -> Duration {
    let inbound = attempt.inbound;
    let remaining = inbound.deadline.since(attempt.shared.clock.now());
    let expected = attempt.routed.expected;
    let may_retry = inbound.service.repeatable && inbound.service.retry.attempts > 1;
    match body {
        Body::Buffered(_) if may_retry && !expected.is_zero() => {
            remaining.min((remaining / 2).max(expected * MAX_LATENCY_FACTOR))
        }
        Body::Buffered(_) | Body::Stream(_) => remaining,
    }
}

/// Asks the node for the next hop.
pub(crate) async fn route(shared: &Shared, inbound: &Inbound, tried: &[VmId]) -> Option<Routed> {
    let route = Route {
        service: inbound.service.name.clone(),
        class: inbound.class,
        origin: inbound.origin.clone(),
        tried_vms: tried.to_vec(),
    };
    shared.node.send(route).await.ok().flatten()
}

fn new_attempts(shared: &Shared, inbound: &Inbound) -> Attempts {
    let now = shared.clock.now();
    let (service, class, deadline) = (&inbound.service, inbound.class, inbound.deadline);
    let mut budget = shared.retry_budget.lock().expect("no holder panics");
    Attempts::new(now, service, class, deadline, &mut budget)
}

/// The body for the next attempt: a buffered one can be sent again, a streamed
/// one only once.
fn next_body(body: &mut Option<Body>) -> Option<Body> {
    match body {
        Some(buffered) if buffered.try_clone().is_some() => buffered.try_clone(),
        _ => body.take(),
    }
}

/// A failed attempt, with the data for the retry decision.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) error: AttemptError,
    vm: VmId,
    expected: Duration,
    /// There was no VM to send the request to.
    unrouted: bool,
}

impl FailedAttempt {
    pub(crate) fn new(error: AttemptError, attempt: &Attempt<'_>) -> Self {
        let vm = attempt.vm().clone();
        let expected = attempt.routed.expected;
        Self {
            error,
            vm,
            expected,
            unrouted: false,
        }
    }
}

/// Decides whether to retry after a failed attempt.
fn next_step(shared: &Shared, attempts: &mut Attempts, failed_attempt: &FailedAttempt) -> NextStep {
    let failure = failed_attempt.error.to_failure(&failed_attempt.vm);
    let now = shared.clock.now();
    let mut budget = shared.retry_budget.lock().expect("no holder panics");
    attempts.record_failure(
        now,
        &failure,
        failed_attempt.expected,
        &mut budget,
        &mut rand::rng(),
    )
}

/// How long no target of the request's service is usable because of pauses.
pub(crate) async fn first_pause_end(
    shared: &Shared,
    inbound: &Inbound,
    scope: PauseScope,
) -> Option<Duration> {
    let service = inbound.service.name.clone();
    let message = FirstPauseEnd { service, scope };
    shared.node.send(message).await.ok().flatten()
}

/// The refusal of a request without a route.
async fn unrouted(shared: &Shared, inbound: &Inbound, scope: PauseScope) -> Problem {
    let left = first_pause_end(shared, inbound, scope).await;
    left.map_or_else(no_target, dispatch::paused)
}

fn no_target() -> Problem {
    let detail = "no reachable VM has a usable target for the service";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, NO_TARGET, detail)
}

/// Tells the caller of a service without a usable target when to try again.
///
/// The last refusal may know of one VM's targets only; while others are usable,
/// the caller may return at once.
async fn with_caller_delay(shared: &Shared, inbound: &Inbound, problem: Problem) -> Problem {
    let delay = match problem.retry_after {
        Some(_) => {
            let left = first_pause_end(shared, inbound, PauseScope::AllVms).await;
            left.map(|left| pimento_notices::after_pause(left, &mut rand::rng()))
        }
        None if problem.title == NO_TARGET => {
            let delay = pimento_notices::with_jitter(UNUSABLE_DELAY, &mut rand::rng());
            Some(delay)
        }
        None => None,
    };
    problem.with_retry_after(delay)
}
