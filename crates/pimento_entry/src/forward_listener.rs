//! HTTP listener for requests that other entry VMs forward.

use crate::{
    answer::Answer,
    attempt::{self, AttemptError},
    body::{self, BodyLimits},
    headers,
    inbound::Inbound,
    problem::Problem,
    shared::{OpenRequest, Shared},
    upstream::Clients,
};
use actix_web::{
    HttpRequest, HttpResponse, ResponseError,
    http::{
        StatusCode,
        header::{HeaderName, HeaderValue},
    },
    web,
};
use subtle::ConstantTimeEq;

/// Registers the listener's routes.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/f/{service}", web::route().to(handle_request))
        .route("/f/{service}/{path:.*}", web::route().to(handle_request));
}

async fn handle_request(
    req: HttpRequest,
    payload: web::Payload,
    shared: web::Data<Shared>,
    clients: web::Data<Clients>,
) -> HttpResponse {
    let open_request = OpenRequest::begin(&shared);
    match serve_request(&req, payload, &shared, &clients).await {
        Ok(mut answer) => {
            answer.hold_until_end(open_request);
            answer.respond(req.method(), shared.is_stopping())
        }
        Err(error) => failure_response(&error),
    }
}

async fn serve_request(
    req: &HttpRequest,
    payload: web::Payload,
    shared: &Shared,
    clients: &Clients,
) -> Result<Answer, AttemptError> {
    let proof = req.headers().get(headers::LINK).map(HeaderValue::as_bytes);
    let is_authentic = proof.is_some_and(|proof| proof.ct_eq(shared.link_proof.as_bytes()).into());
    if !is_authentic {
        let detail = "the sender gave no valid proof of the shared key";
        let problem = Problem::not_run(StatusCode::UNAUTHORIZED, "no-proof", detail);
        return Err(problem.into());
    }
    let inbound = Inbound::check(req, shared)?.with_forward_headers(shared);
    let limits = BodyLimits::for_service(shared, &inbound.service);
    let body = body::receive(payload, &inbound.headers, limits, false).await?;
    attempt::run_once(shared, clients, &inbound, body).await
}

/// Reports the failure, and the target at which it occurred, to the forwarding
/// entry VM.
fn failure_response(error: &AttemptError) -> HttpResponse {
    let mut response = error.problem.error_response();
    let value = error
        .target
        .as_ref()
        .map(|target| HeaderValue::from_str(target));
    if let Some(Ok(value)) = value {
        let name = HeaderName::from_static(headers::TARGET);
        response.headers_mut().insert(name, value);
    }
    response
}
