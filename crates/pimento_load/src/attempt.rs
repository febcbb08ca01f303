//! Sending one attempt of a request.

use crate::{
    caller::Callers,
    outcome::{AttemptOutcome, Failure},
    schedule::Arrival,
};
use awc::{
    ClientRequest,
    error::{ConnectError, SendRequestError},
    http::header::HeaderMap,
};
use pimento_core::Verdict;
use pimento_standin::{TARGET_HEADER, repeat_to_size};
use serde::Deserialize;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, timeout_at};

/// How long to wait past the deadline for the failure response, which carries
/// the verdict.
const VERDICT_GRACE: Duration = Duration::from_secs(1);

const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The lowest HTTP status that is an error.
const MIN_ERROR_STATUS: u16 = 400;

/// The part of an RFC 9457 problem body that the report shows.
#[derive(Debug, Default, Deserialize)]
struct Problem {
    #[serde(default)]
    title: String,
}

/// Sends a request to an entry VM and classifies its response.
pub(crate) async fn send(
    callers: &Callers,
    arrival: &Arrival,
    key: Option<&str>,
    entry: SocketAddr,
    deadline: Instant,
) -> AttemptOutcome {
    let exchange = send_and_check(callers, arrival, key, entry, deadline);
    match timeout_at(deadline + VERDICT_GRACE, exchange).await {
        Ok(outcome) => outcome,
        Err(_) => AttemptOutcome::Lost,
    }
}

async fn send_and_check(
    callers: &Callers,
    arrival: &Arrival,
    key: Option<&str>,
    entry: SocketAddr,
    deadline: Instant,
) -> AttemptOutcome {
    let nonce = format!("{:016x}", arrival.nonce);
    let request = build_request(callers, arrival, key, entry, deadline, &nonce);
    let echoed = match key {
        Some(_) => repeat_to_size(nonce.as_bytes(), callers.args.body),
        None => repeat_to_size(nonce.as_bytes(), 0),
    };
    let result = match key {
        Some(_) => request.send_body(echoed.clone()).await,
        None => request.send().await,
    };
    let mut response = match result {
        Ok(response) => response,
        Err(error) => return classify_send_error(&error),
    };
    let status = response.status().as_u16();
    let verdict = parse_verdict(response.headers());
    let from_target = response.headers().contains_key(TARGET_HEADER);
    let Ok(body) = response.body().limit(MAX_RESPONSE_BYTES).await else {
        return AttemptOutcome::Truncated;
    };
    if status >= MIN_ERROR_STATUS {
        if from_target && verdict.is_none() {
            return AttemptOutcome::TargetError;
        }
        let problem: Problem = serde_json::from_slice(&body).unwrap_or_default();
        let title = problem.title;
        return AttemptOutcome::Failure(Failure {
            status,
            verdict,
            title,
        });
    }
    if body == repeat_to_size(&echoed, callers.args.answer) {
        AttemptOutcome::Answer
    } else {
        AttemptOutcome::Wrong
    }
}

fn build_request(
    callers: &Callers,
    arrival: &Arrival,
    key: Option<&str>,
    entry: SocketAddr,
    deadline: Instant,
    nonce: &str,
) -> ClientRequest {
    let args = &callers.args;
    let service = &callers.services[arrival.service].name;
    let resource = arrival.resource;
    let size = args.answer;
    let path = format!("http://{entry}/s/{service}/r{resource}?nonce={nonce}&size={size}");
    let mut request = match key {
        Some(key) => callers
            .client
            .post(path)
            .insert_header(("idempotency-key", key)),
        None => callers.client.get(path),
    };
    if let Some(tenant) = &args.tenant {
        request = request.insert_header(("pimento-tenant", tenant.as_str()));
    }
    if let Some(class) = arrival.class {
        request = request.insert_header(("pimento-class", class.as_str()));
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    request.insert_header(("pimento-timeout-ms", remaining.as_millis().to_string()))
}

/// Distinguishes a failure to connect from a connection that closed after the
/// request may have been sent.
fn classify_send_error(error: &SendRequestError) -> AttemptOutcome {
    match error {
        // The peer closed a connection that had been established.
        SendRequestError::Connect(ConnectError::Disconnected) => AttemptOutcome::Lost,
        SendRequestError::Connect(_) => AttemptOutcome::Unreachable,
        _ => AttemptOutcome::Lost,
    }
}

fn parse_verdict(headers: &HeaderMap) -> Option<Verdict> {
    headers.get(Verdict::HEADER)?.to_str().ok()?.parse().ok()
}
