//! Limits the rate of log lines about requests.

use std::{cell::Cell, time::Duration};
use tokio::time::Instant;

/// The number of lines about requests that a process writes per second; further
/// lines are only counted.
const MAX_LINES_PER_SECOND: u32 = 60;
/// The part of [`MAX_LINES_PER_SECOND`] that only failed requests may use.
const RESERVED_FAILURE_LINES: u32 = 40;

/// Limits the rate of log lines about requests, in windows of one second.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    window_start: Cell<Instant>,
    written: Cell<u32>,
    dropped: Cell<u64>,
}

impl Default for LogLimiter {
    fn default() -> Self {
        Self {
            window_start: Cell::new(Instant::now()),
            written: Cell::new(0),
            dropped: Cell::new(0),
        }
    }
}

impl LogLimiter {
    /// Returns the number of lines dropped since the last written one if a line
    /// may be written, and `None` if it must be dropped.
    pub(crate) fn allow(&self, failure: bool) -> Option<u64> {
        if self.window_start.get().elapsed() >= Duration::from_secs(1) {
            self.window_start.set(Instant::now());
            self.written.set(0);
        }
        let max_lines = if failure {
            MAX_LINES_PER_SECOND
        } else {
            MAX_LINES_PER_SECOND - RESERVED_FAILURE_LINES
        };
        if self.written.get() >= max_lines {
            self.dropped.set(self.dropped.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.dropped.replace(0))
    }
}
