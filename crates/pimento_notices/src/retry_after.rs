//! The `Retry-After` value of a target.

use crate::MAX_PAUSE;
use std::time::Duration;

/// The meaning of a target's `Retry-After` value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryAfter {
    /// The target wants no requests for this long.
    Pause(Duration),
    /// The value is longer than any sensible pause; the longest one counts.
    TooLong,
    /// The value is no pause: zero, negative, a date or no number.
    Invalid,
}

impl RetryAfter {
    /// Parses a number of seconds, which may have a fraction. A date is not
    /// accepted, since the clocks of targets and VMs may differ.
    pub fn parse(text: &str) -> Self {
        match text.trim().parse::<f64>() {
            Ok(secs) if secs > MAX_PAUSE.as_secs_f64() => Self::TooLong,
            Ok(secs) if secs > 0.0 => Self::Pause(Duration::from_secs_f64(secs)),
            _ => Self::Invalid,
        }
    }

    /// How long the target gets no requests; `None` if the value is invalid.
    pub const fn pause(self) -> Option<Duration> {
        match self {
            Self::Pause(pause) => Some(pause),
            Self::TooLong => Some(MAX_PAUSE),
            Self::Invalid => None,
        }
    }

    /// The metric label of the kind of value.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Pause(_) => "pause",
            Self::TooLong => "too long",
            Self::Invalid => "invalid",
        }
    }
}
