//! A gateway on loopback, targets that do what a test says, and raw callers.

#![allow(dead_code, reason = "each test file uses a part of it")]

use actix::Addr;
use hyper::header::HeaderName;
use pimento_fleet::{
    FleetActor, FleetConfig, NodeInfo, Role, SetCatalog, SharedView, TargetReport,
};
use pimento_gateway::{Dialect, Gateway, GatewayConfig, Repeats, Stop, serve};
use pimento_items::{
    Body, Catalog, Changeset, Item, Limits, RetrySafety, Route, Service, WeightedService,
};
use pimento_registry::{Stage, Target};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// The longest wait for anything.
const LIMIT: Duration = Duration::from_secs(10);

/// What a target does with each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    Answer,
    /// Breaks off within the body.
    Truncate,
    /// Answers with another request's id.
    Foreign,
    /// Sends another answer after its own.
    Extra,
    /// Refuses without running it.
    Shed,
    /// Is another target than expected.
    Replaced,
    /// Fails it.
    Fail,
    /// Closes without an answer.
    Close,
    /// Answers after a time.
    Slow(Duration),
    /// An answer that ends with its connection.
    Unframed,
    /// No HTTP at all.
    Garbage,
}

pub struct FakeTarget {
    pub id: String,
    pub address: SocketAddr,
    pub act: Rc<Cell<Act>>,
    /// The requests as they came.
    pub seen: Rc<RefCell<Vec<String>>>,
    /// The requests that it ran.
    pub ran: Rc<Cell<u32>>,
    /// The connections whose caller closed before the answer.
    pub left: Rc<Cell<u32>>,
}

pub struct Site {
    pub address: SocketAddr,
    pub targets: Vec<FakeTarget>,
    pub stop: Stop,
    pub fleet: Addr<FleetActor>,
    pub control: Addr<FleetActor>,
    pub shared: SharedView,
}

pub fn dialect() -> Dialect {
    Dialect {
        request_id: HeaderName::from_static("id"),
        time_left: HeaderName::from_static("left-ms"),
        object: HeaderName::from_static("object"),
        expected: HeaderName::from_static("expected"),
        load: HeaderName::from_static("load"),
        not_run: HeaderName::from_static("not-run"),
        cold: HeaderName::from_static("cold"),
    }
}

