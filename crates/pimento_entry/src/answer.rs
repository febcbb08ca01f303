//! Responses from targets and other entry VMs, on their way back to the caller.

use crate::{headers, relay::BodyStream};
use actix_web::{
    HttpResponse,
    body::SizedStream,
    http::{
        Method, StatusCode,
        header::{HeaderMap, HeaderName, HeaderValue},
    },
};
use awc::ClientResponse;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt, stream};
use pimento_core::{TargetId, Verdict};
use std::{fmt, io};

/// A response whose body may still be streaming.
///
/// If the body is truncated, the stream ends with an error. That closes the
/// caller's connection, so that the caller can't mistake a truncated response
/// for a complete one.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    /// The target that failed, if another entry VM reported a failure.
    pub(crate) target: Option<TargetId>,
    /// Whether the target said that it leaves.
    pub(crate) leaving: bool,
    /// The length of the body, if it is known in advance.
    pub(crate) length: Option<u64>,
    pub(crate) body: BodyStream,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.status)
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}

/// The response declares neither a length nor chunked encoding, so the end of
/// its body can't be verified.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Unframed;

impl Answer {
    /// Converts an upstream's response.
    pub(crate) fn from_response<S>(
        response: ClientResponse<S>,
        method: &Method,
    ) -> Result<Self, Unframed>
    where
        S: Stream<Item = Result<Bytes, actix_web::error::PayloadError>> + Unpin + 'static,
    {
        let status = response.status();
        let length = headers::text(response.headers(), "content-length")
            .and_then(|text| text.parse::<u64>().ok());
        let chunked = response.headers().contains_key("transfer-encoding");
        let no_body = method == Method::HEAD
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        if length.is_none() && !chunked && !no_body {
            return Err(Unframed);
        }
        let headers = end_to_end_headers(response.headers());
        let target = headers::text(response.headers(), headers::TARGET);
        let target = target.and_then(|name| TargetId::new(name).ok());
        let leaving = response.headers().contains_key(headers::LEAVING);
        let body = if no_body {
            stream::empty().boxed_local()
        } else {
            let body = response.map(|chunk| chunk.map_err(io::Error::other));
            body.boxed_local()
        };
        Ok(Self {
            status,
            headers,
            target,
            leaving,
            length,
            body,
        })
    }

    /// Builds a response from a body in memory.
    pub(crate) fn from_bytes(
        status: StatusCode,
        headers: Vec<(HeaderName, HeaderValue)>,
        body: Bytes,
    ) -> Self {
        let length = Some(body.len() as u64);
        let body = stream::once(async move { Ok(body) }).boxed_local();
        Self {
            status,
            headers,
            target: None,
            leaving: false,
            length,
            body,
        }
    }

    /// Buffers the body if it has at most `limit` bytes.
    ///
    /// Returns the buffered body, or `None` if it is longer, and an equivalent
    /// response that still yields the complete body.
    pub(crate) async fn buffer(mut self, limit: usize) -> io::Result<(Option<Bytes>, Self)> {
        let mut buffered = BytesMut::new();
        while let Some(chunk) = self.body.next().await {
            buffered.extend_from_slice(&chunk?);
            if buffered.len() > limit {
                let start = stream::once(async move { Ok(buffered.freeze()) });
                self.body = start.chain(self.body).boxed_local();
                return Ok((None, self));
            }
        }
        let body = buffered.freeze();
        Ok((
            Some(body.clone()),
            Self::from_bytes(self.status, self.headers, body),
        ))
    }

    /// Keeps `guard` alive until the body has ended or was dropped.
    pub(crate) fn hold_until_end(&mut self, guard: impl Sized + 'static) {
        let body = std::mem::replace(&mut self.body, stream::empty().boxed_local());
        self.body = body.inspect(move |_| _ = &guard).boxed_local();
    }

    /// Calls `done` with the number of body bytes and whether the body was
    /// complete, once the body has ended or was dropped.
    pub(crate) fn count_bytes(&mut self, done: impl FnOnce(u64, bool) + 'static) {
        let body = std::mem::replace(&mut self.body, stream::empty().boxed_local());
        let count = ByteCounter {
            bytes: 0,
            complete: false,
            done: Some(Box::new(done)),
        };
        let counting = stream::unfold((body, count), |(mut body, mut count)| async move {
            let next = body.next().await;
            match &next {
                Some(Ok(chunk)) => count.bytes += chunk.len() as u64,
                Some(Err(_)) => {}
                None => count.complete = true,
            }
            next.map(|item| (item, (body, count)))
        });
        self.body = counting.boxed_local();
    }

    /// The verdict in the header that another entry VM or a target sets on a
    /// failure.
    pub(crate) fn verdict(&self) -> Option<Verdict> {
        self.header(Verdict::HEADER)?.parse().ok()
    }

    /// The value of an end-to-end header, if it is ASCII text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(n, _)| n == name)?;
        value.to_str().ok()
    }

    /// Converts into the response to the caller. `close` closes the caller's
    /// connection afterwards, so that its next request goes to another VM.
    pub(crate) fn respond(self, method: &Method, close: bool) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        if close {
            response.force_close();
        }
        for header in self.headers {
            response.append_header(header);
        }
        match self.length {
            Some(length) if method == Method::HEAD => {
                response.no_chunking(length);
                response.body(SizedStream::new(length, self.body))
            }
            Some(length) => response.body(SizedStream::new(length, self.body)),
            None if method == Method::HEAD || self.status == StatusCode::NO_CONTENT => {
                response.finish()
            }
            None => response.streaming(self.body),
        }
    }
}

/// Counts the bytes of a body and reports them on drop.
struct ByteCounter {
    bytes: u64,
    complete: bool,
    done: Option<Box<dyn FnOnce(u64, bool)>>,
}

impl Drop for ByteCounter {
    fn drop(&mut self) {
        if let Some(done) = self.done.take() {
            done(self.bytes, self.complete);
        }
    }
}

/// Copies the end-to-end headers.
fn end_to_end_headers(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    headers::end_to_end(headers)
        .filter_map(|(name, value)| Some((name.clone(), HeaderValue::from_bytes(value).ok()?)))
        .collect()
}
