//! Answers to callers.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Body as _,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use std::time::Duration;

/// Any error of a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer.
pub type ResponseBody = UnsyncBoxBody<Bytes, BoxError>;

/// What a caller is told.
#[derive(Debug)]
pub enum Answer {
    /// The target's own answer.
    Target {
        /// Its status.
        status: StatusCode,
        /// Its headers, without those of its connection.
        headers: HeaderMap,
        /// Its body.
        body: ResponseBody,
    },
    /// The request has not run and will not; there may be room later.
    NotRun {
        /// When to come back.
        after: Option<Duration>,
        /// Why, for people.
        reason: &'static str,
    },
    /// The request may have run.
    Unclear {
        /// Whether the time was up.
        timeout: bool,
        /// Why, for people.
        reason: &'static str,
    },
    /// The request can't be served as it is.
    Refused {
        /// The status.
        status: StatusCode,
        /// Why, for people.
        reason: &'static str,
    },
}

impl Answer {
    /// The size of the body as far as it is known, in bytes.
    pub(crate) fn size(&self) -> u64 {
        match self {
            Self::Target { body, .. } => body.size_hint().lower(),
            _ => 0,
        }
    }

    /// Why, for people; empty for a target's answer.
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::Target { .. } => "",
            Self::NotRun { reason, .. }
            | Self::Unclear { reason, .. }
            | Self::Refused { reason, .. } => reason,
        }
    }

    /// The status.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Target { status, .. } | Self::Refused { status, .. } => *status,
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unclear { timeout: true, .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::Unclear { timeout: false, .. } => StatusCode::BAD_GATEWAY,
        }
    }

    /// The answer as HTTP.
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
            Self::NotRun { after, .. } => {
                let mut response = plain(status, reason);
                let after = after.and_then(retry_after);
                if let Some(after) = after {
                    response.headers_mut().insert(RETRY_AFTER, after);
                }
                response
            }
            Self::Unclear { .. } | Self::Refused { .. } => plain(status, reason),
        }
    }
}

/// Seconds with fractions.
fn retry_after(after: Duration) -> Option<HeaderValue> {
    let text = format!("{:.3}", after.as_secs_f64());
    HeaderValue::try_from(text).ok()
}

/// A body that is there already.
pub(crate) fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    let never = |e: std::convert::Infallible| match e {};
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

/// An answer in plain text that was made just now.
pub fn text(status: StatusCode, text: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// An answer in plain text.
pub fn plain(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    text(status, reason.as_bytes().to_vec())
}
