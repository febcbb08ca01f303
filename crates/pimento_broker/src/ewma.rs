//! Exponentially weighted moving averages of durations.

use std::time::Duration;

/// The weight of a new sample in the average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// An exponentially weighted moving average of durations; empty until the first
/// sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Ewma(Option<f64>);

impl Ewma {
    pub(crate) fn record(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.0 = Some(
            self.0
                .map_or(sample, |mean| mean + SAMPLE_WEIGHT * (sample - mean)),
        );
    }

    /// The average, or the fallback while there are no samples.
    pub(crate) fn mean(&self, fallback: Duration) -> Duration {
        self.0.map_or(fallback, Duration::from_secs_f64)
    }

    pub(crate) const fn mean_secs(&self) -> Option<f64> {
        self.0
    }
}
