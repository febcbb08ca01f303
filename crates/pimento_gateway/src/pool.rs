//! Connections to targets.

use crate::{ResponseBody, headers};
use actix_rt::task::JoinHandle;
use hyper::{
    HeaderMap,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use pimento_fleet::TargetInfo;
use std::{cell::RefCell, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout},
};

/// The longest that connecting may take: a few round trips to the furthest
/// region.
const CONNECT: Duration = Duration::from_millis(300);
/// How long an idle connection is kept if the target doesn't say.
const KEPT: Duration = Duration::from_secs(4);
/// How much earlier than the target a connection is given up.
const MARGIN: Duration = Duration::from_millis(1_500);
/// The longest idle time after which a connection may carry what must not run
/// twice: it may have gone silent or be closing.
const FRESH: Duration = Duration::from_secs(5);

/// A connection to a target; dropped before its request is done, it closes.
#[derive(Debug)]
pub(crate) struct Connection {
    pub sender: SendRequest<ResponseBody>,
    /// Whether it has carried a request before.
    pub used: bool,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Resting {
    connection: Connection,
    target: Arc<str>,
    since: Instant,
    until: Instant,
}

/// Idle connections to targets.
#[derive(Debug, Default)]
pub(crate) struct Pool(RefCell<Vec<Resting>>);

impl Pool {
    /// The idle connection to a target that was used last, fit for what must
    /// not run twice if asked.
    pub(crate) fn take(&self, target: &TargetInfo, once: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut resting = self.0.borrow_mut();
        resting.retain(|r| r.until > now && !r.connection.sender.is_closed());
        let fit = |r: &Resting| {
            let fresh = !once || now.duration_since(r.since) < FRESH;
            r.target == target.id && fresh && r.connection.sender.is_ready()
        };
        let at = resting.iter().rposition(fit)?;
        Some(resting.remove(at).connection)
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn put(&self, target: &TargetInfo, mut connection: Connection, kept: Duration) {
        connection.used = true;
        let now = Instant::now();
        self.0.borrow_mut().push(Resting {
            connection,
            target: Arc::clone(&target.id),
            since: now,
            until: now + kept,
        });
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let fit = |r: &Resting| r.until > now && !r.connection.sender.is_closed();
        self.0.borrow_mut().retain(fit);
    }
}

/// How long a connection may be kept idle by the headers of its last answer;
/// none if it closes.
pub(crate) fn kept(headers: &HeaderMap) -> Option<Duration> {
    if headers::closes(headers) {
        return None;
    }
    let told = headers::kept(headers).map(Duration::from_secs);
    let kept = told.map_or(KEPT, |told| told.saturating_sub(MARGIN));
    (!kept.is_zero()).then_some(kept)
}

/// A target could not be reached, so nothing was sent to it.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    #[error("connecting took too long")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error("the connection was refused")]
    Refused(#[from] std::io::Error),
    #[error("the connection broke off")]
    Broken(#[from] hyper::Error),
}

/// Opens a connection.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, ConnectError> {
    let tcp = timeout(CONNECT, TcpStream::connect(address)).await??;
    // Without it requests are only later, not wrong.
    tcp.set_nodelay(true).unwrap_or_default();
    let (sender, driver) = http1::handshake(TokioIo::new(tcp)).await?;
    let task = actix_rt::spawn(async move {
        // How it ended shows in what was sent on it.
        driver.await.unwrap_or_default();
    });
    Ok(Connection {
        sender,
        used: false,
        task,
    })
}
