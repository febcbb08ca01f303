//! Classes of requests, by how much a late answer costs.

use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// How much a late answer costs the caller.
///
/// The order is the order of service: a smaller class is admitted first. See
/// `docs/design/admission.md`.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A caller waits for the answer, such as a worker before dawn.
    Critical,
    /// An ordinary request.
    #[default]
    Standard,
    /// A request that may wait for spare slots, such as a weekly report.
    Background,
}

/// The text was none of the class names.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("unknown class {0:?}; expected critical, standard or background")]
pub struct ParseClassError(String);

impl Class {
    /// All classes, in the order of service.
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
