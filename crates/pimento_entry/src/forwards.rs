//! The listener for requests that other entry VMs forward.

use crate::{
    answer::Answer,
    body::{self, BodyLimits},
    dispatch, headers,
    inbound::Inbound,
    problem::Problem,
    shared::{OpenRequest, Shared},
    upstream::Clients,
};
use actix_web::{
    HttpRequest, HttpResponse, ResponseError,
    http::{StatusCode, header::HeaderValue},
    web,
};
use futures_util::StreamExt;
use pimento_core::{TargetId, Verdict};
use subtle::ConstantTimeEq;

/// Adds the routes of the listener.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/f/{service}", web::route().to(request))
        .route("/f/{service}/{path:.*}", web::route().to(request));
}

async fn request(
    req: HttpRequest,
    payload: web::Payload,
    shared: web::Data<Shared>,
    clients: web::Data<Clients>,
) -> HttpResponse {
    let open = OpenRequest::begin(&shared);
    match serve(&req, payload, &shared, &clients).await {
        Ok(mut answer) => {
            answer.body = answer.body.inspect(move |_| _ = &open).boxed_local();
            answer.respond(req.method())
        }
        Err(problem) => problem.error_response(),
    }
}

async fn serve(
    req: &HttpRequest,
    payload: web::Payload,
    shared: &Shared,
    clients: &Clients,
) -> Result<Answer, Problem> {
    let proof = req.headers().get(headers::LINK).map(HeaderValue::as_bytes);
    let proved = proof.is_some_and(|proof| proof.ct_eq(shared.proof.as_bytes()).into());
    if !proved {
        let detail = "the sender did not prove the shared key";
        return Err(Problem::not_run(
            StatusCode::UNAUTHORIZED,
            "no-proof",
            detail,
        ));
    }
    let inbound = Inbound::check(req, shared)?;
    let limits = BodyLimits::of(shared, &inbound.service);
    let mut body = body::take(payload, &inbound.headers, limits, false).await?;
    let mut tried: Vec<TargetId> = Vec::new();
    loop {
        let again = body.again();
        let failure = match dispatch::send(shared, clients, &inbound, body, &tried).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        // Only a refusal by a target is worth another target of this VM; all
        // else is for the first entry VM to decide.
        let refused = failure.problem.verdict == Some(Verdict::NotRun);
        match (again, failure.target) {
            (Some(next), Some(target)) if refused => {
                tried.push(target);
                body = next;
            }
            _ => return Err(failure.problem),
        }
    }
}
