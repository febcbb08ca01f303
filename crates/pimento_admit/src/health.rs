//! Whether a target has failed or slowed so far that it is ejected.

use crate::{AdmissionConfig, estimate::Estimate};
use pimento_core::Time;
use std::time::Duration;

/// The most doublings of the time that a target stays ejected.
const MAX_DOUBLINGS: u32 = 8;

/// The recent answers of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// Failures since the last answer.
    fails: u32,
    /// How long its answers take.
    pub(crate) latency: Estimate,
    /// The end of the present ejection.
    until: Time,
    /// Ejections since the target was last well for long.
    ejections: u32,
}

impl Health {
    /// Takes an answer into account.
    pub(crate) fn answered(&mut self, now: Time, latency: Duration) {
        self.fails = 0;
        self.latency.add(now, latency);
    }

    /// Takes a failure into account.
    pub(crate) fn failed(&mut self) {
        self.fails = self.fails.saturating_add(1);
    }

    /// Whether the target is ejected.
    pub(crate) fn ejected(&self, now: Time) -> bool {
        now < self.until
    }

    /// The end of the ejection, if there is one.
    pub(crate) fn wake(&self, now: Time) -> Option<Time> {
        self.ejected(now).then_some(self.until)
    }

    /// Whether the target looks ill beside fellows with a median latency, in
    /// microseconds.
    pub(crate) fn ill(&self, median: Option<f64>, config: &AdmissionConfig) -> bool {
        if self.fails >= config.eject_failures {
            return true;
        }
        let own = self.latency.settled(config.eject_samples);
        match (own, median) {
            (Some(own), Some(median)) => own > median * config.eject_ratio,
            _ => false,
        }
    }

    /// Ejects the target; what was measured before says nothing after.
    pub(crate) fn eject(&mut self, now: Time, config: &AdmissionConfig) {
        let well = now.since(self.until) > config.eject_max;
        self.ejections = if well { 0 } else { self.ejections + 1 };
        let factor = 1 << self.ejections.min(MAX_DOUBLINGS);
        self.until = now + (config.eject_min * factor).min(config.eject_max);
        self.fails = 0;
        self.latency.clear();
    }
}