fn route(name: &str, prefix: &str, repeat: RetrySafety) -> Item {
    let body = Body::Route(Route {
        host: "h.example".into(),
        prefix: prefix.into(),
        repeat: repeat as i32,
        timeout_ms: 1_000,
        objective_ms: 400,
        priority: 1,
        parts: vec![WeightedService {
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
        route("safe", "/safe/", RetrySafety::Idempotent),
        route("once", "/once/", RetrySafety::AtMostOnce),
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

fn free_udp() -> SocketAddr {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.local_addr().unwrap()
}

fn free_tcp() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

impl Site {
    /// A gateway that knows some targets.
    pub async fn start(acts: &[Act]) -> Self {
        let site = Self::bare();
        site.control.send(SetCatalog(catalog())).await.unwrap();
        let mut site = site;
        for (i, act) in acts.iter().enumerate() {
            site.targets.push(FakeTarget::start(i, *act).await);
        }
        for target in &site.targets {
            let report = TargetReport::State(target.report(Stage::Ready, 1));
            assert!(site.control.send(report).await.unwrap());
        }
        let known = async {
            while site.shared.load().targets.all().len() < acts.len() || !site.shared.load().ready {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(LIMIT, known).await.unwrap();
        site
    }

    /// A gateway that knows nothing.
    pub fn bare() -> Self {
        let (control_at, entry_at) = (free_udp(), free_udp());
        let shared = SharedView::default();
        let control = fleet(
            Role::Control,
            control_at,
            control_at,
            &SharedView::default(),
        );
        let entry = fleet(Role::Entry, entry_at, control_at, &shared);
        let config = GatewayConfig {
            dialect: dialect(),
            region: "r".into(),
            regions: 1,
            repeats: Repeats {
                ratio: 0.2,
                slack: 100.0,
                window: Duration::from_secs(10),
            },
            link: 0.0,
        };
        let log = pimento_log::discard();
        let gateway = Gateway::new(config, entry.clone(), Arc::clone(&shared), log).unwrap();
        let stop = Stop::default();
        let address = free_tcp();
        let idle = gateway.clone();
        let answer = move |request| gateway.clone().answer(request);
        serve(address, &stop, move || idle.idle(), answer).unwrap();
        Self {
            address,
            targets: Vec::new(),
            stop,
            fleet: entry,
            control,
            shared,
        }
    }

    /// Sends a request and reads the answer until the connection closes.
    pub async fn call(&self, path: &str, headers: &str, body: &str) -> Reply {
        let mut caller = TcpStream::connect(self.address).await.unwrap();
        let request = request(path, &format!("Connection: close\r\n{headers}"), body);
        // A gateway that refuses a body doesn't read all of it.
        drop(caller.write_all(request.as_bytes()).await);
        let mut bytes = Vec::new();
        let read = timeout(LIMIT, caller.read_to_end(&mut bytes))
            .await
            .unwrap();
        Reply::parse(&bytes, read.is_ok())
    }

    pub fn ran(&self) -> u32 {
        self.targets.iter().map(|t| t.ran.get()).sum()
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

/// What a caller got.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the answer is complete by its own framing.
    pub whole: bool,
}

impl Reply {
    fn parse(bytes: &[u8], clean: bool) -> Self {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let head = head.to_ascii_lowercase();
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        let whole = match length.and_then(|l| l.trim().parse::<usize>().ok()) {
            Some(length) => body.len() == length,
            None if head.contains("transfer-encoding: chunked") => body.ends_with("0\r\n\r\n"),
            None => clean,
        };
        Self {
            status: status.unwrap_or(0),
            body: body.to_owned(),
            head,
            whole,
        }
    }
}

impl FakeTarget {
    async fn start(number: usize, act: Act) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Self {
            id: format!("t{number}"),
            address: listener.local_addr().unwrap(),
            act: Rc::new(Cell::new(act)),
            seen: Rc::default(),
            ran: Rc::default(),
            left: Rc::default(),
        };
        let (act, seen) = (Rc::clone(&target.act), Rc::clone(&target.seen));
        let (ran, left) = (Rc::clone(&target.ran), Rc::clone(&target.left));
        actix_rt::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let (act, seen) = (Rc::clone(&act), Rc::clone(&seen));
                let (ran, left) = (Rc::clone(&ran), Rc::clone(&left));
                actix_rt::spawn(async move {
                    if talk(tcp, &act, &seen, &ran).await.is_none() {
                        left.set(left.get() + 1);
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

/// Serves a connection; none if the other end closed before its answer.
async fn talk(
    mut tcp: TcpStream,
    act: &Cell<Act>,
    seen: &RefCell<Vec<String>>,
    ran: &Cell<u32>,
) -> Option<()> {
    loop {
        let Some(request) = read_request(&mut tcp).await else {
            return Some(());
        };
        let id = header(&request, "id");
        seen.borrow_mut().push(request);
        let act = act.get();
        if !matches!(act, Act::Shed | Act::Replaced) {
            ran.set(ran.get() + 1);
        }
        if let Act::Slow(span) = act {
            let mut byte = [0];
            tokio::select! {
                () = sleep(span) => {}
                _ = tcp.read(&mut byte) => return None,
            }
        }
        tcp.write_all(answer(act, &id).as_bytes()).await.ok()?;
        if matches!(
            act,
            Act::Truncate | Act::Close | Act::Unframed | Act::Garbage
        ) {
            return Some(());
        }
    }
}

fn answer(act: Act, id: &str) -> String {
    let whole = |status: &str, id: &str, extra: &str| {
        format!(
            "HTTP/1.1 {status}\r\nId: {id}\r\nStamp: s\r\n{extra}Content-Length: 5\r\n\r\nhello"
        )
    };
    match act {
        Act::Answer | Act::Slow(_) => whole("200 OK", id, "Load: 1,0,4\r\n"),
        Act::Truncate => whole("200 OK", id, "").replace("hello", "he"),
        Act::Foreign => whole("200 OK", "another", ""),
        Act::Extra => whole("200 OK", id, "").repeat(2),
        Act::Shed => whole("503 Service Unavailable", id, "Not-Run: 1\r\n"),
        Act::Replaced => whole("421 Misdirected Request", id, ""),
        Act::Fail => whole("500 Internal Server Error", id, ""),
        Act::Close => String::new(),
        Act::Unframed => format!("HTTP/1.1 200 OK\r\nId: {id}\r\nStamp: s\r\n\r\nhello"),
        Act::Garbage => "no answer at all\r\n\r\n".into(),
    }
}

/// Reads a request with its body as text.
async fn read_request(tcp: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").parse().unwrap_or(0);
            let chunked = header(head, "transfer-encoding") == "chunked";
            if (chunked && body.ends_with("0\r\n\r\n")) || (!chunked && body.len() >= length) {
                return Some(text);
            }
        }
        let read = tcp.read(&mut chunk).await.ok()?;
        if read == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..read]);
    }
}

/// The value of a header in a request as text.
pub fn header(request: &str, name: &str) -> String {
    let mut pairs = request.lines().filter_map(|line| line.split_once(':'));
    let found = pairs.find(|(other, _)| other.eq_ignore_ascii_case(name));
    found
        .map(|(_, value)| value.trim().to_owned())
        .unwrap_or_default()
}
