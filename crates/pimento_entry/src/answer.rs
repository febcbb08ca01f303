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
use pimento_core::Verdict;
use std::{fmt, io};

/// An answer whose body may still be arriving.
///
/// A body that ends early ends with an error, which closes the caller's
/// connection, so that no part of an answer passes for the whole.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
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
        if empty {
            return Ok(Self {
                status,
                headers,
                length,
                body: stream::empty().boxed_local(),
            });
        }
        let body = response.map(|chunk| chunk.map_err(io::Error::other));
        Ok(Self {
            status,
            headers,
            length,
            body: body.boxed_local(),
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

    /// The verdict that another entry VM or a target put on a failure.
    pub(crate) fn verdict(&self) -> Option<Verdict> {
        let (_, value) = self
            .headers
            .iter()
            .find(|(name, _)| name == Verdict::HEADER)?;
        value.to_str().ok()?.parse().ok()
    }

    /// Turns the answer into the response to the caller.
    pub(crate) fn respond(self, method: &Method) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
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

/// Copies the headers that go on to the caller.
fn owned(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    headers::forwarded(headers)
        .filter_map(|(name, value)| Some((name.clone(), HeaderValue::from_bytes(value).ok()?)))
        .collect()
}
