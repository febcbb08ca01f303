//! A running estimate of request latency.

use pimento_core::Time;
use std::time::Duration;

/// The weight of a new sample in the exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// How many mean deviations above the mean the upper bound lies.
const HIGH_DEVIATIONS: f64 = 2.0;
/// An estimate that was halved more often than this counts as zero.
const MAX_HALVINGS: u128 = 20;

/// An exponentially weighted moving average that decays while there are no
/// samples.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimate {
    /// The mean latency, in microseconds.
    mean: f64,
    /// The mean absolute deviation from the mean, in microseconds.
    deviation: f64,
    samples: u32,
    last_sample: Time,
}

impl Estimate {
    pub(crate) fn record(&mut self, now: Time, sample: Duration) {
        let micros = sample.as_micros() as f64;
        // The first samples get a larger weight, so that the initial value of
        // zero does not bias the mean.
        let weight = EWMA_WEIGHT.max(1.0 / f64::from(self.samples.saturating_add(1)));
        let error = micros - self.mean;
        self.mean += weight * error;
        if self.samples > 0 {
            self.deviation += weight * (error.abs() - self.deviation);
        }
        self.samples = self.samples.saturating_add(1);
        self.last_sample = now;
    }

    /// The mean, halved for each half-life without a sample.
    pub(crate) fn mean(&self, now: Time, half_life: Duration) -> Duration {
        self.decayed(self.mean, now, half_life)
    }

    /// A latency that few requests exceed, halved for each half-life without a
    /// sample.
    pub(crate) fn upper_bound(&self, now: Time, half_life: Duration) -> Duration {
        self.decayed(self.mean + HIGH_DEVIATIONS * self.deviation, now, half_life)
    }

    fn decayed(&self, micros: f64, now: Time, half_life: Duration) -> Duration {
        let halvings = now.since(self.last_sample).as_micros() / half_life.as_micros().max(1);
        if halvings > MAX_HALVINGS {
            return Duration::ZERO;
        }
        let factor = 0.5_f64.powi(halvings as i32);
        Duration::from_micros((micros * factor) as u64)
    }

    /// The mean in microseconds, without decay, if there are at least
    /// `min_samples` samples.
    pub(crate) fn settled_mean(&self, min_samples: u32) -> Option<f64> {
        (self.samples >= min_samples).then_some(self.mean)
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
