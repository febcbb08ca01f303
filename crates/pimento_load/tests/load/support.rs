//! Helpers to run the load tool against faulty entry VMs.

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use awc::Client;
use pimento_core::{ServiceId, TargetId};
use pimento_load::{Args, BrokenPromise, Report, measure};
use pimento_standin::{Fault, ServiceTime, Standin, StandinConfig};
use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

/// How a faulty entry VM violates a guarantee.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EntryFault {
    /// Sends the request to the target twice.
    DuplicateRequest,
    /// Responds with a failure without a verdict.
    MissingVerdict,
    /// Runs the request and reports `not-run`.
    FalseNotRun,
    /// Answers without sending the request to the target.
    FabricatedAnswer,
}

/// Starts a stand-in target with a service time of 2 ms.
pub(crate) fn start_target(slots: u32, fault: Fault) -> Standin {
    let name = TargetId::new("t1").expect("a name");
    let config = StandinConfig {
        slots,
        fault,
        service_time: ServiceTime::Fixed(Duration::from_millis(2)),
        ..StandinConfig::new(name, service_id())
    };
    Standin::start(config).expect("a free port")
}

pub(crate) fn service_id() -> ServiceId {
    ServiceId::new("signups").expect("a name")
}

/// Starts a server that answers lookups with the given entry VMs.
pub(crate) fn start_lookup(entries: &[SocketAddr]) -> SocketAddr {
    let reply = serde_json::json!({
        "version": 1,
        "ttl_ms": 200,
        "entries": entries,
        "stale": false,
    });
    let handle = move || {
        let reply = reply.clone();
        async move { web::Json(reply) }
    };
    start_server(move |config| {
        config.route("/v1/lookup", web::get().to(handle.clone()));
    })
}

/// Starts a faulty entry VM in front of a target.
pub(crate) fn start_entry(fault: EntryFault, target: SocketAddr) -> SocketAddr {
    let handle =
        move |request: HttpRequest, body: web::Bytes| handle_request(fault, target, request, body);
    start_server(move |config| {
        config.default_service(web::to(handle));
    })
}

fn start_server(routes: impl Fn(&mut web::ServiceConfig) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let app = move || App::new().configure(|config| routes(config));
    let server = HttpServer::new(app).workers(1).disable_signals();
    actix_rt::spawn(server.listen(listener).expect("a listener").run());
    address
}

async fn handle_request(
    fault: EntryFault,
    target: SocketAddr,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    match fault {
        EntryFault::MissingVerdict => HttpResponse::InternalServerError().finish(),
        EntryFault::FabricatedAnswer => HttpResponse::Ok().body(body),
        EntryFault::FalseNotRun => {
            forward(target, &request, &body).await;
            HttpResponse::BadRequest()
                .insert_header(("pimento-verdict", "not-run"))
                .finish()
        }
        EntryFault::DuplicateRequest => {
            forward(target, &request, &body).await;
            let answer = forward(target, &request, &body).await;
            HttpResponse::Ok().body(answer)
        }
    }
}

async fn forward(target: SocketAddr, request: &HttpRequest, body: &web::Bytes) -> web::Bytes {
    let url = format!("http://{target}{}", request.uri());
    let mut forwarded = Client::default().post(url);
    if let Some(key) = request.headers().get("idempotency-key") {
        forwarded = forwarded.insert_header(("idempotency-key", key.as_bytes()));
    }
    let result = forwarded.send_body(body.clone()).await;
    let mut response = result.expect("a response from the target");
    response.body().await.expect("a complete body")
}

/// Arguments for about 40 requests that must run at most once.
pub(crate) fn load_args(entries: &[SocketAddr], targets: &[SocketAddr]) -> Args {
    Args {
        callers: vec![start_lookup(entries)],
        entries: Vec::new(),
        service: Vec::new(),
        once: vec![service_id()],
        rate: 100.0,
        seconds: 0.4,
        timeout_ms: 1_000,
        attempts: 3,
        tenant: None,
        class: Vec::new(),
        block: Vec::new(),
        resources: 10,
        body: 64,
        answer: 64,
        limit: 1_000,
        targets: targets.to_vec(),
        lost: 0,
        unanswered: 0,
        seed: 1,
        json: false,
    }
}

/// Runs the load tool; returns its report and a short name for each violated
/// guarantee.
pub(crate) async fn run_load(args: Args) -> (Report, Vec<&'static str>) {
    let report = measure(args).await.expect("a report");
    let names = report.broken.iter().map(|promise| match promise {
        BrokenPromise::DuplicateRun(_) => "duplicate",
        BrokenPromise::SlotOverrun(_) => "overrun",
        BrokenPromise::ConnectionOverrun(_) => "connections",
        BrokenPromise::MissingVerdict(_) => "verdict",
        BrokenPromise::DeniedRun(_) => "denied",
        BrokenPromise::UnfoundedAnswer(_) => "unfounded",
        BrokenPromise::WrongAnswer(_) => "wrong",
        BrokenPromise::LostAnswer(_) => "lost",
        BrokenPromise::Unanswered(_) => "unanswered",
        BrokenPromise::UnreadTarget(_) => "unread",
    });
    let names = names.collect();
    (report, names)
}
