//! Measures how much of the VM's link capacity requests use.

use std::{cell::Cell, time::Duration};
use tokio::time::Instant;

/// Bytes added per exchange for the headers of the request and its response and
/// the lower protocol layers.
const HEADER_BYTES: u64 = 600;
/// The weight of a new sample in the EWMA of the link usage.
const EWMA_WEIGHT: f64 = 0.5;

/// Measures how much of the VM's link capacity requests use.
///
/// Each request and each response crosses the link once in each direction: it
/// is received from one side and forwarded to the other. One byte count
/// therefore holds for both directions.
#[derive(Debug)]
pub(crate) struct LinkUsage {
    /// The capacity of the link in each direction, in bytes per second; 0 if
    /// unknown.
    link_rate: f64,
    bytes: Cell<u64>,
    sampled_at: Cell<Instant>,
    /// The EWMA of the used share of the link.
    mean: Cell<f64>,
}

impl LinkUsage {
    /// How often the usage is sampled.
    pub(crate) const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

    pub(crate) fn new(link_rate: f64) -> Self {
        Self {
            link_rate,
            bytes: Cell::new(0),
            sampled_at: Cell::new(Instant::now()),
            mean: Cell::new(0.0),
        }
    }

    /// Records a request and its response by the sizes of their bodies.
    pub(crate) fn record(&self, request_bytes: u64, response_bytes: u64) {
        self.bytes
            .set(self.bytes.get() + request_bytes + response_bytes + HEADER_BYTES);
    }

    /// Records a part of a response whose size [`Self::record`] didn't know.
    pub(crate) fn record_part(&self, bytes: u64) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    /// Adds the bytes since the last call to the EWMA and returns the used share
    /// of the link, in percent.
    pub(crate) fn sample_percent(&self) -> u32 {
        let elapsed = self.sampled_at.replace(Instant::now()).elapsed();
        let capacity = self.link_rate * elapsed.as_secs_f64();
        if capacity <= 0.0 {
            return 0;
        }
        let share = self.bytes.replace(0) as f64 / capacity;
        let mean = self.mean.get();
        self.mean.set(mean + EWMA_WEIGHT * (share - mean));
        (self.mean.get() * 100.0) as u32
    }
}
