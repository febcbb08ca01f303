//! The byte stream of a connection to a target.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context, Poll},
};
use tokio::net::TcpStream;

/// The maximum number of informational responses to one request.
const MAX_INFORMATIONAL_RESPONSES: u32 = 100;

/// The number of informational responses that came for the current request.
#[derive(Clone, Debug, Default)]
pub(crate) struct InformationalCount(Arc<AtomicU32>);

impl InformationalCount {
    /// Starts from zero for a request, and counts the responses to it.
    pub(crate) fn watch<B>(&self, request: &mut hyper::Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = Arc::clone(&self.0);
        hyper::ext::on_informational(request, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
    }

    fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_INFORMATIONAL_RESPONSES
    }
}

/// A TCP stream that fails if a target sends informational responses without end.
///
/// The HTTP library skips them, as many as the socket has, before any other task
/// runs. Only a failed read stops it.
#[derive(Debug)]
pub(crate) struct TargetStream {
    tcp: TokioIo<TcpStream>,
    informational: InformationalCount,
}

impl TargetStream {
    pub(crate) fn new(tcp: TcpStream, informational: InformationalCount) -> Self {
        Self {
            tcp: TokioIo::new(tcp),
            informational,
        }
    }
}

impl Read for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.informational.is_exceeded() {
            let error = io::Error::other("too many informational responses");
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl Write for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
