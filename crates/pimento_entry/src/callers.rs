//! The listener for callers: look-ups and requests.

use crate::{
    answer::Answer,
    body::{self, Body, BodyLimits},
    claim, hops,
    inbound::Inbound,
    node::Lookup,
    once,
    problem::Problem,
    shared::{OpenRequest, Shared},
    upstream::Clients,
};
use actix_web::{HttpRequest, HttpResponse, ResponseError, http::StatusCode, web};
use pimento_core::{ServiceId, Verdict};
use pimento_log::{Event, event};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Adds the routes of the listener.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/lookup", web::get().to(lookup))
        .route("/s/{service}", web::route().to(request))
        .route("/s/{service}/{path:.*}", web::route().to(request))
        .default_service(web::route().to(unknown));
}

#[derive(Debug, Deserialize)]
struct LookupQuery {
    service: String,
    block: Option<String>,
}

/// The answer to a look-up.
#[derive(Debug, Serialize)]
pub(crate) struct LookupReply {
    /// The version of the rules that it follows.
    pub(crate) version: u64,
    /// How long it may be cached, in milliseconds.
    pub(crate) ttl_ms: u64,
    /// Entry VMs in the order of preference.
    pub(crate) entries: Vec<SocketAddr>,
    /// Whether it rests on old knowledge, which is better than none.
    pub(crate) stale: bool,
}

async fn lookup(
    req: HttpRequest,
    query: web::Query<LookupQuery>,
    shared: web::Data<Shared>,
) -> Result<HttpResponse, Problem> {
    let bad = |field: &str, detail: String| {
        Problem::new(StatusCode::BAD_REQUEST, "bad-query", detail).with_field(field)
    };
    let service = ServiceId::new(&query.service).map_err(|e| bad("service", e.to_string()))?;
    let caller = req.peer_addr().map(|peer| peer.ip());
    let block = match &query.block {
        Some(text) => {
            let address = text.split('/').next().unwrap_or_default();
            address
                .parse::<IpAddr>()
                .map_err(|e| bad("block", e.to_string()))?
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

async fn request(
    req: HttpRequest,
    payload: web::Payload,
    shared: web::Data<Shared>,
    clients: web::Data<Clients>,
) -> HttpResponse {
    let open = OpenRequest::begin(&shared);
    let start = shared.clock.now();
    let inbound = match Inbound::check(&req, &shared) {
        Ok(inbound) => inbound,
        Err(problem) => return fail(&shared, &problem),
    };
    let result = serve(&shared, &clients, &inbound, payload).await;
    let took = shared.clock.now().since(start);
    shared.metrics.request(
        &inbound,
        took,
        result.as_ref().err().and_then(|p| p.verdict),
    );
    match result {
        Ok(mut answer) => {
            answer.keep(open);
            answer.respond(&inbound.method, shared.is_stopping())
        }
        Err(problem) => fail(&shared, &problem),
    }
}

async fn serve(
    shared: &web::Data<Shared>,
    clients: &web::Data<Clients>,
    inbound: &Inbound,
    payload: web::Payload,
) -> Result<Answer, Problem> {
    let limits = BodyLimits::of(shared, &inbound.service);
    if inbound.service.repeatable {
        let body = body::take(payload, &inbound.headers, limits, false).await?;
        return hops::run(shared, clients, inbound, body).await;
    }
    let key = claim::key(inbound)?;
    match body::take(payload, &inbound.headers, limits, true).await? {
        Body::Held(body) => once::run(shared, clients, inbound, key, body).await,
        Body::Stream(_) => unreachable!("a body that must be held is read whole"),
    }
}

fn fail(shared: &Shared, problem: &Problem) -> HttpResponse {
    let verdict = problem.verdict.unwrap_or(Verdict::MayHaveRun);
    event!(shared.log, Event::RequestFailed, "verdict" => %verdict, "reason" => problem.title);
    problem.error_response()
}

async fn unknown() -> HttpResponse {
    let detail = "callers use /v1/lookup and /s/{service}/{path}";
    Problem::not_run(StatusCode::NOT_FOUND, "no-route", detail).error_response()
}
