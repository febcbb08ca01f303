//! Claims: the exclusive right to run a request that must not run twice.

use crate::{
    answer::Answer,
    headers,
    inbound::Inbound,
    problem::Problem,
    shared::{OpenRequest, Shared, unix_millis},
};
use actix_web::{
    http::{
        Method, StatusCode,
        header::{HeaderName, HeaderValue},
    },
    web,
};
use bytes::Bytes;
use percent_encoding::percent_decode_str;
use pimento_control::{ControlError, QueryKind, StateQuery};
use pimento_core::Verdict;
use pimento_state::{
    Command, Effect, Op,
    ledger::{
        self, Cancel, Cause, Claim, ClaimKey, Finish, Free, Holder, OutcomeKind, RETENTION_MS,
    },
};
use serde::Deserialize;
use sha2::{Digest, Sha256};
use std::time::Duration;
use uuid::Uuid;

/// Delay before the first retry of a claim whose request is in flight; each
/// retry doubles it.
const MIN_POLL_DELAY: Duration = Duration::from_millis(50);

/// Upper bound on that delay.
const MAX_POLL_DELAY: Duration = Duration::from_secs(1);

/// Attempts to record an outcome in the ledger.
const MAX_RECORD_ATTEMPTS: u32 = 10;

/// Delay between attempts to record an outcome.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Assumed bound on the clock skew between entry VMs and control VMs, in
/// milliseconds, for deciding whether a key is too old to run.
const MAX_CLOCK_SKEW_MS: u64 = 60 * 60 * 1_000;

/// Headers that identify the caller; they are part of the fingerprint, so that
/// a replay never reaches someone else.
const CREDENTIAL_HEADERS: [&str; 2] = ["authorization", "cookie"];

/// A claim that this VM holds for a request.
#[derive(Clone, Debug)]
pub(crate) struct HeldClaim {
    claim_key: ClaimKey,
    holder: Holder,
    /// If the request is a cancellation: the cancelled request, whose reservation
    /// it releases.
    cancellation: Option<Cancel>,
}

/// The result of claiming a request.
#[derive(Debug)]
pub(crate) enum ClaimResult {
    /// This VM has the exclusive right to run the request.
    Granted(HeldClaim),
    /// The request ran before; this is its stored answer.
    Replay(Answer),
}

/// Returns the idempotency key, which the request must have.
pub(crate) fn require_key(inbound: &Inbound) -> Result<Uuid, Problem> {
    parse_key(inbound, headers::KEY)?.ok_or_else(|| {
        let detail = "a service that is not repeatable requires a UUIDv7 as idempotency key";
        Problem::not_run(StatusCode::BAD_REQUEST, "no-key", detail).with_field(headers::KEY)
    })
}

fn parse_key(inbound: &Inbound, name: &'static str) -> Result<Option<Uuid>, Problem> {
    let Some(value) = inbound.headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    match Uuid::parse_str(text) {
        Ok(key) if key.get_version_num() == 7 => Ok(Some(key)),
        _ => {
            let detail = "expected a UUIDv7";
            Err(Problem::not_run(StatusCode::BAD_REQUEST, "bad-key", detail).with_field(name))
        }
    }
}

/// Claims a request. Waits while another attempt with the same key is in
/// flight.
pub(crate) async fn claim(
    shared: &web::Data<Shared>,
    inbound: &Inbound,
    key: Uuid,
    body: &Bytes,
) -> Result<ClaimResult, Problem> {
    let cancelled = parse_key(inbound, headers::CANCELS)?;
    let resource = resource(inbound)?;
    if let Some(key) = cancelled {
        check_cancellable(shared, &claim_key(inbound, key), key).await?;
    }
    let held = HeldClaim {
        claim_key: claim_key(inbound, key),
        holder: Holder {
            vm: shared.settings.vm.to_string(),
            incarnation: shared.incarnation,
            attempt: shared.next_request_id(),
        },
        cancellation: cancelled.map(|key| Cancel {
            claim_key: Some(claim_key(inbound, key)),
            resource: resource.clone().unwrap_or_default(),
        }),
    };
    let cap_limit = inbound.service.cap.as_ref().map_or(0, |cap| cap.limit);
    let mut claim = Claim {
        claim_key: Some(held.claim_key.clone()),
        fingerprint: fingerprint(inbound, body),
        resource: resource.filter(|_| needs_reservation(inbound, &held)),
        limit: cap_limit,
        holder: Some(held.holder.clone()),
        timeout: 0,
    };
    let mut poll_delay = MIN_POLL_DELAY;
    let mut waited = false;
    loop {
        let remaining = inbound.deadline.since(shared.clock.now());
        if remaining.is_zero() {
            return Err(in_flight_problem());
        }
        claim.timeout = remaining.as_millis() as u64;
        let kind = match propose(shared, Op::Claim(claim.clone())).await {
            Ok(kind) => kind,
            Err(error) => {
                // The claim may have been committed although no answer arrived.
                if !error.verdict.allows_resend() {
                    record_in_background(shared, Op::Free(free_operation(&held)));
                }
                return Err(if waited {
                    in_flight_problem()
                } else {
                    ledger_unreachable(error)
                });
            }
        };
        match kind {
            Some(OutcomeKind::Granted(())) => return Ok(ClaimResult::Granted(held)),
            Some(OutcomeKind::Replay(answer)) => return Ok(ClaimResult::Replay(replay(answer))),
            Some(OutcomeKind::InFlight(_)) => {
                waited = true;
                tokio::time::sleep(poll_delay.min(remaining)).await;
                poll_delay = (poll_delay * 2).min(MAX_POLL_DELAY);
            }
            other => return Err(refusal_problem(other)),
        }
    }
}

