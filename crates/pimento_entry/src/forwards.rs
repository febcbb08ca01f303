//! The listener for requests that other entry VMs forward.

use crate::{
    answer::Answer,
    body::{self, BodyLimits},
    headers,
    hops::{self, Failed},
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
            answer.keep(open);
            answer.respond(req.method(), shared.is_stopping())
        }
        Err(failed) => fail(&failed),
    }
}

async fn serve(
    req: &HttpRequest,
    payload: web::Payload,
    shared: &Shared,
    clients: &Clients,
) -> Result<Answer, Failed> {
    let proof = req.headers().get(headers::LINK).map(HeaderValue::as_bytes);
    let proved = proof.is_some_and(|proof| proof.ct_eq(shared.proof.as_bytes()).into());
    if !proved {
        let detail = "the sender did not prove the shared key";
        let problem = Problem::not_run(StatusCode::UNAUTHORIZED, "no-proof", detail);
        return Err(problem.into());
    }
    let inbound = Inbound::check(req, shared)?.forwarded(shared);
    let limits = BodyLimits::of(shared, &inbound.service);
    let body = body::take(payload, &inbound.headers, limits, false).await?;
    hops::run_once(shared, clients, &inbound, body).await
}

/// Tells the first entry VM how the attempt failed, and at which target.
fn fail(failed: &Failed) -> HttpResponse {
    let mut response = failed.problem.error_response();
    let value = failed
        .target
        .as_ref()
        .map(|target| HeaderValue::from_str(target));
    if let Some(Ok(value)) = value {
        let name = HeaderName::from_static(headers::TARGET);
        response.headers_mut().insert(name, value);
    }
    response
}
