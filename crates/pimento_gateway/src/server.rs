//! Listening for and serving HTTP connections.

use crate::{GracefulShutdown, ResponseBody};
use futures_util::future::{Either, select};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use std::{
    cell::Cell,
    convert::Infallible,
    future::pending,
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time::{Instant, sleep, sleep_until},
};

/// The length of the listen backlog, in connections.
const MAX_PENDING_CONNECTIONS: u32 = 1_024;
/// How often the limits are compared with those that the connections follow.
const LIMITS_INTERVAL: Duration = Duration::from_secs(1);
/// The delay after a failed accept, for example when too many files are open.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Limits on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// How long the connection may have no active request.
    pub idle_timeout: Duration,
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
}

/// Accepts connections and passes their requests to a handler. Once a graceful
/// shutdown closes idle connections, the listener closes as well.
///
/// Open connections follow changes of the limits. One that was accepted with room for
/// smaller heads only closes as soon as it has no active request.
///
/// # Errors
///
/// Returns the operating system's error if the address can't be bound.
pub fn serve<F, R>(
    address: SocketAddr,
    shutdown: &GracefulShutdown,
    limits: impl Fn() -> ConnectionLimits + 'static,
    handler: F,
) -> std::io::Result<actix_rt::task::JoinHandle<()>>
where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    let listener = listen(address)?;
    let (shutdown, handler) = (shutdown.clone(), Rc::new(handler));
    let (sender, receiver) = watch::channel(limits());
    actix_rt::spawn(follow_limits(limits, sender));
    let task = actix_rt::spawn(async move {
        let mut closing = pin!(shutdown.wait_for_idle_close());
        loop {
            let accept = pin!(listener.accept());
            let Either::Right((accepted, _)) = select(closing.as_mut(), accept).await else {
                return;
            };
            match accepted {
                Ok((tcp, _)) => {
                    // Counted here: its task may not have run when the shutdown ends.
                    let guard = shutdown.count_connection();
                    let handler = Rc::clone(&handler);
                    let connection =
                        serve_connection(tcp, shutdown.clone(), receiver.clone(), handler);
                    actix_rt::spawn(async move {
                        connection.await;
                        drop(guard);
                    });
                }
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
    });
    Ok(task)
}

/// Passes on changes of the limits until all connections are closed.
async fn follow_limits(
    limits: impl Fn() -> ConnectionLimits,
    sender: watch::Sender<ConnectionLimits>,
) {
    while !sender.is_closed() {
        sleep(LIMITS_INTERVAL).await;
        let current = limits();
        sender.send_if_modified(|known| std::mem::replace(known, current) != current);
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(MAX_PENDING_CONNECTIONS)
}

/// When a connection was last used, and whether it has an active request.
#[derive(Debug)]
struct Activity {
    last_used: Cell<Instant>,
    has_request: Cell<bool>,
}

/// Serves one connection until the caller closes it, it exceeds its idle
/// timeout, or the process shuts down.
async fn serve_connection<F, R>(
    tcp: TcpStream,
    shutdown: GracefulShutdown,
    limits: watch::Receiver<ConnectionLimits>,
    handler: Rc<F>,
) where
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    // A failure only delays responses (Nagle's algorithm), so it is ignored.
    tcp.set_nodelay(true).unwrap_or_default();
    let activity = Rc::new(Activity {
        last_used: Cell::new(Instant::now()),
        has_request: Cell::new(false),
    });
    let (service_activity, service_shutdown) = (Rc::clone(&activity), shutdown.clone());
    let service = service_fn(move |request| {
        let (activity, handler, request_guard) = (
            Rc::clone(&service_activity),
            Rc::clone(&handler),
            service_shutdown.count_request(),
        );
        let shutdown = service_shutdown.clone();
        activity.has_request.set(true);
        async move {
            let mut response = handler(request).await;
            if shutdown.has_begun() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            activity.has_request.set(false);
            activity.last_used.set(Instant::now());
            drop(request_guard);
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    let head_bytes = limits.borrow().head_bytes;
    builder.max_buf_size(head_bytes.max(MIN_BUFFER_BYTES));
    let mut served = builder.serve_connection(TokioIo::new(tcp), service);
    let close = pin!(wait_for_close(&activity, limits, head_bytes, &shutdown));
    let ended = match select(&mut served, close).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => {
            Pin::new(&mut served).graceful_shutdown();
            (&mut served).await
        }
    };
    // Other errors mean that the caller disconnected.
    if ended.is_err_and(|error| error.is_user()) {
        // A response without a length ends with its connection. One whose body
        // failed must not look complete, so its connection is reset. If that
        // fails, the connection is closed already.
        let tcp = served.into_parts().io.into_inner();
        tcp.set_zero_linger().unwrap_or_default();
    }
}

/// The minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Waits until a connection exceeds its idle timeout, has less room for heads than
/// the limits now allow, or must close because the process shuts down.
async fn wait_for_close(
    activity: &Activity,
    mut limits: watch::Receiver<ConnectionLimits>,
    head_bytes: usize,
    shutdown: &GracefulShutdown,
) {
    let outdated = async {
        loop {
            let ConnectionLimits {
                idle_timeout,
                head_bytes: allowed_bytes,
            } = *limits.borrow_and_update();
            let idle_since = if activity.has_request.get() {
                Instant::now()
            } else {
                activity.last_used.get()
            };
            if idle_since.elapsed() >= idle_timeout || allowed_bytes > head_bytes {
                return;
            }
            let timer = pin!(sleep_until(idle_since + idle_timeout));
            select(timer, pin!(wait_for_change(&mut limits))).await;
        }
    };
    select(pin!(outdated), pin!(shutdown.wait_for_idle_close())).await;
}

/// Waits for the next change of the limits.
async fn wait_for_change(limits: &mut watch::Receiver<ConnectionLimits>) {
    if limits.changed().await.is_err() {
        // Nobody changes them any more.
        pending::<()>().await;
    }
}
