//! The adaptive limit of one target.

use crate::AdmissionConfig;
use pimento_core::Time;
use std::time::Duration;

/// Raises the slots that a target is offered additively with each answer, and
/// cuts them by a factor when the target sheds (AIMD).
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    /// The slots, a fraction between steps; one at least.
    value: f64,
    /// The time of the last cut.
    cut: Option<Time>,
    /// Nothing is offered before this time.
    resume: Time,
    /// The length of the next pause.
    pause: Duration,
}

impl Limit {
    /// Starts with all slots.
    pub(crate) fn new(slots: u32, config: &AdmissionConfig) -> Self {
        Self {
            value: f64::from(slots.max(1)),
            cut: None,
            resume: Time::ZERO,
            pause: config.pause_min,
        }
    }

    /// The slots that may be used now.
    pub(crate) fn get(&self, now: Time) -> u32 {
        if now < self.resume {
            return 0;
        }
        self.value as u32
    }

    /// The end of the pause, if there is one.
    pub(crate) fn wake(&self, now: Time) -> Option<Time> {
        (now < self.resume).then_some(self.resume)
    }

    /// Takes an answer into account.
    pub(crate) fn raise(&mut self, slots: u32, config: &AdmissionConfig) {
        self.pause = config.pause_min;
        self.value = (self.value + 1.0 / self.value).min(f64::from(slots.max(1)));
    }

    /// Takes a shed answer into account; `used` slots were in use.
    pub(crate) fn cut(&mut self, now: Time, used: u32, config: &AdmissionConfig) {
        let recent = self
            .cut
            .is_some_and(|cut| now.since(cut) < config.cut_interval);
        if recent {
            return;
        }
        self.cut = Some(now);
        if self.value < 2.0 {
            self.hold(now, config);
        }
        let base = self.value.min(f64::from(used.max(1)));
        self.value = (base * config.shed_factor).max(1.0);
    }

    /// Offers nothing for a while, twice as long at each repetition; failures
    /// of requests that were under way meanwhile add nothing.
    pub(crate) fn hold(&mut self, now: Time, config: &AdmissionConfig) {
        if now < self.resume {
            return;
        }
        self.resume = now + self.pause;
        self.pause = (self.pause * 2).min(config.pause_max);
    }

    /// Starts again at one slot.
    pub(crate) fn restart(&mut self) {
        self.value = 1.0;
    }
}
