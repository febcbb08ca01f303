//! Entry VMs that break one promise each.

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use awc::Client;
use pimento_core::{ServiceId, TargetId};
use pimento_load::{Args, BrokenPromise, Report, measure};
use pimento_standin::{Fault, ServiceTime, Standin, StandinConfig};
use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

/// How an entry VM treats a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Entry {
    /// It sends the request to the target twice.
    Twice,
    /// It fails without a verdict.
    Mute,
    /// It runs the request and says that it did not.
    Deny,
    /// It answers by itself.
    Invent,
}

/// Starts a stand-in target without service time.
pub(crate) fn target(slots: u32, fault: Fault) -> Standin {
    let name = TargetId::new("t1").expect("a name");
    let config = StandinConfig {
        slots,
        fault,
        service_time: ServiceTime::Fixed(Duration::from_millis(2)),
        ..StandinConfig::new(name, service())
    };
    Standin::start(config).expect("a free port")
}

pub(crate) fn service() -> ServiceId {
    ServiceId::new("signups").expect("a name")
}

/// Starts a listener that answers look-ups with the given entry VMs.
pub(crate) fn lookup(entries: &[SocketAddr]) -> SocketAddr {
    let reply = serde_json::json!({
        "version": 1,
        "ttl_ms": 200,
        "entries": entries,
        "stale": false,
    });
    let answer = move || {
        let reply = reply.clone();
        async move { web::Json(reply) }
    };
    serve(move |config| {
        config.route("/v1/lookup", web::get().to(answer.clone()));
    })
}

/// Starts an entry VM before a target.
pub(crate) fn entry(kind: Entry, target: SocketAddr) -> SocketAddr {
    let handle = move |request: HttpRequest, body: web::Bytes| treat(kind, target, request, body);
    serve(move |config| {
        config.default_service(web::to(handle));
    })
}

fn serve(routes: impl Fn(&mut web::ServiceConfig) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let app = move || App::new().configure(|config| routes(config));
    let server = HttpServer::new(app).workers(1).disable_signals();
    actix_rt::spawn(server.listen(listener).expect("a listener").run());
    address
}

async fn treat(
    kind: Entry,
    target: SocketAddr,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    match kind {
        Entry::Mute => HttpResponse::InternalServerError().finish(),
        Entry::Invent => HttpResponse::Ok().body(body),
        Entry::Deny => {
            forward(target, &request, &body).await;
            HttpResponse::BadRequest()
                .insert_header(("pimento-verdict", "not-run"))
                .finish()
        }
        Entry::Twice => {
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
    let sent = forwarded.send_body(body.clone()).await;
    let mut response = sent.expect("an answer of the target");
    response.body().await.expect("a whole body")
}

/// Arguments for some 40 requests that may not be repeated.
pub(crate) fn args(entries: &[SocketAddr], targets: &[SocketAddr]) -> Args {
    Args {
        callers: vec![lookup(entries)],
        entries: Vec::new(),
        service: Vec::new(),
        once: vec![service()],
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

/// Runs the load tool and says which promises it found broken.
pub(crate) async fn broken(args: Args) -> (Report, Vec<&'static str>) {
    let report = measure(args).await.expect("a service");
    let names = report.broken.iter().map(|broken| match broken {
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
