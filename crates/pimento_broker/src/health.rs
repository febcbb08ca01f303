//! Outlier detection: how often a target fails and how long its runs take,
//! compared with the other targets of its pool.

use pimento_core::Time;
use std::time::Duration;

/// The weight of a new outcome in the averages.
const OUTCOME_WEIGHT: f64 = 0.15;
/// How far a target's failure rate may exceed the pool's mean before other
/// targets are preferred.
const MAX_EXCESS_RATE: f64 = 0.25;
/// The ratio of a target's run times to the pool's mean from which other
/// targets are preferred.
const SLOW_RATIO: f64 = 2.5;
/// The largest ratio that a single run counts with, so that one run doesn't
/// decide about its target.
const MAX_RATIO: f64 = 2.0 * SLOW_RATIO;
/// How long a verdict holds without a new outcome. An outlier gets no requests
/// while others have slots, so only a new try can show that it has recovered.
const VERDICT_LIFETIME: Duration = Duration::from_secs(4);

/// The averages of a target's outcomes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    /// The share of requests that the target failed, or refused with slots free.
    failure_rate: f64,
    /// Run times divided by the pool's mean.
    slowness: f64,
    /// When the last outcome was recorded.
    updated: Time,
}

impl Health {
    /// A target of which nothing is known is taken for an average one.
    pub(crate) const NEW: Self = Self {
        failure_rate: 0.0,
        slowness: 1.0,
        updated: Time::ZERO,
    };

    pub(crate) const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether the target neither fails much more often than the pool, whose
    /// mean failure rate is `mean_rate`, nor takes much longer.
    pub(crate) fn is_good(&self, now: Time, mean_rate: f64) -> bool {
        let is_outlier =
            self.failure_rate >= mean_rate + MAX_EXCESS_RATE || self.slowness >= SLOW_RATIO;
        !is_outlier || now >= self.updated + VERDICT_LIFETIME
    }

    /// Records a success; `ratio` is its run time divided by the mean of similar
    /// runs in the pool, if that is known.
    pub(crate) fn record_success(&mut self, now: Time, ratio: Option<f64>) {
        self.failure_rate -= OUTCOME_WEIGHT * self.failure_rate;
        if let Some(ratio) = ratio {
            self.slowness += OUTCOME_WEIGHT * (ratio.min(MAX_RATIO) - self.slowness);
        }
        self.updated = now;
    }

    pub(crate) fn record_failure(&mut self, now: Time) {
        self.failure_rate += OUTCOME_WEIGHT * (1.0 - self.failure_rate);
        self.updated = now;
    }
}
