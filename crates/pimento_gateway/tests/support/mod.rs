//! A gateway on loopback, fake targets with a configurable behavior, and raw TCP
//! callers.

#![allow(dead_code, reason = "no test file uses all of it")]

pub mod raw_target;

use actix::Addr;
use hyper::header::{HeaderName, USER_AGENT};
use pimento_fleet::{
    FleetActor, FleetConfig, NodeInfo, Role, SetCatalog, SharedView, TargetReport,
};
use pimento_gateway::{
    Gateway, GatewayConfig, GracefulShutdown, HeaderNames, RetryBudgetConfig, serve,
};
use pimento_items::{
    Body, Catalog, Changeset, Item, Limits, RetrySafety, Route, Service, WeightedService,
};
use pimento_registry::{Stage, Target};
use std::{
    cell::{Cell, RefCell},
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

/// The timeout of every wait.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The size of a response body that socket buffers can't hold.
pub const LARGE_BODY_BYTES: usize = 32 << 20;

/// How a fake target handles each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    Respond,
    /// Closes the connection within the response body.
    Truncate,
    /// Responds with the id of another request.
    WrongId,
    /// Sends a second response after its own.
    ExtraResponse,
    /// Sheds the request without running it.
    Shed,
    /// Responds as another target that took over the address.
    Replaced,
    /// Responds with status 500.
    ServerError,
    /// Closes the connection without a response.
    Close,
    /// Responds after a delay.
    Slow(Duration),
    /// Sends a response without a length, which ends when the connection closes.
    Unframed,
    /// Sends bytes that aren't HTTP.
    Garbage,
    /// Responds with these headers in addition.
    RespondWith(&'static str),
    /// Sheds the request with these headers in addition.
    ShedWith(&'static str),
    /// Does the same after a delay.
    SlowShedWith(Duration, &'static str),
    /// Responds with these headers and without an id, with status 503.
    FailWithoutId(&'static str),
    /// Responds with a body of [`LARGE_BODY_BYTES`].
    Large,
    /// Responds after a delay. A request whose path contains [`DEADLY`] ends its
    /// process: the connections break off and its address refuses others.
    Mortal(Duration),
}

/// Marks the path of a request that ends a [`Behavior::Mortal`] target.
pub const DEADLY: &str = "deadly";

pub struct FakeTarget {
    pub id: String,
    pub address: SocketAddr,
    pub behavior: Rc<Cell<Behavior>>,
    /// The received requests as text.
    pub requests: Rc<RefCell<Vec<String>>>,
    /// The number of requests that it ran.
    pub runs: Rc<Cell<u32>>,
    /// The number of connections that the gateway closed before the response.
    pub disconnects: Rc<Cell<u32>>,
    /// Whether its process has ended.
    pub ended: watch::Receiver<bool>,
}

pub struct TestBed {
    pub address: SocketAddr,
    pub targets: Vec<FakeTarget>,
    pub shutdown: GracefulShutdown,
    pub fleet: Addr<FleetActor>,
    pub control: Addr<FleetActor>,
    pub shared: SharedView,
}

pub fn header_names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("id"),
        time_left: HeaderName::from_static("left-ms"),
        affinity: HeaderName::from_static("object"),
        expected_target: HeaderName::from_static("expected"),
        load: HeaderName::from_static("load"),
        not_run: HeaderName::from_static("not-run"),
        leaving: HeaderName::from_static("leaving"),
        cold: HeaderName::from_static("cold"),
        limit: HeaderName::from_static("limit"),
        caller: vec![USER_AGENT],
    }
}

fn route(name: &str, prefix: &str, retry_safety: RetrySafety, timeout_ms: u32) -> Item {
    let body = Body::Route(Route {
        host: "h.example".into(),
        prefix: prefix.into(),
        retry_safety: retry_safety as i32,
        timeout_ms,
        objective_ms: 400,
        priority: 1,
        services: vec![WeightedService {
            service: "s".into(),
            weight: 1_000,
        }],
        max_attempts: 3,
        sticky: false,
        allowed_regions: Vec::new(),
    });
    Item::new(name, 1, body)
}

pub fn catalog() -> Arc<Catalog> {
    let service = Body::Service(Service {
        health: "/health".into(),
        max_connections: 100,
        cold_ms: 0,
        cold_rate: 0,
    });
    let limits = Body::Limits(Limits {
        head_bytes: 16_384,
        body_bytes: 4 << 20,
        head_ms: 3_000,
        idle_ms: 15_000,
    });
    let items = vec![
        Item::new("s", 1, service),
        Item::new("limits", 1, limits),
        route("safe", "/safe/", RetrySafety::Idempotent, 1_000),
        route("once", "/once/", RetrySafety::AtMostOnce, 1_000),
        route("long", "/long/", RetrySafety::Idempotent, 5_000),
    ];
    let mut catalog = Catalog::default();
    catalog.apply_changeset(1, &Changeset { items }).unwrap();
    Arc::new(catalog)
}

fn fleet(
    role: Role,
    address: SocketAddr,
    seed: SocketAddr,
    shared: &SharedView,
) -> Addr<FleetActor> {
    let local = NodeInfo {
        address: address.to_string(),
        incarnation: u64::from(address.port()),
        role: role as i32,
        stage: 0,
        domain: "d".into(),
        caller_address: "127.0.0.1:1".into(),
    };
    let config = FleetConfig {
        local,
        seeds: vec![seed],
        regions: vec![("d".into(), "r".into())],
        failure_timeout: Duration::from_millis(1_700),
    };
    FleetActor::start(config, address, Arc::clone(shared), pimento_log::discard()).unwrap()
}

fn unused_udp_address() -> SocketAddr {
    let socket = std::net::UdpSocket::bind((unused_ip(), 0)).unwrap();
    socket.local_addr().unwrap()
}

fn unused_tcp_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind((unused_ip(), 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Returns a loopback IP that no other test bed of this process uses: on a shared
/// one, a test bed that starts at the same time could take a port before it is
/// bound again.
fn unused_ip() -> Ipv4Addr {
    static LAST: AtomicU16 = AtomicU16::new(0);
    let [high, low] = LAST.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    Ipv4Addr::new(127, 1, high, low)
}

impl TestBed {
    /// Starts a gateway and targets, and waits until the gateway knows them.
    pub async fn start(behaviors: &[Behavior]) -> Self {
        Self::start_on_link(0.0, behaviors).await
    }

    /// Does the same with a link of this many bytes per second; 0 if unknown.
    pub async fn start_on_link(link_rate: f64, behaviors: &[Behavior]) -> Self {
        let test_bed = Self::start_without_targets(link_rate);
        test_bed.control.send(SetCatalog(catalog())).await.unwrap();
        let mut test_bed = test_bed;
        for (i, behavior) in behaviors.iter().enumerate() {
            test_bed.targets.push(FakeTarget::start(i, *behavior).await);
        }
        let reports = test_bed.targets.iter().map(|t| t.report(Stage::Ready, 1));
        test_bed.announce(reports).await;
        test_bed
    }

    /// Announces targets and waits until the gateway knows them.
    pub async fn announce(&self, reports: impl ExactSizeIterator<Item = Target>) {
        let count = reports.len();
        for report in reports {
            let report = TargetReport::State(report);
            assert!(self.control.send(report).await.unwrap());
        }
        let converged = async {
            while self.shared.load().targets.all().len() < count || !self.shared.load().ready {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(TEST_TIMEOUT, converged).await.unwrap();
    }

    /// Starts a gateway without a catalog or targets.
    pub fn start_empty() -> Self {
        Self::start_without_targets(0.0)
    }

    fn start_without_targets(link_rate: f64) -> Self {
        let (control_address, entry_address) = (unused_udp_address(), unused_udp_address());
        let shared = SharedView::default();
        let control = fleet(
            Role::Control,
            control_address,
            control_address,
            &SharedView::default(),
        );
        let entry = fleet(Role::Entry, entry_address, control_address, &shared);
        let config = GatewayConfig {
            header_names: header_names(),
            region: "r".into(),
            region_count: 1,
            retry_budget: RetryBudgetConfig {
                ratio: 0.2,
                slack: 100.0,
                window: Duration::from_secs(10),
            },
            link_rate,
        };
        let log = pimento_log::discard();
        let shutdown = GracefulShutdown::default();
        let view = Arc::clone(&shared);
        let gateway = Gateway::new(config, entry.clone(), view, shutdown.clone(), log).unwrap();
        let address = unused_tcp_address();
        let limits_gateway = gateway.clone();
        let handler = move |request| gateway.clone().handle(request);
        serve(
            address,
            &shutdown,
            move || limits_gateway.connection_limits(),
            handler,
        )
        .unwrap();
        Self {
            address,
            targets: Vec::new(),
            shutdown,
            fleet: entry,
            control,
            shared,
        }
    }

    /// Sends a request and reads the response until the connection closes.
    pub async fn call(&self, path: &str, headers: &str, body: &str) -> Reply {
        let request = request(path, &format!("Connection: close\r\n{headers}"), body);
        self.exchange(&request).await
    }

    /// Sends the text of a request and reads until the connection closes.
    async fn exchange(&self, request: &str) -> Reply {
        let mut caller = TcpStream::connect(self.address).await.unwrap();
        // The write may fail: a gateway that refuses a body doesn't read all of it.
        drop(caller.write_all(request.as_bytes()).await);
        let mut bytes = Vec::new();
        let read = timeout(TEST_TIMEOUT, caller.read_to_end(&mut bytes))
            .await
            .unwrap();
        Reply::parse(&bytes, read.is_ok())
    }

    /// The number of targets whose process has ended.
    pub fn ended(&self) -> usize {
        self.targets.iter().filter(|t| *t.ended.borrow()).count()
    }

    pub fn runs(&self) -> u32 {
        self.targets.iter().map(|t| t.runs.get()).sum()
    }
}

pub fn request(path: &str, headers: &str, body: &str) -> String {
    let length = match body.len() {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    let method = if body.is_empty() { "GET" } else { "POST" };
    format!("{method} {path} HTTP/1.1\r\nHost: h.example\r\nId: r1\r\n{headers}{length}\r\n{body}")
}

/// The response that a caller received.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the response is complete according to its framing.
    pub is_complete: bool,
}

impl Reply {
    fn parse(bytes: &[u8], closed_cleanly: bool) -> Self {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let head = head.to_ascii_lowercase();
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        let is_complete = match length.and_then(|l| l.trim().parse::<usize>().ok()) {
            Some(length) => body.len() == length,
            None if head.contains("transfer-encoding: chunked") => body.ends_with("0\r\n\r\n"),
            None => closed_cleanly,
        };
        Self {
            status: status.unwrap_or(0),
            body: body.to_owned(),
            head,
            is_complete,
        }
    }
}

impl FakeTarget {
    async fn start(number: usize, behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (end, ended) = watch::channel(false);
        let target = Self {
            id: format!("t{number}"),
            address: listener.local_addr().unwrap(),
            behavior: Rc::new(Cell::new(behavior)),
            requests: Rc::default(),
            runs: Rc::default(),
            disconnects: Rc::default(),
            ended: ended.clone(),
        };
        let end = Rc::new(end);
        let (behavior, requests) = (Rc::clone(&target.behavior), Rc::clone(&target.requests));
        let (runs, disconnects) = (Rc::clone(&target.runs), Rc::clone(&target.disconnects));
        let mut listener_ended = ended.clone();
        actix_rt::spawn(async move {
            loop {
                let tcp = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap().0,
                    _ = listener_ended.wait_for(|ended| *ended) => return,
                };
                let (behavior, requests) = (Rc::clone(&behavior), Rc::clone(&requests));
                let (runs, disconnects) = (Rc::clone(&runs), Rc::clone(&disconnects));
                let (end, mut ended) = (Rc::clone(&end), ended.clone());
                actix_rt::spawn(async move {
                    tokio::select! {
                        served = serve_connection(tcp, &behavior, &requests, &runs, &end) => {
                            if served.is_none() {
                                disconnects.set(disconnects.get() + 1);
                            }
                        }
                        _ = ended.wait_for(|ended| *ended) => {}
                    }
                });
            }
        });
        target
    }

    pub fn report(&self, stage: Stage, seq: u64) -> Target {
        Target {
            id: self.id.clone(),
            incarnation: 1,
            seq,
            stage: stage as i32,
            address: self.address.to_string(),
            service: "s".into(),
            domain: "d".into(),
            slots: 4,
            cold_ms: 0,
        }
    }
}

/// Serves a connection; none if the gateway closed it before the response.
async fn serve_connection(
    mut tcp: TcpStream,
    behavior: &Cell<Behavior>,
    requests: &RefCell<Vec<String>>,
    runs: &Cell<u32>,
    end: &watch::Sender<bool>,
) -> Option<()> {
    loop {
        let Some(request) = read_request(&mut tcp).await else {
            return Some(());
        };
        let id = header(&request, "id");
        let is_deadly = request.lines().next().is_some_and(|l| l.contains(DEADLY));
        requests.borrow_mut().push(request);
        let behavior = behavior.get();
        if !matches!(
            behavior,
            Behavior::Shed
                | Behavior::ShedWith(_)
                | Behavior::SlowShedWith(..)
                | Behavior::Replaced
        ) {
            runs.set(runs.get() + 1);
        }
        if let Behavior::Slow(delay) | Behavior::SlowShedWith(delay, _) | Behavior::Mortal(delay) =
            behavior
        {
            let mut byte = [0];
            tokio::select! {
                () = sleep(delay) => {}
                _ = tcp.read(&mut byte) => return None,
            }
        }
        if is_deadly && matches!(behavior, Behavior::Mortal(_)) {
            end.send_replace(true);
            return Some(());
        }
        tcp.write_all(response_text(behavior, &id).as_bytes())
            .await
            .ok()?;
        if matches!(
            behavior,
            Behavior::Truncate | Behavior::Close | Behavior::Unframed | Behavior::Garbage
        ) {
            return Some(());
        }
    }
}

fn response_text(behavior: Behavior, id: &str) -> String {
    let response = |status: &str, id: &str, extra: &str| {
        format!(
            "HTTP/1.1 {status}\r\nId: {id}\r\nStamp: s\r\n{extra}Content-Length: 5\r\n\r\nhello"
        )
    };
    match behavior {
        Behavior::Respond | Behavior::Slow(_) | Behavior::Mortal(_) => {
            response("200 OK", id, "Load: 1,0,4\r\n")
        }
        Behavior::RespondWith(extra) => response("200 OK", id, extra),
        Behavior::ShedWith(extra) | Behavior::SlowShedWith(_, extra) => {
            let extra = format!("Not-Run: 1\r\n{extra}");
            response("503 Service Unavailable", id, &extra)
        }
        Behavior::FailWithoutId(extra) => {
            response("503 Service Unavailable", id, extra).replace(&format!("Id: {id}\r\n"), "")
        }
        Behavior::Truncate => response("200 OK", id, "").replace("hello", "he"),
        Behavior::WrongId => response("200 OK", "another", ""),
        Behavior::ExtraResponse => response("200 OK", id, "").repeat(2),
        Behavior::Shed => response("503 Service Unavailable", id, "Not-Run: 1\r\n"),
        Behavior::Replaced => response("421 Misdirected Request", id, ""),
        Behavior::ServerError => response("500 Internal Server Error", id, ""),
        Behavior::Close => String::new(),
        Behavior::Unframed => format!("HTTP/1.1 200 OK\r\nId: {id}\r\nStamp: s\r\n\r\nhello"),
        Behavior::Large => format!(
            "HTTP/1.1 200 OK\r\nId: {id}\r\nStamp: s\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n{}",
            "x".repeat(LARGE_BODY_BYTES)
        ),
        Behavior::Garbage => "no answer at all\r\n\r\n".into(),
    }
}

/// Reads a request with its body as text; none at the end of the connection.
async fn read_request(tcp: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    while !is_whole_request(&bytes) {
        let read = tcp.read(&mut chunk).await.ok()?;
        if read == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..read]);
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

fn is_whole_request(bytes: &[u8]) -> bool {
    let head_end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    let Some(head_end) = head_end else {
        return false;
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]);
    let body = &bytes[head_end + 4..];
    if header(&head, "transfer-encoding") == "chunked" {
        return body.ends_with(b"0\r\n\r\n");
    }
    body.len() >= header(&head, "content-length").parse().unwrap_or(0)
}

/// Returns the value of a header of a request, empty if it is missing.
pub fn header(request: &str, name: &str) -> String {
    let mut pairs = request.lines().filter_map(|line| line.split_once(':'));
    let found = pairs.find(|(other, _)| other.eq_ignore_ascii_case(name));
    found
        .map(|(_, value)| value.trim().to_owned())
        .unwrap_or_default()
}
