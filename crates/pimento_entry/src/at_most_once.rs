//! Requests of services that are not repeatable.

use crate::{
    answer::Answer,
    attempt,
    body::Body,
    claim::{self, ClaimResult, HeldClaim},
    inbound::Inbound,
    problem::Problem,
    shared::{OpenRequest, Shared},
    upstream::Clients,
};
use actix_web::{http::StatusCode, web};
use bytes::Bytes;
use pimento_core::Verdict;
use pimento_state::ledger::{self, Header, MAX_ANSWER_BYTES};
use std::rc::Rc;
use uuid::Uuid;

/// Claims a request, runs it at most once, and records its outcome.
///
/// The work continues in a separate task if the caller disconnects, so that the
/// ledger can answer the caller's resend. If the attempt were cancelled, the
/// resend could get no definite verdict. `open_request` counts as open until the
/// task has ended, so that a graceful shutdown waits for it.
pub(crate) async fn run(
    shared: &web::Data<Shared>,
    clients: &web::Data<Clients>,
    inbound: &Inbound,
    key: Uuid,
    body: Bytes,
    open_request: Rc<OpenRequest>,
) -> Result<Answer, Problem> {
    let (shared, clients, inbound) = (shared.clone(), clients.clone(), inbound.clone());
    let task = actix_rt::spawn(async move {
        let result = claim_and_run(&shared, &clients, &inbound, key, body).await;
        drop(open_request);
        result
    });
    task.await.unwrap_or_else(|e| {
        let detail = format!("the task that runs the request failed: {e}");
        let problem = Problem::new(StatusCode::INTERNAL_SERVER_ERROR, "given-up", detail);
        Err(problem.with_verdict(Verdict::MayHaveRun))
    })
}

async fn claim_and_run(
    shared: &web::Data<Shared>,
    clients: &Clients,
    inbound: &Inbound,
    key: Uuid,
    body: Bytes,
) -> Result<Answer, Problem> {
    let claim = match claim::claim(shared, inbound, key, &body).await? {
        ClaimResult::Granted(claim) => claim,
        ClaimResult::Replay(answer) => return Ok(answer),
    };
    match attempt::run(shared, clients, inbound, Body::Buffered(body)).await {
        Ok(answer) => record_answer(shared, claim, answer).await,
        Err(problem) => {
            match problem.verdict {
                Some(Verdict::NotRun) => claim::record_not_run(shared, &claim),
                Some(Verdict::Ran) => claim::record_ran(shared, claim, None, false),
                // The claim stays with its holder until it times out.
                Some(Verdict::MayHaveRun) | None => {}
            }
            Err(problem)
        }
    }
}

/// Stores a short response for resends, and returns the response.
async fn record_answer(
    shared: &web::Data<Shared>,
    claim: HeldClaim,
    answer: Answer,
) -> Result<Answer, Problem> {
    let (status, headers) = (answer.status, answer.headers.clone());
    match answer.buffer(MAX_ANSWER_BYTES).await {
        Ok((body, answer)) => {
            let stored = body.map(|body| ledger::Answer {
                status: u32::from(status.as_u16()),
                headers: headers
                    .iter()
                    .map(|(name, value)| Header {
                        name: name.to_string(),
                        value: value.as_bytes().to_vec(),
                    })
                    .collect(),
                body: body.to_vec(),
            });
            let stored = stored.filter(|answer| answer.size() <= MAX_ANSWER_BYTES);
            claim::record_ran(shared, claim, stored, status.is_success());
            Ok(answer)
        }
        Err(e) => {
            claim::record_ran(shared, claim, None, status.is_success());
            let detail = format!("the target ran the request, but its response was truncated: {e}");
            let problem = Problem::new(StatusCode::BAD_GATEWAY, "truncated", detail);
            Err(problem.with_verdict(Verdict::Ran))
        }
    }
}
