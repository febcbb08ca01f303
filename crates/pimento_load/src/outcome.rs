//! Outcomes of attempts.

use pimento_core::Verdict;
use std::net::SocketAddr;

/// How one attempt of a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum AttemptOutcome {
    /// A complete response to the request.
    Answer,
    /// A complete response to a different request.
    Wrong,
    /// An error response of the target itself.
    TargetError,
    /// A failure response of the system.
    Failure(Failure),
    /// A response whose body ended early.
    Truncated,
    /// No connection could be established, so nothing was sent.
    Unreachable,
    /// The request may have been sent, but no response arrived.
    Lost,
}

/// A failure response of the system.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Failure {
    pub(crate) status: u16,
    /// `None` if the verdict was missing or malformed.
    pub(crate) verdict: Option<Verdict>,
    /// The title of the RFC 9457 problem body.
    pub(crate) title: String,
}

impl Failure {
    /// Whether the failure is transient and its verdict allows a resend.
    pub(crate) fn is_retryable(&self) -> bool {
        /// Transient failures have the HTTP status 429 or a server error.
        const TOO_MANY_REQUESTS: u16 = 429;
        const MIN_SERVER_ERROR: u16 = 500;
        let transient = self.status == TOO_MANY_REQUESTS || self.status >= MIN_SERVER_ERROR;
        transient && self.verdict.is_some_and(Verdict::allows_resend)
    }
}

impl AttemptOutcome {
    /// Whether the caller can be sure that no target ran the request.
    pub(crate) fn is_known_not_run(&self) -> bool {
        match self {
            Self::Unreachable => true,
            Self::Failure(failure) => failure.verdict == Some(Verdict::NotRun),
            _ => false,
        }
    }

    /// Whether the caller should send the request again.
    ///
    /// Requests that must run at most once carry an idempotency key, which
    /// makes the resend safe.
    pub(crate) fn should_resend(&self) -> bool {
        match self {
            Self::Truncated | Self::Unreachable | Self::Lost => true,
            Self::Failure(failure) => failure.is_retryable(),
            Self::Answer | Self::Wrong | Self::TargetError => false,
        }
    }
}

/// An attempt and the entry VM that it was sent to.
#[derive(Clone, Debug)]
pub(crate) struct EntryAttempt {
    pub(crate) entry: SocketAddr,
    pub(crate) outcome: AttemptOutcome,
}
