//! Outlier detection: decides when a target fails or slows down so much that it
//! is ejected.

use crate::{AdmissionConfig, estimate::Estimate};
use pimento_core::Time;
use std::time::Duration;

/// How often the duration of an ejection doubles at most.
const MAX_EJECTION_DOUBLINGS: u32 = 8;

/// The recent results of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Consecutive failures since the last response.
    failures: u32,
    pub(crate) latency: Estimate,
    /// The end of the current ejection, or of the last one.
    ejected_until: Time,
    /// Consecutive ejections, each of which followed soon after the previous
    /// one.
    ejections: u32,
}

impl Health {
    pub(crate) fn record_response(&mut self, now: Time, latency: Duration) {
        self.failures = 0;
        self.latency.record(now, latency);
    }

    pub(crate) fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// The end of the current ejection, if the target is ejected.
    pub(crate) fn ejection_end(&self, now: Time) -> Option<Time> {
        self.is_ejected(now).then_some(self.ejected_until)
    }

    /// Whether the target is an outlier: it failed repeatedly, or is much
    /// slower than `median`, the median latency of the other targets in
    /// microseconds.
    pub(crate) fn is_unhealthy(&self, median: Option<f64>, config: &AdmissionConfig) -> bool {
        if self.failures >= config.eject_failures {
            return true;
        }
        let mean = self.latency.settled_mean(config.eject_samples);
        match (mean, median) {
            (Some(mean), Some(median)) => mean > median * config.eject_ratio,
            _ => false,
        }
    }

    /// Ejects the target and discards its measurements, which may not describe
    /// the target as it is when it returns.
    pub(crate) fn eject(&mut self, now: Time, config: &AdmissionConfig) {
        let recovered = now.since(self.ejected_until) > config.eject_max;
        self.ejections = if recovered { 0 } else { self.ejections + 1 };
        let factor = 1 << self.ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + (config.eject_min * factor).min(config.eject_max);
        self.failures = 0;
        self.latency.clear();
    }
}
