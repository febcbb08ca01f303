//! The HTTP handlers of a stand-in target.

use crate::{
    Fault,
    shared::{Connection, Run, Shared},
};
use actix_web::{
    HttpRequest, HttpResponse,
    body::SizedStream,
    http::{
        StatusCode,
        header::{HeaderName, HeaderValue},
    },
    web::{self, Bytes, Data, Json, Query, ServiceConfig},
};
use futures_util::{StreamExt, stream};
use pimento_core::Verdict;
use pimento_lease::TargetState;
use serde::Deserialize;
use std::{future, io, sync::Arc, time::Duration};

const MAX_BODY_BYTES: usize = 16 << 20;

/// How long to wait until connections that closed before a request arrived are
/// noticed and their runs cancelled. Those runs must not make the new one count
/// as an overrun.
const CLOSE_SETTLE_TIME: Duration = Duration::from_millis(2);

/// Header with the key of a request that must not run twice.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Header with the target's name, which tells a response of the target from one
/// of the system.
pub const TARGET_HEADER: &str = "standin-target";

/// Query parameters of a request.
#[derive(Debug, Deserialize)]
struct RunQuery {
    /// Text to echo if the request has no body.
    #[serde(default)]
    nonce: String,
    /// Minimum size of the response body, in bytes.
    size: Option<usize>,
    /// How long the request runs, in milliseconds, instead of a random service
    /// time.
    work: Option<u64>,
}

/// Query parameters of `GET /counters`.
#[derive(Debug, Deserialize)]
struct CountersQuery {
    /// Which idempotency keys to list: `all`, or by default those that ran more
    /// than once.
    keys: Option<String>,
}

pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .route("/counters", web::get().to(counters))
        .route("/fault", web::put().to(set_fault))
        .route("/drain", web::put().to(drain))
        .default_service(web::to(serve));
}

async fn counters(shared: Data<Shared>, query: Query<CountersQuery>) -> HttpResponse {
    let min_runs = match query.keys.as_deref() {
        Some("all") => 1,
        _ => 2,
    };
    HttpResponse::Ok().json(shared.counters(min_runs))
}

async fn set_fault(shared: Data<Shared>, fault: Json<Fault>) -> HttpResponse {
    shared.set_fault(*fault);
    HttpResponse::NoContent().finish()
}

async fn drain(shared: Data<Shared>) -> HttpResponse {
    shared.drain();
    HttpResponse::NoContent().finish()
}

async fn serve(
    request: HttpRequest,
    shared: Data<Shared>,
    query: Query<RunQuery>,
    body: Bytes,
) -> HttpResponse {
    let shared = shared.into_inner();
    let fault = shared.fault();
    let stalled = fault == Fault::Stalled
        && request
            .conn_data::<Connection>()
            .is_some_and(Connection::is_older_than_fault);
    if stalled {
        return future::pending().await;
    }
    if should_refuse(&shared, fault) {
        shared.record_refusal();
        return refusal_response();
    }
    let key = request
        .headers()
        .get(IDEMPOTENCY_KEY_HEADER)
        .and_then(|v| v.to_str().ok());
    run(&shared, key, fault, query.work).await;
    let text = echoed_text(&query.nonce, &body);
    let size = query.size.unwrap_or(shared.config.min_answer);
    let mut response = build_response(fault, &repeat_to_size(text, size));
    let name = HeaderValue::from_str(&shared.config.target);
    if let Ok(name) = name {
        let header = HeaderName::from_static(TARGET_HEADER);
        response.headers_mut().insert(header, name);
    }
    response
}

fn should_refuse(shared: &Shared, fault: Fault) -> bool {
    let is_shed = match fault {
        Fault::Shed { percent } => shared.draw_percentile() < percent,
        _ => false,
    };
    is_shed || shared.state() == TargetState::Draining
}

/// A failure response with the verdict `not-run`.
fn refusal_response() -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .insert_header((Verdict::HEADER, Verdict::NotRun.as_str()))
        .body("the target accepts no requests")
}

/// Runs a request. Its slot is free again before the response is sent.
async fn run(shared: &Arc<Shared>, key: Option<&str>, fault: Fault, work: Option<u64>) {
    let run = Run::start(Arc::clone(shared), key);
    if shared.running() > shared.config.slots {
        actix_rt::time::sleep(CLOSE_SETTLE_TIME).await;
        if shared.running() > shared.config.slots {
            shared.record_overrun();
        }
    }
    let time = work.map_or_else(|| shared.draw_service_time(), Duration::from_millis);
    // Even a sleep of zero lasts until the next tick of the timer.
    if !time.is_zero() {
        actix_rt::time::sleep(time).await;
    }
    if let Fault::Late { by } = fault {
        actix_rt::time::sleep(Duration::from_millis(by)).await;
    }
    run.finish();
    if fault == Fault::Silent {
        future::pending::<()>().await;
    }
}

fn build_response(fault: Fault, body: &Bytes) -> HttpResponse {
    match fault {
        Fault::Error => HttpResponse::InternalServerError().body("the target failed"),
        Fault::Wrong => HttpResponse::Ok().body("a response to another request"),
        Fault::Truncated { chunked } => truncated_response(body, chunked),
        _ => HttpResponse::Ok().body(body.clone()),
    }
}

/// A response that ends after half of its body, with the connection closed.
fn truncated_response(body: &Bytes, chunked: bool) -> HttpResponse {
    let half = body.slice(..body.len() / 2);
    let error = io::Error::other("the response ends early");
    let chunks = stream::iter([Ok(half)]).chain(stream::once(async {
        // Lets the half be sent in a packet of its own before the connection closes.
        actix_rt::time::sleep(CLOSE_SETTLE_TIME).await;
        Err(error)
    }));
    let chunks = Box::pin(chunks);
    let mut response = HttpResponse::build(StatusCode::OK);
    if chunked {
        response.streaming(chunks)
    } else {
        response.body(SizedStream::new(body.len() as u64, chunks))
    }
}

/// The text that the response to a request echoes: the request's body, or else
/// the `nonce` of its query.
pub fn echoed_text<'a>(nonce: &'a str, body: &'a [u8]) -> &'a [u8] {
    if body.is_empty() {
        nonce.as_bytes()
    } else {
        body
    }
}

/// Repeats a text up to exactly `size` bytes. A text that is empty or longer is
/// returned as it is.
pub fn repeat_to_size(text: &[u8], size: usize) -> Bytes {
    if text.is_empty() || text.len() >= size {
        return Bytes::copy_from_slice(text);
    }
    text.iter().copied().cycle().take(size).collect()
}
