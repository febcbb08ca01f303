//! Estimates the retransmission timeout from observed round-trip times.

use std::time::Duration;

/// Lower bound of the timeout: a few round trips to the furthest region.
const MIN_TIMEOUT: Duration = Duration::from_millis(80);
/// Upper bound of the timeout: a request can't afford to lose more time.
const MAX_TIMEOUT: Duration = Duration::from_millis(500);
/// Weights of a new sample in the EWMA of the round-trip time and of its
/// deviation.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
/// The timeout is the mean plus this many deviations.
const DEVIATION_FACTOR: f64 = 4.0;

/// Estimates the retransmission timeout from recent round-trip times, as TCP
/// does (RFC 6298).
///
/// On a VM whose own link is saturated, answers are late rather than lost. If
/// it suspected the VMs that sent them, it would have other VMs grant permits
/// for the same slots.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RttEstimator {
    /// In seconds; 0 before the first sample.
    mean: f64,
    deviation: f64,
}

impl RttEstimator {
    pub(crate) fn record_rtt(&mut self, rtt: Duration) {
        let rtt = rtt.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = rtt;
            self.deviation = rtt / 2.0;
            return;
        }
        let error = (rtt - self.mean).abs();
        self.deviation += DEVIATION_WEIGHT * (error - self.deviation);
        self.mean += MEAN_WEIGHT * (rtt - self.mean);
    }

    /// The time after which an unanswered message is sent again.
    pub(crate) fn retransmission_timeout(&self) -> Duration {
        let timeout = self.mean + DEVIATION_FACTOR * self.deviation;
        Duration::from_secs_f64(timeout).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
