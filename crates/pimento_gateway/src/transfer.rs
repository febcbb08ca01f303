//! How the body of a target's response is passed on to the caller.

use std::time::Duration;

/// The share of the latency objective that buffering a response may take.
const MAX_BUFFER_SHARE: f64 = 0.05;
/// The maximum size of a response that is always buffered, in bytes: streaming
/// one that comes in a single read gains nothing.
const MIN_STREAMED_BYTES: u64 = 16 * 1024;

/// How the body of a target's response is passed on to the caller.
///
/// Load pattern: large responses share a slow link with many small messages. A
/// large response that is buffered first arrives twice as late, and then
/// occupies the link to the caller for its whole length at once, so that small
/// responses and permits wait behind it. One that is passed on as it arrives is
/// spaced by its own arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Transfer {
    /// Buffer the body, so that the request can be retried if it is truncated.
    Buffered,
    /// Pass each part on as it arrives.
    Streamed,
}

impl Transfer {
    /// Decides for a response of a declared length, on a link of this many bytes
    /// per second, 0 if unknown.
    pub(crate) fn choose(length: Option<u64>, link_rate: f64, objective: Duration) -> Self {
        let Some(length) = length.filter(|length| *length > MIN_STREAMED_BYTES) else {
            return Self::Buffered;
        };
        let arrival_secs = length as f64 / link_rate;
        if link_rate > 0.0 && arrival_secs > objective.as_secs_f64() * MAX_BUFFER_SHARE {
            Self::Streamed
        } else {
            Self::Buffered
        }
    }
}
