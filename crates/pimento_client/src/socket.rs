//! A socket that hands over complete responses only.

use crate::{framing::invalid, response::ResponseTracker};
use actix_rt::net::{ActixStream, Ready, TcpStream};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// How much of a head is read at a time, in bytes.
const HEAD_READ_BYTES: usize = 4 << 10;

/// A TCP socket on which the end of the input is an error, and which hands over
/// the final response to each request and nothing else.
///
/// HTTP/1.1 delimits bodies by their length or by chunks, so a client that reads
/// up to the end of the connection has an incomplete body. A body that is only
/// delimited by the end of its connection is an error too, since a truncated one
/// can't be detected.
///
/// Informational responses are skipped. After bytes that belong to no response,
/// and after a refusal (503), the socket fails instead of serving another
/// request.
#[derive(Debug)]
pub struct StrictSocket {
    stream: TcpStream,
    tracker: ResponseTracker,
    /// A head, and the start of its body, of which `handed` bytes were handed
    /// over.
    pending: Vec<u8>,
    handed: usize,
}

impl StrictSocket {
    /// Wraps a connected socket and disables Nagle's algorithm on it.
    pub fn new(stream: TcpStream) -> Self {
        // If the socket is already closed, its first use fails.
        drop(stream.set_nodelay(true));
        Self {
            stream,
            tracker: ResponseTracker::new(),
            pending: Vec::new(),
            handed: 0,
        }
    }

    /// Hands over as much of the pending bytes as `buf` takes.
    fn take_pending(&mut self, buf: &mut ReadBuf<'_>) {
        let rest = &self.pending[self.handed..];
        let len = rest.len().min(buf.remaining());
        buf.put_slice(&rest[..len]);
        self.handed += len;
        if self.handed == self.pending.len() {
            self.pending = Vec::new();
            self.handed = 0;
        }
    }

    /// Reads until the final head is complete.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.tracker.is_in_head() {
            let mut bytes = [0; HEAD_READ_BYTES];
            let mut input = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut input))?;
            if input.filled().is_empty() {
                return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
            }
            if let Some(head) = self.tracker.handle_head(input.filled())? {
                self.pending = head;
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Reads body bytes into `buf`.
    fn poll_body(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if buf.filled().len() == before && buf.remaining() > 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        let used = self.tracker.handle_body(&buf.filled()[before..])?;
        buf.set_filled(before + used);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for StrictSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_head(cx))?;
        if !self.pending.is_empty() {
            self.take_pending(buf);
            return Poll::Ready(Ok(()));
        }
        if self.tracker.is_unusable() {
            let reason = "the connection must not be used for another request";
            return Poll::Ready(Err(invalid(reason)));
        }
        self.poll_body(cx, buf)
    }
}

impl AsyncWrite for StrictSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.tracker.handle_output(&buf[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        let first = bufs.iter().find(|buf| !buf.is_empty());
        if let Some(first) = first {
            self.tracker
                .handle_output(&first[..first.len().min(written)]);
        }
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for StrictSocket {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
