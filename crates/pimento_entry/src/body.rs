//! Reads and streams request bodies within their limits.

use crate::{headers, problem::Problem, shared::Shared};
use actix_web::{
    error::PayloadError,
    http::{StatusCode, header::HeaderMap},
    web,
};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt, stream};
use pimento_core::Verdict;
use pimento_rules::Service;
use std::{fmt, io, time::Duration};

/// Up to this length, in bytes, a body is buffered in memory so that an attempt
/// can be retried.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// A request body to be sent to a target.
pub(crate) enum Body {
    /// In memory; can be sent more than once.
    Buffered(Bytes),
    /// Streamed as it arrives; can be sent only once.
    Stream(Box<web::Payload>),
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Buffered(bytes) => f.debug_tuple("Buffered").field(&bytes.len()).finish(),
            Self::Stream(_) => f.write_str("Stream"),
        }
    }
}

impl Body {
    /// Copies the body for another attempt; `None` if it is streamed.
    pub(crate) fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(bytes.clone())),
            Self::Stream(_) => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// The maximum length.
    pub(crate) max_bytes: u64,
    /// The longest gap between two chunks.
    pub(crate) idle_timeout: Duration,
}

impl BodyLimits {
    /// The limits for a service on this VM.
    pub(crate) fn for_service(shared: &Shared, service: &Service) -> Self {
        let idle_timeout = Duration::from_millis(shared.settings.limits.body);
        Self {
            max_bytes: service.body,
            idle_timeout,
        }
    }
}

/// Receives a body. It is buffered if `buffer` is set or if it is short.
pub(crate) async fn receive(
    payload: web::Payload,
    head: &HeaderMap,
    limits: BodyLimits,
    buffer: bool,
) -> Result<Body, Problem> {
    let length = content_length(head)?;
    if length.is_some_and(|length| length > limits.max_bytes) {
        return Err(too_large(limits.max_bytes));
    }
    let chunked = head.contains_key("transfer-encoding");
    if length.is_none() && !chunked {
        // There is no body. The HTTP library may still present the rest of the
        // connection as one, if the caller asked for a protocol upgrade.
        return Ok(Body::Buffered(Bytes::new()));
    }
    let is_short = length.map_or(!chunked, |length| length <= MAX_BUFFERED_BYTES);
    if buffer || is_short {
        return Ok(Body::Buffered(read_all(payload, limits).await?));
    }
    Ok(Body::Stream(Box::new(payload)))
}

/// Streams a body, and fails as soon as it exceeds its limits.
pub(crate) fn limit_stream(
    payload: web::Payload,
    limits: BodyLimits,
) -> impl Stream<Item = Result<Bytes, PayloadError>> {
    let start = (payload, limits.max_bytes);
    stream::try_unfold(start, move |(mut payload, remaining)| async move {
        let Ok(next) = tokio::time::timeout(limits.idle_timeout, payload.next()).await else {
            return Err(PayloadError::Io(io::ErrorKind::TimedOut.into()));
        };
        let Some(chunk) = next.transpose()? else {
            return Ok(None);
        };
        match remaining.checked_sub(chunk.len() as u64) {
            Some(remaining) => Ok(Some((chunk, (payload, remaining)))),
            None => Err(PayloadError::Overflow),
        }
    })
}

async fn read_all(payload: web::Payload, limits: BodyLimits) -> Result<Bytes, Problem> {
    let mut stream = std::pin::pin!(limit_stream(payload, limits));
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.next().await {
        body.extend_from_slice(
            &chunk.map_err(|e| body_problem(&e, limits.max_bytes, Verdict::NotRun))?,
        );
    }
    Ok(body.freeze())
}

/// Maps an error of the request body to the problem that the caller receives.
pub(crate) fn body_problem(error: &PayloadError, max_bytes: u64, verdict: Verdict) -> Problem {
    match error {
        PayloadError::Overflow => too_large(max_bytes).with_verdict(verdict),
        PayloadError::Io(e) if e.kind() == io::ErrorKind::TimedOut => {
            let detail = "the body arrived too slowly";
            Problem::new(StatusCode::REQUEST_TIMEOUT, "slow-body", detail).with_verdict(verdict)
        }
        other => {
            let detail = format!("the body could not be read: {other}");
            Problem::new(StatusCode::BAD_REQUEST, "bad-body", detail).with_verdict(verdict)
        }
    }
}

fn too_large(max_bytes: u64) -> Problem {
    let detail = format!("the service accepts bodies of at most {max_bytes} bytes");
    Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, "large-body", detail)
}

fn content_length(head: &HeaderMap) -> Result<Option<u64>, Problem> {
    let Some(text) = headers::text(head, "content-length") else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|_invalid: std::num::ParseIntError| {
            let detail = "Content-Length is not a whole number";
            Problem::not_run(StatusCode::BAD_REQUEST, "bad-header", detail)
        })
}
