//! How long to wait for an answer before a message is sent again.

use std::time::Duration;

/// The shortest wait: a few round trips to the furthest region.
const SHORTEST: Duration = Duration::from_millis(80);
/// The longest wait: requests have no more time than that to lose.
const LONGEST: Duration = Duration::from_millis(500);
/// The weights of a new round trip in the mean and in the deviation.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// How many deviations above the mean an answer counts as lost.
const DEVIATIONS: f64 = 4.0;

/// How long to wait for an answer before a message is sent again, by the round
/// trips seen lately, as TCP does (RFC 6298).
///
/// The load that it answers: a VM whose own link is full. The answers that it
/// waits for are late, not lost; if it took those who answer for lost, it
/// would have others grant the same places.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Patience {
    /// In seconds; 0 before anything was noted.
    mean: f64,
    deviation: f64,
}

impl Patience {
    /// Notes a round trip.
    pub(crate) fn note(&mut self, trip: Duration) {
        let trip = trip.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = trip;
            self.deviation = trip / 2.0;
            return;
        }
        let off = (trip - self.mean).abs();
        self.deviation += DEVIATION_GAIN * (off - self.deviation);
        self.mean += MEAN_GAIN * (trip - self.mean);
    }

    /// The time after which a message counts as lost.
    pub(crate) fn wait(&self) -> Duration {
        let wait = self.mean + DEVIATIONS * self.deviation;
        Duration::from_secs_f64(wait).clamp(SHORTEST, LONGEST)
    }
}
