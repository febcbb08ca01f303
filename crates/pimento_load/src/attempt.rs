//! One attempt of a request.

use crate::{
    caller::Callers,
    outcome::{Attempt, Failure},
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

/// How long callers wait past the deadline for the system's verdict.
const GRACE: Duration = Duration::from_secs(1);

/// The largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// The first status of errors.
const FIRST_ERROR: u16 = 400;

/// The body of a failure, as far as callers need it.
#[derive(Debug, Default, Deserialize)]
struct Problem {
    #[serde(default)]
    title: String,
}

/// Sends a request to an entry VM and waits for its answer.
pub(crate) async fn send(
    callers: &Callers,
    arrival: &Arrival,
    key: Option<&str>,
    entry: SocketAddr,
    deadline: Instant,
) -> Attempt {
    let exchange = exchange(callers, arrival, key, entry, deadline);
    match timeout_at(deadline + GRACE, exchange).await {
        Ok(attempt) => attempt,
        Err(_) => Attempt::Lost,
    }
}

async fn exchange(
    callers: &Callers,
    arrival: &Arrival,
    key: Option<&str>,
    entry: SocketAddr,
    deadline: Instant,
) -> Attempt {
    let nonce = format!("{:016x}", arrival.nonce);
    let request = request(callers, arrival, key, entry, deadline, &nonce);
    let text = match key {
        Some(_) => repeat_to_size(nonce.as_bytes(), callers.args.body),
        None => repeat_to_size(nonce.as_bytes(), 0),
    };
    let sent = match key {
        Some(_) => request.send_body(text.clone()).await,
        None => request.send().await,
    };
    let mut response = match sent {
        Ok(response) => response,
        Err(error) => return unsent(&error),
    };
    let status = response.status().as_u16();
    let verdict = verdict(response.headers());
    let own = response.headers().contains_key(TARGET_HEADER);
    let Ok(body) = response.body().limit(MAX_ANSWER).await else {
        return Attempt::Truncated;
    };
    if status >= FIRST_ERROR {
        if own && verdict.is_none() {
            return Attempt::TargetError;
        }
        let problem: Problem = serde_json::from_slice(&body).unwrap_or_default();
        let title = problem.title;
        return Attempt::Failure(Failure {
            status,
            verdict,
            title,
        });
    }
    if body == repeat_to_size(&text, callers.args.answer) {
        Attempt::Answer
    } else {
        Attempt::Wrong
    }
}

fn request(
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
    let left = deadline.saturating_duration_since(Instant::now());
    request.insert_header(("pimento-timeout-ms", left.as_millis().to_string()))
}

/// Tells a connection that failed from one that broke after the request.
fn unsent(error: &SendRequestError) -> Attempt {
    match error {
        // The peer closed a connection that was open.
        SendRequestError::Connect(ConnectError::Disconnected) => Attempt::Lost,
        SendRequestError::Connect(_) => Attempt::Unreachable,
        _ => Attempt::Lost,
    }
}

fn verdict(headers: &HeaderMap) -> Option<Verdict> {
    headers.get(Verdict::HEADER)?.to_str().ok()?.parse().ok()
}
