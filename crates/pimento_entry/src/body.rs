//! Reading and passing on of request bodies, with limits.

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

/// The largest body that is held in memory so that an attempt can be repeated,
/// in bytes.
const HELD: u64 = 64 << 10;

/// A request body on its way to a target.
pub(crate) enum Body {
    /// Held whole, so that it can be sent again.
    Held(Bytes),
    /// Passed on as it arrives; it can be sent once.
    Stream(Box<web::Payload>),
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Held(bytes) => f.debug_tuple("Held").field(&bytes.len()).finish(),
            Self::Stream(_) => f.write_str("Stream"),
        }
    }
}

impl Body {
    /// A second copy for another attempt, if the body is held.
    pub(crate) fn again(&self) -> Option<Self> {
        match self {
            Self::Held(bytes) => Some(Self::Held(bytes.clone())),
            Self::Stream(_) => None,
        }
    }
}

/// The limits on one body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// The most bytes.
    pub(crate) size: u64,
    /// The longest silence.
    pub(crate) silence: Duration,
}

impl BodyLimits {
    /// The limits of a service on this VM.
    pub(crate) fn of(shared: &Shared, service: &Service) -> Self {
        let silence = Duration::from_millis(shared.settings.limits.body);
        Self {
            size: service.body,
            silence,
        }
    }
}

/// Takes a body; one that must be held, or is short, is read whole.
pub(crate) async fn take(
    payload: web::Payload,
    head: &HeaderMap,
    limits: BodyLimits,
    whole: bool,
) -> Result<Body, Problem> {
    let length = length(head)?;
    if length.is_some_and(|length| length > limits.size) {
        return Err(too_large(limits.size));
    }
    let chunked = head.contains_key("transfer-encoding");
    if length.is_none() && !chunked {
        // There is no body. The library may still offer the rest of the
        // connection as one, if the caller asked to upgrade it.
        return Ok(Body::Held(Bytes::new()));
    }
    let short = length.map_or(!chunked, |length| length <= HELD);
    if whole || short {
        return Ok(Body::Held(read(payload, limits).await?));
    }
    Ok(Body::Stream(Box::new(payload)))
}

/// Passes a body on, and fails where it breaks its limits.
pub(crate) fn bounded(
    payload: web::Payload,
    limits: BodyLimits,
) -> impl Stream<Item = Result<Bytes, PayloadError>> {
    let start = (payload, limits.size);
    stream::try_unfold(start, move |(mut payload, left)| async move {
        let Ok(next) = tokio::time::timeout(limits.silence, payload.next()).await else {
            return Err(PayloadError::Io(io::ErrorKind::TimedOut.into()));
        };
        let Some(chunk) = next.transpose()? else {
            return Ok(None);
        };
        match left.checked_sub(chunk.len() as u64) {
            Some(left) => Ok(Some((chunk, (payload, left)))),
            None => Err(PayloadError::Overflow),
        }
    })
}

async fn read(payload: web::Payload, limits: BodyLimits) -> Result<Bytes, Problem> {
    let mut stream = std::pin::pin!(bounded(payload, limits));
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.next().await {
        body.extend_from_slice(&chunk.map_err(|e| fault(&e, limits.size, Verdict::NotRun))?);
    }
    Ok(body.freeze())
}

/// Tells the caller what was wrong with its body.
pub(crate) fn fault(error: &PayloadError, size: u64, verdict: Verdict) -> Problem {
    match error {
        PayloadError::Overflow => too_large(size).with_verdict(verdict),
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

fn too_large(size: u64) -> Problem {
    let detail = format!("the service takes bodies of {size} bytes at most");
    Problem::not_run(StatusCode::PAYLOAD_TOO_LARGE, "large-body", detail)
}

fn length(head: &HeaderMap) -> Result<Option<u64>, Problem> {
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
