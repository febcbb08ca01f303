//! How many log lines requests may cause.

use std::{cell::Cell, time::Duration};
use tokio::time::Instant;

/// The lines of a process about requests, a second, beyond which they are only
/// counted.
const RATE: u32 = 60;
/// The part of them that is kept for what went wrong.
const KEPT: u32 = 40;

/// Bounds the log lines about requests.
#[derive(Debug)]
pub(crate) struct Lines {
    since: Cell<Instant>,
    written: Cell<u32>,
    dropped: Cell<u64>,
}

impl Default for Lines {
    fn default() -> Self {
        Self {
            since: Cell::new(Instant::now()),
            written: Cell::new(0),
            dropped: Cell::new(0),
        }
    }
}

impl Lines {
    /// Whether a line may be written; the lines dropped before it, if so.
    pub(crate) fn allow(&self, failure: bool) -> Option<u64> {
        if self.since.get().elapsed() >= Duration::from_secs(1) {
            self.since.set(Instant::now());
            self.written.set(0);
        }
        let most = if failure { RATE } else { RATE - KEPT };
        if self.written.get() >= most {
            self.dropped.set(self.dropped.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.dropped.replace(0))
    }
}
