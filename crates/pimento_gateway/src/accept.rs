//! Listeners and the connections of callers.

use crate::{ResponseBody, Stop};
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
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::{Instant, sleep_until},
};

/// The connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The wait after a failed accept, such as with too many open files.
const BACKOFF: Duration = Duration::from_millis(50);

/// How long a connection may stay idle, and how large a head may be.
#[derive(Clone, Copy, Debug)]
pub struct Idle {
    /// The longest time without a request.
    pub limit: Duration,
    /// The largest head, in bytes.
    pub head: usize,
}

/// Takes connections and hands their requests to a function, until the stop
/// has begun and the listener is dropped.
///
/// # Errors
///
/// Returns the system's error if the address can't be used.
pub fn serve<F, R>(
    address: SocketAddr,
    stop: &Stop,
    idle: impl Fn() -> Idle + 'static,
    answer: F,
) -> std::io::Result<actix_rt::task::JoinHandle<()>>
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    let listener = listen(address)?;
    let stop = stop.clone();
    let task = actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((tcp, _)) => {
                    let connection = connection(tcp, stop.clone(), idle(), answer.clone());
                    actix_rt::spawn(connection);
                }
                Err(_) => tokio::time::sleep(BACKOFF).await,
            }
        }
    });
    Ok(task)
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// When a connection was used last, and whether a request is under way.
#[derive(Debug)]
struct Use {
    last: Cell<Instant>,
    busy: Cell<bool>,
}

/// Serves one connection until it ends, has been idle for too long, or the
/// process stops.
async fn connection<F, R>(tcp: TcpStream, stop: Stop, idle: Idle, answer: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    let open = stop.enter();
    // Without it the answer is only later, not wrong.
    tcp.set_nodelay(true).unwrap_or_default();
    let usage = Rc::new(Use {
        last: Cell::new(Instant::now()),
        busy: Cell::new(false),
    });
    let (own, working) = (Rc::clone(&usage), stop.clone());
    let service = service_fn(move |request| {
        let (usage, answer, count) = (Rc::clone(&own), answer.clone(), working.work());
        let stop = working.clone();
        usage.busy.set(true);
        async move {
            let mut response = answer(request).await;
            if stop.begun() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            usage.busy.set(false);
            usage.last.set(Instant::now());
            drop(count);
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(idle.head.max(MIN_HEAD))
        .pipeline_flush(true);
    let served = builder.serve_connection(TokioIo::new(tcp), service);
    let mut served = pin!(served);
    let end = pin!(ended(&usage, idle.limit, &stop));
    // A caller that broke off has no use for the error.
    if let Either::Right(_) = select(served.as_mut(), end).await {
        Pin::as_mut(&mut served).graceful_shutdown();
        served.await.unwrap_or_default();
    }
    drop(open);
}

/// The smallest buffer that the HTTP library takes, in bytes.
const MIN_HEAD: usize = 8_192;

/// Waits until a connection was idle for too long, or the process stops.
async fn ended(usage: &Use, limit: Duration, stop: &Stop) {
    let idle = async {
        loop {
            let from = if usage.busy.get() {
                Instant::now()
            } else {
                usage.last.get()
            };
            if from.elapsed() >= limit {
                return;
            }
            sleep_until(from + limit).await;
        }
    };
    select(pin!(idle), pin!(stop.wait())).await;
}
