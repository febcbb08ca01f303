//! How long requests run.

use std::time::Duration;

/// The weight of a new value in a moving mean.
const GAIN: f64 = 0.1;

/// A moving mean of run times.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace(Option<f64>);

impl Pace {
    pub(crate) fn note(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.0 = Some(self.0.map_or(took, |mean| mean + GAIN * (took - mean)));
    }

    /// The mean, or a fallback before anything was noted.
    pub(crate) fn mean(&self, fallback: Duration) -> Duration {
        self.0.map_or(fallback, Duration::from_secs_f64)
    }

    /// The mean in seconds.
    pub(crate) const fn secs(&self) -> Option<f64> {
        self.0
    }
}
