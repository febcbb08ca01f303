//! Requests that must not run twice.

use crate::{
    answer::Answer,
    body::Body,
    claim::{self, Claimed, Held},
    hops,
    inbound::Inbound,
    problem::Problem,
    shared::Shared,
    upstream::Clients,
};
use actix_web::{http::StatusCode, web};
use bytes::Bytes;
use pimento_core::Verdict;
use pimento_state::ledger::{self, Header, MAX_ANSWER_BYTES};
use uuid::Uuid;

/// Claims a request, runs it at most once, and records how it ended.
///
/// The work goes on when the caller leaves: its resend is then answered from
/// the ledger, where a cancelled attempt would leave it without a certain
/// verdict.
pub(crate) async fn run(
    shared: &web::Data<Shared>,
    clients: &web::Data<Clients>,
    inbound: &Inbound,
    key: Uuid,
    body: Bytes,
) -> Result<Answer, Problem> {
    let (shared, clients, inbound) = (shared.clone(), clients.clone(), inbound.clone());
    let task = actix_rt::spawn(async move { serve(&shared, &clients, &inbound, key, body).await });
    task.await.unwrap_or_else(|e| {
        let detail = format!("the request was given up: {e}");
        let problem = Problem::new(StatusCode::INTERNAL_SERVER_ERROR, "given-up", detail);
        Err(problem.with_verdict(Verdict::MayHaveRun))
    })
}

async fn serve(
    shared: &web::Data<Shared>,
    clients: &Clients,
    inbound: &Inbound,
    key: Uuid,
    body: Bytes,
) -> Result<Answer, Problem> {
    let held = match claim::claim(shared, inbound, key, &body).await? {
        Claimed::Granted(held) => held,
        Claimed::Replay(answer) => return Ok(answer),
    };
    match hops::run(shared, clients, inbound, Body::Held(body)).await {
        Ok(answer) => finish(shared, held, answer).await,
        Err(problem) => {
            match problem.verdict {
                Some(Verdict::NotRun) => claim::not_run(shared, &held),
                Some(Verdict::Ran) => claim::ran(shared, held, None, false),
                // The claim stays with its holder until its time is up.
                Some(Verdict::MayHaveRun) | None => {}
            }
            Err(problem)
        }
    }
}

/// Records an answer for resends if it is short, and passes it on.
async fn finish(shared: &web::Data<Shared>, held: Held, answer: Answer) -> Result<Answer, Problem> {
    let (status, headers) = (answer.status, answer.headers.clone());
    match answer.hold(MAX_ANSWER_BYTES).await {
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
            claim::ran(shared, held, stored, status.is_success());
            Ok(answer)
        }
        Err(e) => {
            claim::ran(shared, held, None, status.is_success());
            let detail = format!("the target ran the request; its answer ended early: {e}");
            let problem = Problem::new(StatusCode::BAD_GATEWAY, "truncated", detail);
            Err(problem.with_verdict(Verdict::Ran))
        }
    }
}
