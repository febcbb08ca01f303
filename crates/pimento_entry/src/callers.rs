//! The listener for callers: look-ups and requests.

use crate::{
    body::{self, BodyLimits},
    headers, hops,
    inbound::Inbound,
    node::Lookup,
    problem::Problem,
    shared::{OpenRequest, Shared},
    upstream::Clients,
};
use actix_web::{HttpRequest, HttpResponse, ResponseError, http::StatusCode, web};
use futures_util::StreamExt;
use pimento_core::{ServiceId, Verdict};
use pimento_log::{Event, event};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

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
        Problem::new(StatusCode::BAD_REQUEST, "bad-query", detail).field(field)
    };
    let service = ServiceId::new(&query.service).map_err(|e| bad("service", e.to_string()))?;
    let caller = req.peer_addr().map(|peer| peer.ip());
    let block = match &query.block {
        Some(text) => {
            let parsed = text.split('/').next().unwrap_or_default().parse::<IpAddr>();
            Some(parsed.map_err(|e| bad("block", e.to_string()))?)
        }
        None => caller,
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
            answer.body = answer.body.inspect(move |_| _ = &open).boxed_local();
            answer.respond(&inbound.method)
        }
        Err(problem) => fail(&shared, &problem),
    }
}

async fn serve(
    shared: &Shared,
    clients: &Clients,
    inbound: &Inbound,
    payload: web::Payload,
) -> Result<crate::answer::Answer, Problem> {
    let once = !inbound.service.repeatable;
    if once && headers::text(&inbound.headers, headers::KEY).is_none() {
        let detail = "a service that is not repeatable needs a UUIDv7 as key";
        let problem = Problem::not_run(StatusCode::BAD_REQUEST, "no-key", detail);
        return Err(problem.field(headers::KEY));
    }
    let limits = BodyLimits::of(shared, &inbound.service);
    let body = body::take(payload, &inbound.headers, limits, once).await?;
    hops::run(shared, clients, inbound, body).await
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
