//! HTTP listener for callers: look-ups and requests.

use crate::{
    answer::Answer,
    at_most_once, attempt,
    body::{self, Body, BodyLimits},
    claim,
    inbound::Inbound,
    node::Lookup,
    problem::Problem,
    shared::{OpenRequest, Shared},
    upstream::Clients,
};
use actix_web::{HttpRequest, HttpResponse, ResponseError, http::StatusCode, web};
use pimento_core::{ServiceId, Verdict};
use pimento_log::{Event, event};
use serde::{Deserialize, Serialize};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
};

/// Registers the listener's routes.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/lookup", web::get().to(lookup))
        .route("/s/{service}", web::route().to(handle_request))
        .route("/s/{service}/{path:.*}", web::route().to(handle_request))
        .default_service(web::route().to(unknown_route));
}

#[derive(Debug, Deserialize)]
struct LookupQuery {
    service: String,
    block: Option<String>,
}

/// The response to a look-up.
#[derive(Debug, Serialize)]
pub(crate) struct LookupReply {
    /// The version of the rules that the response is based on.
    pub(crate) version: u64,
    /// How long the response may be cached, in milliseconds.
    pub(crate) ttl_ms: u64,
    /// Entry VMs in order of preference.
    pub(crate) entries: Vec<SocketAddr>,
    /// Whether the response is based on outdated state, because no newer state
    /// is known.
    pub(crate) stale: bool,
}

async fn lookup(
    req: HttpRequest,
    query: web::Query<LookupQuery>,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    let invalid = |field: &str, detail: String| {
        Problem::new(StatusCode::BAD_REQUEST, "bad-query", detail).with_field(field)
    };
    let service = ServiceId::new(&query.service).map_err(|e| invalid("service", e.to_string()))?;
    let caller = req.peer_addr().map(|peer| peer.ip());
    let block = match &query.block {
        Some(text) => {
            let address = text.split('/').next().unwrap_or_default();
            address
                .parse::<IpAddr>()
                .map_err(|e| invalid("block", e.to_string()))?
        }
        None => caller.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED)),
    };
    let message = Lookup { service, block };
    let reply = shared.node.send(message).await.ok().flatten();
    let Some(reply) = reply else {
        let detail = format!("there is no service {:?}", query.service);
        return Err(Problem::new(StatusCode::NOT_FOUND, "no-service", detail));
    };
    Ok(HttpResponse::Ok().json(reply))
}

async fn handle_request(
    req: HttpRequest,
    payload: web::Payload,
    shared: web::Data<Shared>,
    clients: web::Data<Clients>,
) -> HttpResponse {
    let open_request = Rc::new(OpenRequest::begin(&shared));
    let start = shared.clock.now();
    let inbound = match Inbound::check(&req, &shared) {
        Ok(inbound) => inbound,
        Err(problem) => return problem_response(&shared, &problem),
    };
    let result = serve_request(&shared, &clients, &inbound, payload, &open_request).await;
    let latency = shared.clock.now().since(start);
    shared.metrics.record_request(
        &inbound,
        latency,
        result.as_ref().err().and_then(|p| p.verdict),
    );
    match result {
        Ok(mut answer) => {
            answer.hold_until_end(open_request);
            answer.respond(&inbound.method, shared.is_stopping())
        }
        Err(problem) => problem_response(&shared, &problem),
    }
}

async fn serve_request(
    shared: &web::Data<Shared>,
    clients: &web::Data<Clients>,
    inbound: &Inbound,
    payload: web::Payload,
    open_request: &Rc<OpenRequest>,
) -> Result<Answer, Problem> {
    let limits = BodyLimits::for_service(shared, &inbound.service);
    if inbound.service.repeatable {
        let body = body::receive(payload, &inbound.headers, limits, false).await?;
        return attempt::run(shared, clients, inbound, body).await;
    }
    let key = claim::require_key(inbound)?;
    match body::receive(payload, &inbound.headers, limits, true).await? {
        Body::Buffered(body) => {
            let open_request = Rc::clone(open_request);
            at_most_once::run(shared, clients, inbound, key, body, open_request).await
        }
        Body::Stream(_) => unreachable!("a body that must be buffered is never streamed"),
    }
}

fn problem_response(shared: &Shared, problem: &Problem) -> HttpResponse {
    let verdict = problem.verdict.unwrap_or(Verdict::MayHaveRun);
    event!(shared.log, Event::RequestFailed, "verdict" => %verdict, "reason" => problem.title);
    problem.error_response()
}

async fn unknown_route() -> HttpResponse {
    let detail = "callers use /v1/lookup and /s/{service}/{path}";
    Problem::not_run(StatusCode::NOT_FOUND, "no-route", detail).error_response()
}
