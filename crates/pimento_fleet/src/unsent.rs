//! Counts datagrams that the socket did not take.

use pimento_core::Time;
use std::{io, time::Duration};

/// How often dropped datagrams are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The datagrams that were not sent since they were last logged.
#[derive(Debug, Default)]
pub(crate) struct UnsentDatagrams {
    count: u64,
    cause: Option<io::ErrorKind>,
    logged_at: Option<Time>,
}

impl UnsentDatagrams {
    /// Counts a datagram that was not sent.
    pub(crate) fn record(&mut self, error: &io::Error) {
        self.count += 1;
        self.cause = Some(error.kind());
    }

    /// Returns how many datagrams were dropped and the newest cause, at most once
    /// per [`LOG_INTERVAL`].
    pub(crate) fn take_due(&mut self, now: Time) -> Option<(u64, io::ErrorKind)> {
        let is_due = |at: Time| now.since(at) >= LOG_INTERVAL;
        if !self.logged_at.is_none_or(is_due) {
            return None;
        }
        let cause = self.cause.take()?;
        self.logged_at = Some(now);
        Some((std::mem::take(&mut self.count), cause))
    }
}
