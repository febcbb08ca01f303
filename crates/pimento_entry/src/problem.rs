//! Errors of the HTTP interfaces as problem details (RFC 9457).

use crate::headers::RETRY_AFTER;
use actix_web::{HttpResponse, HttpResponseBuilder, ResponseError, http::StatusCode};
use pimento_core::Verdict;
use serde::Serialize;
use std::{fmt, time::Duration};

const MEDIA_TYPE: &str = "application/problem+json";

/// The problem details of a failed HTTP call.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// The HTTP status code.
    pub status: u16,
    /// Stable, machine-readable name of the failure.
    pub title: &'static str,
    /// Explanation of this occurrence.
    pub detail: String,
    /// The input field that caused the failure.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Whether the request may have run.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub verdict: Option<Verdict>,
    /// When the caller may try again, which the response's `Retry-After` header
    /// carries.
    #[serde(skip)]
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// A failure without a verdict, for interfaces that send no request to a
    /// target.
    pub fn new(status: StatusCode, title: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status: status.as_u16(),
            title,
            detail: detail.into(),
            field: None,
            verdict: None,
            retry_after: None,
        }
    }

    /// A failure of a request that certainly did not run.
    pub fn not_run(status: StatusCode, title: &'static str, detail: impl Into<String>) -> Self {
        Self::new(status, title, detail).with_verdict(Verdict::NotRun)
    }

    /// Sets the verdict, which the response also carries in a header.
    #[must_use]
    pub fn with_verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = Some(verdict);
        self
    }

    /// Sets when the caller may try again.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after: Option<Duration>) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// Names the input field that caused the failure.
    #[must_use]
    pub fn with_field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.title, self.detail)
    }
}

impl ResponseError for Problem {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponseBuilder::new(self.status_code());
        if let Some(verdict) = self.verdict {
            response.insert_header((Verdict::HEADER, verdict.as_str()));
        }
        if let Some(retry_after) = self.retry_after {
            let secs = format!("{:.3}", retry_after.as_secs_f64());
            response.insert_header((RETRY_AFTER, secs));
        }
        let body = serde_json::to_vec(self).unwrap_or_default();
        response.content_type(MEDIA_TYPE).body(body)
    }
}
