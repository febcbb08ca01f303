//! Pool of keep-alive connections to targets.

use crate::{
    ResponseBody, headers,
    target_stream::{InformationalCount, TargetStream},
};
use actix_rt::task::JoinHandle;
use hyper::{
    HeaderMap,
    client::conn::http1::{self, SendRequest},
};
use pimento_fleet::TargetInfo;
use std::{cell::RefCell, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

/// The timeout for opening a connection: a few round trips to the most distant
/// region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum size of a response head, and of what is read ahead of a body, in
/// bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// How long an idle connection is kept if the target's response has no
/// `Keep-Alive` timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// How much earlier than the target's own timeout an idle connection is closed.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);
/// How long a connection may have been idle to carry a request that isn't
/// idempotent: after a longer time it may be dead or about to close.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(5);

/// A connection to a target. It closes when dropped, also during a request.
#[derive(Debug)]
pub(crate) struct Connection {
    pub sender: SendRequest<ResponseBody>,
    /// Whether it has already carried a request.
    pub used: bool,
    pub informational: InformationalCount,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    target: Arc<str>,
    idle_since: Instant,
    expires_at: Instant,
}

/// Idle connections to targets.
#[derive(Debug, Default)]
pub(crate) struct Pool(RefCell<Vec<IdleConnection>>);

impl Pool {
    /// Takes out the most recently used idle connection to a target. For a
    /// request that isn't idempotent only a recently used one is returned.
    pub(crate) fn checkout(&self, target: &TargetInfo, non_idempotent: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.0.borrow_mut();
        idle.retain(|c| c.expires_at > now && !c.connection.sender.is_closed());
        let is_usable = |c: &IdleConnection| {
            let is_fresh =
                !non_idempotent || now.duration_since(c.idle_since) < MAX_IDLE_NON_IDEMPOTENT;
            c.target == target.id && is_fresh && c.connection.sender.is_ready()
        };
        let index = idle.iter().rposition(is_usable)?;
        Some(idle.remove(index).connection)
    }

    /// Returns a connection to the pool once its response was read completely.
    pub(crate) fn checkin(
        &self,
        target: &TargetInfo,
        mut connection: Connection,
        keep_alive: Duration,
    ) {
        connection.used = true;
        let now = Instant::now();
        self.0.borrow_mut().push(IdleConnection {
            connection,
            target: Arc::clone(&target.id),
            idle_since: now,
            expires_at: now + keep_alive,
        });
    }

    /// Closes the connections whose idle time is over.
    pub(crate) fn remove_expired(&self) {
        let now = Instant::now();
        let is_usable = |c: &IdleConnection| c.expires_at > now && !c.connection.sender.is_closed();
        self.0.borrow_mut().retain(is_usable);
    }
}

/// How long a connection may stay idle according to the headers of its last
/// response; `None` if it closes.
pub(crate) fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    if headers::has_close(headers) {
        return None;
    }
    let advertised = headers::keep_alive_secs(headers).map(Duration::from_secs);
    let keep_alive = advertised.map_or(DEFAULT_KEEP_ALIVE, |advertised| {
        advertised.saturating_sub(KEEP_ALIVE_MARGIN)
    });
    (!keep_alive.is_zero()).then_some(keep_alive)
}

/// Connecting to a target failed, so nothing was sent to it.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    #[error("connecting took too long")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error("the connection was refused")]
    Refused(#[from] std::io::Error),
    #[error("the connection broke off")]
    Broken(#[from] hyper::Error),
}

/// Opens a connection and starts the task that drives it.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let tcp = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    // A failure only delays requests (Nagle's algorithm), so it is ignored.
    tcp.set_nodelay(true).unwrap_or_default();
    // A close resets the connection: what a cut network still holds of a request
    // that was given up must not reach the target once the cut has healed.
    tcp.set_zero_linger().unwrap_or_default();
    let informational = InformationalCount::default();
    let stream = TargetStream::new(tcp, informational.clone());
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let (sender, driver) = builder.handshake(stream).await?;
    let task = actix_rt::spawn(async move {
        // Errors also reach the request that was sent on the connection.
        driver.await.unwrap_or_default();
    });
    Ok(Connection {
        sender,
        used: false,
        informational,
        task,
    })
}
