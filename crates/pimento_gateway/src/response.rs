//! Responses to callers.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Body as _,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use std::time::Duration;

/// An error while reading a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a response.
pub type ResponseBody = UnsyncBoxBody<Bytes, BoxError>;

/// The gateway's response to a caller's request.
#[derive(Debug)]
pub enum GatewayResponse {
    /// The target's own response, passed on.
    Target {
        /// The target's status code.
        status: StatusCode,
        /// The target's headers without the hop-by-hop ones.
        headers: HeaderMap,
        /// The target's body.
        body: ResponseBody,
    },
    /// The request did not run and will not run; a later attempt may succeed.
    NotRun {
        /// The delay to send as `Retry-After`.
        retry_after: Option<Duration>,
        /// A human-readable reason, sent as the body.
        reason: &'static str,
    },
    /// The outcome is unknown: the request may have run.
    MayHaveRun {
        /// Whether the request timed out (504) or its connection failed (502).
        timeout: bool,
        /// A human-readable reason, sent as the body.
        reason: &'static str,
    },
    /// The request is invalid, too large, or matches no route.
    Refused {
        /// The status code, 4xx.
        status: StatusCode,
        /// A human-readable reason, sent as the body.
        reason: &'static str,
    },
}

impl GatewayResponse {
    /// The known lower bound of the body's size, in bytes.
    pub(crate) fn body_bytes(&self) -> u64 {
        match self {
            Self::Target { body, .. } => body.size_hint().lower(),
            _ => 0,
        }
    }

    /// The reason as the body and the metrics show it; empty for a target's
    /// response.
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::Target { .. } => "",
            Self::NotRun { reason, .. }
            | Self::MayHaveRun { reason, .. }
            | Self::Refused { reason, .. } => reason,
        }
    }

    /// Whether the response promises that the request did not run and will not.
    pub(crate) const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    /// The HTTP status code.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Target { status, .. } | Self::Refused { status, .. } => *status,
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::MayHaveRun { timeout: true, .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::MayHaveRun { timeout: false, .. } => StatusCode::BAD_GATEWAY,
        }
    }

    /// Converts it to an HTTP response.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let status = self.status();
        let reason = self.reason();
        match self {
            Self::Target { headers, body, .. } => {
                let mut response = Response::new(body);
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                response
            }
            Self::NotRun { retry_after, .. } => {
                let mut response = plain_text(status, reason);
                let retry_after = retry_after.and_then(retry_after_value);
                if let Some(value) = retry_after {
                    response.headers_mut().insert(RETRY_AFTER, value);
                }
                response
            }
            Self::MayHaveRun { .. } | Self::Refused { .. } => plain_text(status, reason),
        }
    }
}

/// Formats a `Retry-After` value in seconds with three decimals.
fn retry_after_value(retry_after: Duration) -> Option<HeaderValue> {
    let text = format!("{:.3}", retry_after.as_secs_f64());
    HeaderValue::try_from(text).ok()
}

/// Returns a body whose bytes are all in memory.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    let never = |e: std::convert::Infallible| match e {};
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

/// Returns a plain-text response whose body was built at run time.
pub fn text_response(status: StatusCode, body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns a plain-text response with a fixed text.
pub fn plain_text(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    text_response(status, reason.as_bytes().to_vec())
}