/// The state of a claim, as the control group reports it.
#[derive(Debug, Deserialize)]
struct ClaimState {
    state: String,
}

/// Rejects a cancellation unless the cancelled request is done or its key is
/// too old to run.
///
/// Otherwise the request could run after its cancellation, although its
/// reservation has been released.
async fn check_cancellable(
    shared: &Shared,
    claim_key: &ClaimKey,
    key: Uuid,
) -> Result<(), Problem> {
    let (seconds, _) = key.get_timestamp().map_or((u64::MAX, 0), |t| t.to_unix());
    let age = unix_millis().saturating_sub(seconds.saturating_mul(1_000));
    if age > RETENTION_MS + MAX_CLOCK_SKEW_MS {
        return Ok(());
    }
    let query = StateQuery::new(QueryKind::Claim(claim_key.clone()));
    let claim_state = shared
        .control
        .query_state(query)
        .await
        .map_err(ledger_unreachable)?;
    let claim_state = serde_json::from_slice::<ClaimState>(&claim_state).ok();
    if claim_state.is_some_and(|claim| claim.state == "done") {
        return Ok(());
    }
    let detail = "the request to cancel is not known to have run";
    let problem = Problem::not_run(StatusCode::CONFLICT, "not-done", detail);
    Err(problem.with_field(headers::CANCELS))
}

/// Whether the request needs a reservation of its capped resource.
fn needs_reservation(inbound: &Inbound, held: &HeldClaim) -> bool {
    let is_safe = matches!(inbound.method, Method::GET | Method::HEAD | Method::OPTIONS);
    inbound.service.cap.is_some() && !is_safe && held.cancellation.is_none()
}

fn claim_key(inbound: &Inbound, key: Uuid) -> ClaimKey {
    ClaimKey {
        key: key.as_bytes().to_vec(),
        tenant: inbound.tenant.to_string(),
        service: inbound.service.name.to_string(),
    }
}

/// Extracts the resource from the path if the service has a cap.
fn resource(inbound: &Inbound) -> Result<Option<String>, Problem> {
    let Some(cap) = &inbound.service.cap else {
        return Ok(None);
    };
    let path = inbound.path.split('?').next().unwrap_or_default();
    let count = usize::from(cap.segment) + 1;
    let segments = path.split('/').skip(1).take(count).map(decode_segment);
    let segments: Option<Vec<String>> = segments.collect();
    match segments {
        Some(mut segments) if segments.len() == count => Ok(segments.pop()),
        _ => {
            let detail = format!("segment {} of the path names no resource", cap.segment);
            Err(Problem::not_run(StatusCode::BAD_REQUEST, "no-resource", detail).with_field("path"))
        }
    }
}

/// Decodes a path segment, so that each resource has exactly one name. Returns
/// `None` if a target might resolve the path to a different resource.
fn decode_segment(segment: &str) -> Option<String> {
    let decoded = percent_decode_str(segment).decode_utf8().ok()?;
    let is_plain = !decoded.contains(['/', '\\']) && !matches!(&*decoded, "" | "." | "..");
    is_plain.then(|| decoded.into_owned())
}

fn fingerprint(inbound: &Inbound, body: &Bytes) -> Vec<u8> {
    let digest: [u8; 32] = Sha256::digest(body).into();
    let mut credentials = Vec::new();
    for name in CREDENTIAL_HEADERS {
        for value in inbound.headers.get_all(name) {
            credentials.extend_from_slice(value.as_bytes());
            credentials.push(b'\n');
        }
    }
    let method = inbound.method.as_str();
    ledger::fingerprint(method, &inbound.path, &digest, &credentials).to_vec()
}

async fn propose(shared: &Shared, op: Op) -> Result<Option<OutcomeKind>, ControlError> {
    let command = Command::new(unix_millis(), op);
    let outcome = shared.control.propose(&command).await?;
    match outcome.effect {
        Some(Effect::Ledger(outcome)) => Ok(outcome.kind),
        _ => Ok(None),
    }
}

