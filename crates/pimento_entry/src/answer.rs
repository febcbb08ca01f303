//! Answers on their way back to the caller.

use crate::headers;
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
use futures_util::{
    Stream, StreamExt,
    stream::{self, LocalBoxStream},
};
use pimento_core::{TargetId, Verdict};
use std::{fmt, io};

/// An answer whose body may still be arriving.
///
/// A body that ends early ends with an error, which closes the caller's
/// connection, so that no part of an answer passes for the whole.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    /// The target that another entry VM names on a failure.
    pub(crate) target: Option<TargetId>,
    /// The length of the body, if it was announced.
    pub(crate) length: Option<u64>,
    pub(crate) body: LocalBoxStream<'static, io::Result<Bytes>>,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.status)
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}

/// The answer does not say where its body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Unframed;

impl Answer {
    /// Takes the answer of an upstream.
    pub(crate) fn read<S>(response: ClientResponse<S>, method: &Method) -> Result<Self, Unframed>
    where
        S: Stream<Item = Result<Bytes, actix_web::error::PayloadError>> + Unpin + 'static,
    {
        let status = response.status();
        let length = headers::text(response.headers(), "content-length")
            .and_then(|text| text.parse::<u64>().ok());
        let chunked = response.headers().contains_key("transfer-encoding");
        let empty = method == Method::HEAD
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        if length.is_none() && !chunked && !empty {
            return Err(Unframed);
        }
        let headers = owned(response.headers());
        let target = headers::text(response.headers(), headers::TARGET);
        let target = target.and_then(|name| TargetId::new(name).ok());
        let body = if empty {
            stream::empty().boxed_local()
        } else {
            let body = response.map(|chunk| chunk.map_err(io::Error::other));
            body.boxed_local()
        };
        Ok(Self {
            status,
            headers,
            target,
            length,
            body,
        })
    }

    /// An answer that is held whole.
    pub(crate) fn whole(
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
            length,
            body,
        }
    }

    /// Reads the body while it stays within `limit` bytes.
    ///
    /// Gives the whole body if it fits, and an answer that still has all of it.
    pub(crate) async fn hold(mut self, limit: usize) -> io::Result<(Option<Bytes>, Self)> {
        let mut held = BytesMut::new();
        while let Some(chunk) = self.body.next().await {
            held.extend_from_slice(&chunk?);
            if held.len() > limit {
                let start = stream::once(async move { Ok(held.freeze()) });
                self.body = start.chain(self.body).boxed_local();
                return Ok((None, self));
            }
        }
        let body = held.freeze();
        Ok((
            Some(body.clone()),
            Self::whole(self.status, self.headers, body),
        ))
    }

    /// Keeps something until the body has ended or was given up.
    pub(crate) fn keep(&mut self, kept: impl Sized + 'static) {
        let body = std::mem::replace(&mut self.body, stream::empty().boxed_local());
        self.body = body.inspect(move |_| _ = &kept).boxed_local();
    }

    /// Tells `done` how many bytes of the body came, and whether it was whole,
    /// once the body has ended or was given up.
    pub(crate) fn count_bytes(&mut self, done: impl FnOnce(u64, bool) + 'static) {
        let body = std::mem::replace(&mut self.body, stream::empty().boxed_local());
        let count = Count {
            bytes: 0,
            whole: false,
            done: Some(Box::new(done)),
        };
        let counted = stream::unfold((body, count), |(mut body, mut count)| async move {
            let next = body.next().await;
            match &next {
                Some(Ok(chunk)) => count.bytes += chunk.len() as u64,
                Some(Err(_)) => {}
                None => count.whole = true,
            }
            next.map(|item| (item, (body, count)))
        });
        self.body = counted.boxed_local();
    }

    /// The verdict that another entry VM or a target put on a failure.
    pub(crate) fn verdict(&self) -> Option<Verdict> {
        let (_, value) = self
            .headers
            .iter()
            .find(|(name, _)| name == Verdict::HEADER)?;
        value.to_str().ok()?.parse().ok()
    }

    /// Turns the answer into the response to the caller; `last` closes its
    /// connection, so that the next request goes elsewhere.
    pub(crate) fn respond(self, method: &Method, last: bool) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        if last {
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

/// Counts a body until it is dropped.
struct Count {
    bytes: u64,
    whole: bool,
    done: Option<Box<dyn FnOnce(u64, bool)>>,
}

impl Drop for Count {
    fn drop(&mut self) {
        if let Some(done) = self.done.take() {
            done(self.bytes, self.whole);
        }
    }
}

/// Copies the headers that go on to the caller.
fn owned(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    headers::forwarded(headers)
        .filter_map(|(name, value)| Some((name.clone(), HeaderValue::from_bytes(value).ok()?)))
        .collect()
}
