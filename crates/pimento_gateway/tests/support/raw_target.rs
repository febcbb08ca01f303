//! A fake target that sends exactly the bytes that a test chooses.

use super::{Reply, TestBed, read_request, request};
use pimento_registry::{Stage, Target};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// How long a raw target waits before it resets a connection or sends late bytes,
/// so that the gateway has read what came before.
const PAUSE: Duration = Duration::from_millis(30);

/// A request that a raw target received.
#[derive(Debug)]
pub struct Received<'a> {
    /// The number of requests that came before it on its connection.
    pub earlier: usize,
    /// The value of its id header.
    pub id: &'a str,
}

/// What a raw target does after it has sent the bytes of an answer.
#[derive(Clone, Debug)]
pub enum Then {
    /// Waits for the next request.
    Keep,
    /// Sends more bytes while the connection is idle.
    Late(String),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Sends nothing more and keeps the connection open.
    Stall,
    /// Sends bytes again and again until the gateway closes the connection.
    Repeat(String),
}

type Script = Rc<dyn Fn(Received<'_>) -> (String, Then)>;

/// A target that answers as a test's script says.
pub struct RawTarget {
    pub id: String,
    pub address: SocketAddr,
    counts: Rc<Counts>,
}

#[derive(Default)]
struct Counts {
    requests: RefCell<Vec<String>>,
    connections: Cell<u32>,
    open: Cell<u32>,
    repeated_bytes: Cell<usize>,
}

impl RawTarget {
    /// Starts a target whose script returns the bytes of each answer.
    pub async fn start(
        id: &str,
        script: impl Fn(Received<'_>) -> (String, Then) + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = Self {
            id: id.into(),
            address: listener.local_addr().unwrap(),
            counts: Rc::default(),
        };
        let (counts, script) = (Rc::clone(&target.counts), Rc::new(script) as Script);
        actix_rt::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let (counts, script) = (Rc::clone(&counts), Rc::clone(&script));
                actix_rt::spawn(async move {
                    counts.connections.set(counts.connections.get() + 1);
                    counts.open.set(counts.open.get() + 1);
                    serve(tcp, &counts, &script).await;
                    counts.open.set(counts.open.get() - 1);
                });
            }
        });
        target
    }

    /// The ids of the requests that it received.
    pub fn requests(&self) -> Vec<String> {
        self.counts.requests.borrow().clone()
    }

    /// The number of connections that it accepted.
    pub fn connections(&self) -> u32 {
        self.counts.connections.get()
    }

    /// The number of connections that are open.
    pub fn open_connections(&self) -> u32 {
        self.counts.open.get()
    }

    /// The number of bytes that [`Then::Repeat`] has sent.
    pub fn repeated_bytes(&self) -> usize {
        self.counts.repeated_bytes.get()
    }

    pub fn report(&self) -> Target {
        Target {
            id: self.id.clone(),
            incarnation: 1,
            seq: 1,
            stage: Stage::Ready as i32,
            address: self.address.to_string(),
            service: "s".into(),
            domain: "d".into(),
            slots: 4,
            cold_ms: 0,
        }
    }
}

async fn serve(mut tcp: TcpStream, counts: &Counts, script: &Script) -> Option<()> {
    for earlier in 0.. {
        let request = read_request(&mut tcp).await?;
        let id = super::header(&request, "id");
        counts.requests.borrow_mut().push(id.clone());
        let (bytes, then) = script(Received { earlier, id: &id });
        tcp.write_all(bytes.as_bytes()).await.ok()?;
        match then {
            Then::Keep => {}
            Then::Close => return None,
            Then::Late(bytes) => {
                sleep(PAUSE).await;
                tcp.write_all(bytes.as_bytes()).await.ok()?;
            }
            Then::Reset => {
                sleep(PAUSE).await;
                tcp.set_zero_linger().ok()?;
                return None;
            }
            Then::Stall => {
                tcp.read_to_end(&mut Vec::new()).await.ok()?;
                return None;
            }
            Then::Repeat(bytes) => loop {
                tcp.write_all(bytes.as_bytes()).await.ok()?;
                let sent = &counts.repeated_bytes;
                sent.set(sent.get() + bytes.len());
            },
        }
    }
    None
}

impl TestBed {
    /// Starts a gateway that knows raw targets.
    pub async fn start_raw(targets: &[&RawTarget]) -> Self {
        Self::start_raw_on_link(0.0, targets).await
    }

    /// Does the same with a link of this many bytes per second; 0 if unknown.
    pub async fn start_raw_on_link(link_rate: f64, targets: &[&RawTarget]) -> Self {
        let test_bed = Self::start_on_link(link_rate, &[]).await;
        let reports = targets.iter().map(|t| t.report());
        test_bed.announce(reports).await;
        test_bed
    }

    /// Sends a request with an id of its own.
    pub async fn call_as(&self, id: &str, path: &str, body: &str) -> Reply {
        let request = request(path, "Connection: close\r\n", body);
        let request = request.replace("Id: r1\r\n", &format!("Id: {id}\r\n"));
        self.exchange(&request).await
    }
}

/// Returns an answer with a length and the body `hello`.
pub fn answer(status: &str, headers: &str) -> String {
    format!("HTTP/1.1 {status}\r\nStamp: s\r\n{headers}Content-Length: 5\r\n\r\nhello")
}
