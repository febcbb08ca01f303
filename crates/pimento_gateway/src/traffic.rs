//! How much of the VM's link requests take.

use std::{cell::Cell, time::Duration};
use tokio::time::Instant;

/// The heads of a request and of its answer, and what carries them, in bytes.
const HEADS: u64 = 600;
/// The weight of a new span in the moving mean.
const GAIN: f64 = 0.5;

/// How much of the VM's link requests take.
///
/// Each request passes the link twice each way alike: it comes from the caller
/// and goes to a target, and so does the answer.
#[derive(Debug)]
pub(crate) struct Traffic {
    /// What the link carries each way, in bytes a second; 0 if unknown.
    link: f64,
    bytes: Cell<u64>,
    since: Cell<Instant>,
    share: Cell<f64>,
}

impl Traffic {
    /// How often the share is taken.
    pub(crate) const SPAN: Duration = Duration::from_millis(500);

    pub(crate) fn new(link: f64) -> Self {
        Self {
            link,
            bytes: Cell::new(0),
            since: Cell::new(Instant::now()),
            share: Cell::new(0.0),
        }
    }

    /// Notes a request and its answer by the sizes of their bodies.
    pub(crate) fn note(&self, request: u64, answer: u64) {
        self.bytes.set(self.bytes.get() + request + answer + HEADS);
    }

    /// The share of the link that was used lately, in percent.
    pub(crate) fn percent(&self) -> u32 {
        let span = self.since.replace(Instant::now()).elapsed();
        let carried = self.link * span.as_secs_f64();
        if carried <= 0.0 {
            return 0;
        }
        let share = self.bytes.replace(0) as f64 / carried;
        let mean = self.share.get();
        self.share.set(mean + GAIN * (share - mean));
        (self.share.get() * 100.0) as u32
    }
}
