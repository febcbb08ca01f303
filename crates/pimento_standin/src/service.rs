//! How a stand-in target serves requests.

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

/// The largest body that a stand-in target takes, in bytes.
const MAX_BODY: usize = 16 << 20;

/// The time that a target gets to see the connections that were closed before
/// a request arrived. Their runs aren't held against the request.
const SETTLE: Duration = Duration::from_millis(2);

/// The header that names a request which may not run twice.
const KEY: &str = "idempotency-key";

/// The header that names the target in each of its own answers.
pub const TARGET_HEADER: &str = "standin-target";

/// What a caller can ask for in the query of a request.
#[derive(Debug, Deserialize)]
struct Ask {
    /// The text to answer with, if the request has no body.
    #[serde(default)]
    nonce: String,
    /// The least bytes of the answer.
    size: Option<usize>,
    /// How long the request runs, in milliseconds, in place of a drawn time.
    work: Option<u64>,
}

/// Which keys `GET /counters` lists.
#[derive(Debug, Deserialize)]
struct Listing {
    /// `all`, or by default those that ran more than once.
    keys: Option<String>,
}

/// Adds the routes of a stand-in target.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_BODY))
        .route("/counters", web::get().to(counters))
        .route("/fault", web::put().to(set_fault))
        .route("/drain", web::put().to(drain))
        .default_service(web::to(serve));
}

async fn counters(shared: Data<Shared>, listing: Query<Listing>) -> HttpResponse {
    let least = match listing.keys.as_deref() {
        Some("all") => 1,
        _ => 2,
    };
    HttpResponse::Ok().json(shared.counters(least))
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
    ask: Query<Ask>,
    body: Bytes,
) -> HttpResponse {
    let shared = shared.into_inner();
    let fault = shared.fault();
    let stalled = fault == Fault::Stalled
        && request
            .conn_data::<Connection>()
            .is_some_and(Connection::precedes_fault);
    if stalled {
        return future::pending().await;
    }
    if refuses(&shared, fault) {
        shared.note_refusal();
        return refusal();
    }
    let key = request.headers().get(KEY).and_then(|v| v.to_str().ok());
    run(&shared, key, fault, ask.work).await;
    let text = echoed_text(&ask.nonce, &body);
    let size = ask.size.unwrap_or(shared.config.min_answer);
    let mut response = answer(fault, &repeat_to_size(text, size));
    let name = HeaderValue::from_str(&shared.config.target);
    if let Ok(name) = name {
        let header = HeaderName::from_static(TARGET_HEADER);
        response.headers_mut().insert(header, name);
    }
    response
}

fn refuses(shared: &Shared, fault: Fault) -> bool {
    let sheds = match fault {
        Fault::Shed { percent } => shared.percentile() < percent,
        _ => false,
    };
    sheds || shared.state() == TargetState::Draining
}

/// Tells the caller that its request was not run.
fn refusal() -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .insert_header((Verdict::HEADER, Verdict::NotRun.as_str()))
        .body("the target takes no work")
}

/// Runs a request and frees its slot, before the answer tells anybody.
async fn run(shared: &Arc<Shared>, key: Option<&str>, fault: Fault, work: Option<u64>) {
    let run = Run::start(Arc::clone(shared), key);
    if shared.running() > shared.config.slots {
        actix_rt::time::sleep(SETTLE).await;
        if shared.running() > shared.config.slots {
            shared.note_overrun();
        }
    }
    let time = work.map_or_else(|| shared.service_time(), Duration::from_millis);
    // Even an empty sleep lasts until the next tick of the timer.
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

fn answer(fault: Fault, body: &Bytes) -> HttpResponse {
    match fault {
        Fault::Error => HttpResponse::InternalServerError().body("the target failed"),
        Fault::Wrong => HttpResponse::Ok().body("an answer to another request"),
        Fault::Truncated { chunked } => truncated(body, chunked),
        _ => HttpResponse::Ok().body(body.clone()),
    }
}

/// Sends half of a body and closes the connection.
fn truncated(body: &Bytes, chunked: bool) -> HttpResponse {
    let half = body.slice(..body.len() / 2);
    let cut = io::Error::other("the answer ends early");
    let parts = stream::iter([Ok(half)]).chain(stream::once(async {
        // The half leaves first, in a packet of its own.
        actix_rt::time::sleep(SETTLE).await;
        Err(cut)
    }));
    let parts = Box::pin(parts);
    let mut response = HttpResponse::build(StatusCode::OK);
    if chunked {
        response.streaming(parts)
    } else {
        response.body(SizedStream::new(body.len() as u64, parts))
    }
}

/// The text that the answer to a request repeats: its body, or else the
/// `nonce` of its query.
pub fn echoed_text<'a>(nonce: &'a str, body: &'a [u8]) -> &'a [u8] {
    if body.is_empty() {
        nonce.as_bytes()
    } else {
        body
    }
}

/// Repeats a text until it has at least `size` bytes, and cuts it there.
pub fn repeat_to_size(text: &[u8], size: usize) -> Bytes {
    if text.is_empty() || text.len() >= size {
        return Bytes::copy_from_slice(text);
    }
    text.iter().copied().cycle().take(size).collect()
}
