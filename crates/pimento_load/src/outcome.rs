//! How attempts and requests end.

use pimento_core::Verdict;
use std::net::SocketAddr;

/// How one attempt of a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Attempt {
    /// The whole answer to the request.
    Answer,
    /// A whole answer, but to something else.
    Wrong,
    /// The target's own error.
    TargetError,
    /// A failure that the system reported.
    Failure(Failure),
    /// An answer that ended early.
    Truncated,
    /// No connection, so that nothing was sent.
    Unreachable,
    /// The request was sent and no answer came.
    Lost,
}

/// A failure that the system reported.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Failure {
    pub(crate) status: u16,
    /// The verdict, unless it was missing or malformed.
    pub(crate) verdict: Option<Verdict>,
    /// The title of the problem.
    pub(crate) title: String,
}

impl Failure {
    /// Whether another entry VM may do better.
    pub(crate) fn may_pass(&self) -> bool {
        /// HTTP statuses of passing failures: 429 and the server errors.
        const TOO_MANY: u16 = 429;
        const SERVER: u16 = 500;
        let passing = self.status == TOO_MANY || self.status >= SERVER;
        passing && self.verdict.is_some_and(Verdict::allows_resend)
    }
}

impl Attempt {
    /// Whether the attempt certainly ran nothing.
    pub(crate) fn ran_nothing(&self) -> bool {
        match self {
            Self::Unreachable => true,
            Self::Failure(failure) => failure.verdict == Some(Verdict::NotRun),
            _ => false,
        }
    }

    /// Whether a caller sends the request again.
    ///
    /// The key of a request that may not be repeated makes that safe.
    pub(crate) fn calls_for_resend(&self) -> bool {
        match self {
            Self::Truncated | Self::Unreachable | Self::Lost => true,
            Self::Failure(failure) => failure.may_pass(),
            Self::Answer | Self::Wrong | Self::TargetError => false,
        }
    }
}

/// An attempt and the entry VM that it went to.
#[derive(Clone, Debug)]
pub(crate) struct Tried {
    pub(crate) entry: SocketAddr,
    pub(crate) attempt: Attempt,
}
