//! Claims: the right to run a request that must not run twice.

use crate::{
    answer::Answer,
    headers,
    inbound::Inbound,
    problem::Problem,
    shared::{Shared, unix_millis},
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

/// The first wait before a claim that is in flight is asked for again; it
/// doubles.
const FIRST_POLL: Duration = Duration::from_millis(50);

/// The longest such wait.
const LAST_POLL: Duration = Duration::from_secs(1);

/// How often a record of an outcome is tried again.
const RECORD_TRIES: u32 = 10;

/// The wait between those tries.
const RECORD_WAIT: Duration = Duration::from_millis(500);

/// How far the clocks of entry and control VMs may lie apart where it matters
/// whether a key is too old to run, in milliseconds.
const CLOCK_MARGIN: u64 = 60 * 60 * 1_000;

/// The headers that make a request somebody's own.
const CREDENTIALS: [&str; 2] = ["authorization", "cookie"];

/// The claim that this VM holds for a request.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    slot: ClaimKey,
    holder: Holder,
    /// The claim whose place this request gives back, if it is a cancellation.
    cancels: Option<Cancel>,
}

/// What a claim led to.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// This VM, and nobody else, may run the request.
    Granted(Held),
    /// The request ran before, with this answer.
    Replay(Answer),
}

/// Reads the key of a request.
pub(crate) fn key(inbound: &Inbound) -> Result<Uuid, Problem> {
    parse_key(inbound, headers::KEY)?.ok_or_else(|| {
        let detail = "a service that is not repeatable needs a UUIDv7 as key";
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

/// Claims a request, and waits while another attempt of it is in flight.
pub(crate) async fn claim(
    shared: &web::Data<Shared>,
    inbound: &Inbound,
    key: Uuid,
    body: &Bytes,
) -> Result<Claimed, Problem> {
    let cancelled = parse_key(inbound, headers::CANCELS)?;
    let resource = resource(inbound)?;
    if let Some(key) = cancelled {
        check_cancelled(shared, &slot(inbound, key), key).await?;
    }
    let held = Held {
        slot: slot(inbound, key),
        holder: Holder {
            vm: shared.settings.vm.to_string(),
            incarnation: shared.instance,
            attempt: shared.next_id(),
        },
        cancels: cancelled.map(|key| Cancel {
            claim_key: Some(slot(inbound, key)),
            resource: resource.clone().unwrap_or_default(),
        }),
    };
    let places = inbound.service.cap.as_ref().map_or(0, |cap| cap.limit);
    let mut claim = Claim {
        claim_key: Some(held.slot.clone()),
        fingerprint: fingerprint(inbound, body),
        resource: resource.filter(|_| takes_place(inbound, &held)),
        limit: places,
        holder: Some(held.holder.clone()),
        timeout: 0,
    };
    let mut poll = FIRST_POLL;
    let mut waited = false;
    loop {
        let left = inbound.deadline.since(shared.clock.now());
        if left.is_zero() {
            return Err(in_flight());
        }
        claim.timeout = left.as_millis() as u64;
        let kind = match propose(shared, Op::Claim(claim.clone())).await {
            Ok(kind) => kind,
            Err(error) => {
                // The claim may be in the log although nobody said so.
                if !error.verdict.allows_resend() {
                    record(shared, Op::Free(free(&held)));
                }
                return Err(if waited {
                    in_flight()
                } else {
                    unreachable(error)
                });
            }
        };
        match kind {
            Some(OutcomeKind::Granted(())) => return Ok(Claimed::Granted(held)),
            Some(OutcomeKind::Replay(answer)) => return Ok(Claimed::Replay(replay(answer))),
            Some(OutcomeKind::InFlight(_)) => {
                waited = true;
                tokio::time::sleep(poll.min(left)).await;
                poll = (poll * 2).min(LAST_POLL);
            }
            other => return Err(refused(other)),
        }
    }
}

/// A claim as the control group shows it.
#[derive(Debug, Deserialize)]
struct Shown {
    state: String,
}

/// Lets only a request be cancelled that can't run any more.
///
/// One that can might run after its cancellation, and its place would be given
/// back all the same.
async fn check_cancelled(shared: &Shared, slot: &ClaimKey, key: Uuid) -> Result<(), Problem> {
    let (seconds, _) = key.get_timestamp().map_or((u64::MAX, 0), |t| t.to_unix());
    let age = unix_millis().saturating_sub(seconds.saturating_mul(1_000));
    if age > RETENTION_MS + CLOCK_MARGIN {
        return Ok(());
    }
    let query = StateQuery::new(QueryKind::Claim(slot.clone()));
    let shown = shared
        .control
        .query_state(query)
        .await
        .map_err(unreachable)?;
    let shown = serde_json::from_slice::<Shown>(&shown).ok();
    if shown.is_some_and(|claim| claim.state == "done") {
        return Ok(());
    }
    let detail = "the request to cancel is not known to have run";
    let problem = Problem::not_run(StatusCode::CONFLICT, "not-done", detail);
    Err(problem.with_field(headers::CANCELS))
}

/// Whether the request counts against its resource's cap.
fn takes_place(inbound: &Inbound, held: &Held) -> bool {
    let safe = matches!(inbound.method, Method::GET | Method::HEAD | Method::OPTIONS);
    inbound.service.cap.is_some() && !safe && held.cancels.is_none()
}

fn slot(inbound: &Inbound, key: Uuid) -> ClaimKey {
    ClaimKey {
        key: key.as_bytes().to_vec(),
        tenant: inbound.tenant.to_string(),
        service: inbound.service.name.to_string(),
    }
}

/// The resource that the path names, for a service with a cap.
fn resource(inbound: &Inbound) -> Result<Option<String>, Problem> {
    let Some(cap) = &inbound.service.cap else {
        return Ok(None);
    };
    let path = inbound.path.split('?').next().unwrap_or_default();
    let count = usize::from(cap.segment) + 1;
    let segments = path.split('/').skip(1).take(count).map(plain_segment);
    let segments: Option<Vec<String>> = segments.collect();
    match segments {
        Some(mut segments) if segments.len() == count => Ok(segments.pop()),
        _ => {
            let detail = format!("segment {} of the path names no resource", cap.segment);
            Err(Problem::not_run(StatusCode::BAD_REQUEST, "no-resource", detail).with_field("path"))
        }
    }
}

/// Decodes a segment, so that one resource has one name; none if a target
/// might read the path as another one.
fn plain_segment(segment: &str) -> Option<String> {
    let decoded = percent_decode_str(segment).decode_utf8().ok()?;
    let plain = !decoded.contains(['/', '\\']) && !matches!(&*decoded, "" | "." | "..");
    plain.then(|| decoded.into_owned())
}

fn fingerprint(inbound: &Inbound, body: &Bytes) -> Vec<u8> {
    let digest: [u8; 32] = Sha256::digest(body).into();
    let mut credentials = Vec::new();
    for name in CREDENTIALS {
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

fn free(held: &Held) -> Free {
    Free {
        claim_key: Some(held.slot.clone()),
        holder: Some(held.holder.clone()),
    }
}

/// Records in the background that a claimed request was not run.
pub(crate) fn not_run(shared: &web::Data<Shared>, held: &Held) {
    record(shared, Op::Free(free(held)));
}

/// Records in the background that a claimed request ran, and gives back the
/// place that it cancelled.
pub(crate) fn ran(
    shared: &web::Data<Shared>,
    held: Held,
    answer: Option<ledger::Answer>,
    success: bool,
) {
    let finish = Finish {
        claim_key: Some(held.slot),
        holder: Some(held.holder),
        answer,
    };
    record(shared, Op::Finish(finish));
    if let Some(cancel) = held.cancels.filter(|_| success) {
        record(shared, Op::Cancel(cancel));
    }
}

/// Proposes an operation until the control group has it. All of them may be
/// proposed again safely; one that never gets there leaves the claim to its
/// deadline, after which resends are told that it may have run.
fn record(shared: &web::Data<Shared>, op: Op) {
    let shared = shared.clone();
    actix_rt::spawn(async move {
        for _ in 0..RECORD_TRIES {
            if propose(&shared, op.clone()).await.is_ok() {
                break;
            }
            tokio::time::sleep(RECORD_WAIT).await;
        }
    });
}

/// A stored answer as the caller sees it again.
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
    Answer::whole(status, headers, answer.body.into())
}

fn unreachable(error: ControlError) -> Problem {
    // Nothing was dispatched on this claim, whatever became of it.
    let detail = format!("the claim could not be recorded: {error}");
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-ledger", detail)
}

fn in_flight() -> Problem {
    let detail = "another attempt with this key may still be running";
    Problem::new(StatusCode::CONFLICT, "in-flight", detail).with_verdict(Verdict::MayHaveRun)
}

fn refused(kind: Option<OutcomeKind>) -> Problem {
    match kind {
        Some(OutcomeKind::MayHaveRun(cause)) => may_have_run(cause),
        Some(OutcomeKind::Mismatch(())) => {
            // The other request may be this one with renewed credentials.
            let detail = "the key was used for a request that differs from this one";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            let problem = Problem::new(status, "key-mismatch", detail);
            problem
                .with_verdict(Verdict::MayHaveRun)
                .with_field(headers::KEY)
        }
        Some(OutcomeKind::CapFull(limit)) => {
            let detail = format!("the resource has no place left under its cap of {limit}");
            Problem::not_run(StatusCode::CONFLICT, "cap-full", detail)
        }
        Some(OutcomeKind::TooOld(_)) => {
            let detail = "the key is older than what is remembered";
            let problem = Problem::new(StatusCode::GONE, "old-key", detail);
            problem
                .with_verdict(Verdict::MayHaveRun)
                .with_field(headers::KEY)
        }
        Some(OutcomeKind::LedgerFull(())) => {
            let detail = "no further claims can be remembered";
            Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "ledger-full", detail)
        }
        Some(OutcomeKind::Malformed(field)) => {
            let field = ledger::Field::try_from(field);
            let detail = format!("the claim is malformed: {field:?}");
            Problem::not_run(StatusCode::BAD_REQUEST, "bad-claim", detail)
        }
        other => {
            let detail = format!("the ledger answered {other:?}");
            Problem::not_run(StatusCode::INTERNAL_SERVER_ERROR, "ledger", detail)
        }
    }
}

fn may_have_run(cause: i32) -> Problem {
    let (detail, verdict) = match Cause::try_from(cause) {
        Ok(Cause::NotStored) => ("the request ran; its answer is not stored", Verdict::Ran),
        Ok(Cause::HolderDied) => ("the VM that ran it has died", Verdict::MayHaveRun),
        _ => ("an earlier attempt may have run it", Verdict::MayHaveRun),
    };
    Problem::new(StatusCode::CONFLICT, "claimed", detail).with_verdict(verdict)
}
