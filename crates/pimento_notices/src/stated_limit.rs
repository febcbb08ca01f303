//! How many requests a target takes.

use std::time::Duration;

/// The requests that a target takes from all VMs together, in thousandths of a
/// request per second.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestRate(u64);

impl RequestRate {
    /// The greatest rate that is told apart; a target that names a greater one
    /// takes more than any VM can send.
    const MAX_PER_SECOND: f64 = 1e9;

    /// Parses a decimal number of requests per second; `None` if it is negative
    /// or no number.
    pub fn parse(text: &str) -> Option<Self> {
        let per_second: f64 = text.trim().parse().ok()?;
        let is_rate = per_second >= 0.0;
        is_rate.then(|| Self((per_second.min(Self::MAX_PER_SECOND) * 1_000.0) as u64))
    }

    /// Creates a rate from thousandths of a request per second.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Thousandths of a request per second.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Requests per second.
    pub const fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

/// What a target said of the requests that it takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatedLimit {
    /// The limit; `None` if the response named none, which ends an earlier one.
    pub rate: Option<RequestRate>,
    /// How long ago the target said so.
    pub age: Duration,
}
