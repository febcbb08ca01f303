//! Whether a failed request may have been executed.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Whether a request may have run at a target.
///
/// Every failure includes a verdict, which is passed on to the caller. A request
/// that is not idempotent is only retried on [`Verdict::NotRun`]. See
/// `docs/design/retries.md`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request can have reached a target, or the target refused the
    /// request before running it.
    NotRun,
    /// The request was sent, but its outcome is unknown.
    MayHaveRun,
    /// The target ran the request.
    Ran,
}

/// The text is not the name of a verdict.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown verdict {0:?}; expected not-run, may-have-run or ran")]
pub struct ParseVerdictError(String);

impl Verdict {
    /// All verdicts, in the order of their declaration.
    pub const ALL: [Self; 3] = [Self::NotRun, Self::MayHaveRun, Self::Ran];

    /// The header that carries the verdict to callers and between entry VMs.
    pub const HEADER: &'static str = "pimento-verdict";

    /// The name of the verdict in headers, error bodies and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Whether a request that is not idempotent may be retried.
    pub const fn allows_resend(self) -> bool {
        matches!(self, Self::NotRun)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = ParseVerdictError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|verdict| verdict.as_str() == s)
            .ok_or_else(|| ParseVerdictError(s.to_owned()))
    }
}
