//! Priority classes of requests.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// The priority class of a request, by how much a late response costs its caller.
///
/// Requests of a smaller class are admitted first. See
/// `docs/design/admission.md`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A request whose caller is waiting for the response, such as a worker before
    /// an early shift.
    Critical,
    /// An ordinary request.
    #[default]
    Standard,
    /// A request that can wait for spare slots, such as a weekly report.
    Background,
}

/// The text is not the name of a class.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown class {0:?}; expected critical, standard or background")]
pub struct ParseClassError(String);

impl Class {
    /// All classes, in order of priority.
    pub const ALL: [Self; 3] = [Self::Critical, Self::Standard, Self::Background];

    /// The name of the class in settings, headers and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Critical => "critical",
            Self::Standard => "standard",
            Self::Background => "background",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = ParseClassError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|class| class.as_str() == s)
            .ok_or_else(|| ParseClassError(s.to_owned()))
    }
}
