//! A running estimate of how long requests take.

use pimento_core::Time;
use std::time::Duration;

/// The weight of a new sample in the mean.
const WEIGHT: f64 = 0.1;
/// The spreads above the mean that few requests exceed.
const SPREADS: f64 = 2.0;
/// An estimate that was halved this often is forgotten.
const MAX_HALVINGS: u128 = 20;

/// An exponentially weighted mean that fades without samples.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimate {
    /// The mean, in microseconds.
    mean: f64,
    /// The mean distance from the mean, in microseconds.
    spread: f64,
    /// The number of samples.
    samples: u32,
    /// When the last sample came.
    last: Time,
}

impl Estimate {
    /// Takes a sample into the mean.
    pub(crate) fn add(&mut self, now: Time, sample: Duration) {
        let micros = sample.as_micros() as f64;
        // The first samples weigh more, so that the start does not bias it.
        let weight = WEIGHT.max(1.0 / f64::from(self.samples.saturating_add(1)));
        let error = micros - self.mean;
        self.mean += weight * error;
        if self.samples > 0 {
            self.spread += weight * (error.abs() - self.spread);
        }
        self.samples = self.samples.saturating_add(1);
        self.last = now;
    }

    /// The mean, halved for each half-life without a sample.
    pub(crate) fn mean(&self, now: Time, half_life: Duration) -> Duration {
        self.faded(self.mean, now, half_life)
    }

    /// A time that few requests exceed, halved like the mean.
    pub(crate) fn high(&self, now: Time, half_life: Duration) -> Duration {
        self.faded(self.mean + SPREADS * self.spread, now, half_life)
    }

    fn faded(&self, micros: f64, now: Time, half_life: Duration) -> Duration {
        let halvings = now.since(self.last).as_micros() / half_life.as_micros().max(1);
        if halvings > MAX_HALVINGS {
            return Duration::ZERO;
        }
        let factor = 0.5_f64.powi(halvings as i32);
        Duration::from_micros((micros * factor) as u64)
    }

    /// The mean in microseconds, if it rests on enough samples.
    pub(crate) fn settled(&self, samples: u32) -> Option<f64> {
        (self.samples >= samples).then_some(self.mean)
    }

    /// Forgets all samples.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
