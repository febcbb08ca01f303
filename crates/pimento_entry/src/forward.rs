//! Forwards a request to another entry VM.

use crate::{
    answer::Answer,
    attempt::AttemptError,
    body::Body,
    headers,
    inbound::Inbound,
    node::RecordPause,
    problem::Problem,
    relay,
    shared::Shared,
    upstream::{self, Clients},
};
use pimento_core::{TargetId, Verdict};
use pimento_notices::RetryAfter;
use std::{net::SocketAddr, time::Duration};

/// Forwards a request and returns the response.
pub(crate) async fn send(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    body: Body,
    to: SocketAddr,
    tried: &[TargetId],
    timeout: Duration,
) -> Result<Answer, AttemptError> {
    let url = format!("http://{to}/f/{}{}", inbound.service.name, inbound.path);
    let settings = &shared.settings;
    let origin = format!("{}/{}", settings.region, settings.domain);
    let tried_names: Vec<&str> = tried.iter().map(TargetId::as_str).collect();
    let tried_names = tried_names.join(",");
    let extra_headers = [
        (headers::LINK, shared.link_proof.as_str()),
        (headers::ORIGIN, origin.as_str()),
        (headers::AVOID, tried_names.as_str()),
    ];
    let client = clients.for_vm(&inbound.service);
    let mut answer =
        upstream::exchange(shared, client, inbound, body, url, &extra_headers, timeout)
            .await
            .map_err(|error| AttemptError::from(error.problem))?;
    // The other VM may have stopped in the middle of a body.
    let remaining = inbound.deadline.since(shared.clock.now());
    answer.body = relay::until_deadline(answer.body, remaining, |_| {});
    match answer.verdict() {
        Some(verdict) => {
            let error = read_error(answer, verdict).await;
            if let Some(left) = error.problem.retry_after {
                let service = inbound.service.name.clone();
                shared.node.do_send(RecordPause {
                    service,
                    vm: to,
                    left,
                });
            }
            Err(error)
        }
        None => Ok(answer),
    }
}

/// Limit on the problem details that are read from another entry VM, in bytes.
const MAX_PROBLEM_BYTES: usize = 16 << 10;

/// Converts a failure that another entry VM reported.
async fn read_error(answer: Answer, verdict: Verdict) -> AttemptError {
    let status = answer.status;
    let target = answer.target.clone();
    let retry_after = answer.header(headers::RETRY_AFTER);
    let retry_after = retry_after.and_then(|text| RetryAfter::parse(text).pause());
    let detail = match answer.buffer(MAX_PROBLEM_BYTES).await {
        Ok((Some(body), _)) => problem_detail(&body),
        Ok((None, _)) | Err(_) => None,
    };
    let detail =
        detail.unwrap_or_else(|| "another entry VM reported a failure without details".into());
    let problem = Problem::new(status, "forward", detail)
        .with_verdict(verdict)
        .with_retry_after(retry_after);
    AttemptError { problem, target }
}

fn problem_detail(body: &[u8]) -> Option<String> {
    let problem: serde_json::Value = serde_json::from_slice(body).ok()?;
    Some(problem.get("detail")?.as_str()?.to_owned())
}