fn free_operation(held: &HeldClaim) -> Free {
    Free {
        claim_key: Some(held.claim_key.clone()),
        holder: Some(held.holder.clone()),
    }
}

/// Records in the background that a claimed request did not run.
pub(crate) fn record_not_run(shared: &web::Data<Shared>, held: &HeldClaim) {
    record_in_background(shared, Op::Free(free_operation(held)));
}

/// Records in the background that a claimed request ran. A successful
/// cancellation also releases the reservation of the request that it cancels.
pub(crate) fn record_ran(
    shared: &web::Data<Shared>,
    held: HeldClaim,
    answer: Option<ledger::Answer>,
    success: bool,
) {
    let finish = Finish {
        claim_key: Some(held.claim_key),
        holder: Some(held.holder),
        answer,
    };
    record_in_background(shared, Op::Finish(finish));
    if let Some(cancel) = held.cancellation.filter(|_| success) {
        record_in_background(shared, Op::Cancel(cancel));
    }
}

/// Proposes an operation in the background, with retries, which is safe since
/// all operations are idempotent. If none succeeds, the claim stays until its
/// deadline; resends are then told that the request may have run. The request
/// counts as open until then, so that a graceful shutdown waits for its outcome.
fn record_in_background(shared: &web::Data<Shared>, op: Op) {
    let open_request = OpenRequest::begin(shared);
    let shared = shared.clone();
    actix_rt::spawn(async move {
        for _ in 0..MAX_RECORD_ATTEMPTS {
            if propose(&shared, op.clone()).await.is_ok() {
                break;
            }
            tokio::time::sleep(RECORD_RETRY_DELAY).await;
        }
        drop(open_request);
    });
}

/// Converts a stored answer into a response that is marked as replayed.
fn replay(answer: ledger::Answer) -> Answer {
    let status = u16::try_from(answer.status).unwrap_or_default();
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = answer.headers.iter().filter_map(|header| {
        let name = HeaderName::try_from(header.name.as_str()).ok()?;
        Some((name, HeaderValue::from_bytes(&header.value).ok()?))
    });
    let replayed = (
        HeaderName::from_static(headers::REPLAYED),
        HeaderValue::from_static("true"),
    );
    let headers = headers.chain([replayed]).collect();
    Answer::from_bytes(status, headers, answer.body.into())
}

fn ledger_unreachable(error: ControlError) -> Problem {
    // The request was not sent under this claim, whether or not the claim was
    // committed.
    let detail = format!("the claim could not be recorded: {error}");
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-ledger", detail)
}

fn in_flight_problem() -> Problem {
    let detail = "another attempt with this key may still be running";
    Problem::new(StatusCode::CONFLICT, "in-flight", detail).with_verdict(Verdict::MayHaveRun)
}

fn refusal_problem(kind: Option<OutcomeKind>) -> Problem {
    match kind {
        Some(OutcomeKind::MayHaveRun(cause)) => may_have_run_problem(cause),
        Some(OutcomeKind::Mismatch(())) => {
            // The key may belong to this same request, sent with renewed
            // credentials.
            let detail = "the key was already used for a different request";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            let problem = Problem::new(status, "key-mismatch", detail);
            problem
                .with_verdict(Verdict::MayHaveRun)
                .with_field(headers::KEY)
        }
        Some(OutcomeKind::CapFull(limit)) => {
            let detail = format!("the resource has reached its cap of {limit}");
            Problem::not_run(StatusCode::CONFLICT, "cap-full", detail)
        }
        Some(OutcomeKind::TooOld(_)) => {
            let detail = "the key is older than the ledger's retention";
            let problem = Problem::new(StatusCode::GONE, "old-key", detail);
            problem
                .with_verdict(Verdict::MayHaveRun)
                .with_field(headers::KEY)
        }
        Some(OutcomeKind::LedgerFull(())) => {
            let detail = "the ledger can't store further claims";
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "ledger-full", detail)
        }
        Some(OutcomeKind::Malformed(field)) => {
            let field = ledger::Field::try_from(field);
            let detail = format!("the claim is malformed: {field:?}");
            Problem::not_run(StatusCode::BAD_REQUEST, "bad-claim", detail)
        }
        other => {
            let detail = format!("unexpected ledger outcome: {other:?}");
            Problem::not_run(StatusCode::INTERNAL_SERVER_ERROR, "ledger", detail)
        }
    }
}

fn may_have_run_problem(cause: i32) -> Problem {
    let (detail, verdict) = match Cause::try_from(cause) {
        Ok(Cause::NotStored) => ("the request ran; its answer is not stored", Verdict::Ran),
        Ok(Cause::HolderDied) => ("the VM that held the claim has died", Verdict::MayHaveRun),
        _ => (
            "an earlier attempt may have run the request",
            Verdict::MayHaveRun,
        ),
    };
    Problem::new(StatusCode::CONFLICT, "claimed", detail).with_verdict(verdict)
}
