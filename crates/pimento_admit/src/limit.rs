//! The adaptive concurrency limit of one target.

use crate::AdmissionConfig;
use pimento_core::Time;
use std::time::Duration;

/// A concurrency limit with additive increase on each response and
/// multiplicative decrease when the target sheds a request (AIMD).
#[derive(Clone, Debug)]
pub(crate) struct Limit {
    /// The limit in slots, with a fraction; at least one.
    value: f64,
    last_cut: Option<Time>,
    /// No slots are offered before this time.
    resume_at: Time,
    /// The duration of the next pause.
    next_pause: Duration,
}

impl Limit {
    /// Starts with all slots.
    pub(crate) fn new(slots: u32, config: &AdmissionConfig) -> Self {
        Self {
            value: f64::from(slots.max(1)),
            last_cut: None,
            resume_at: Time::ZERO,
            next_pause: config.pause_min,
        }
    }

    /// The current limit in slots; zero during a pause.
    pub(crate) fn slots(&self, now: Time) -> u32 {
        if now < self.resume_at {
            return 0;
        }
        self.value as u32
    }

    /// The end of the pause, if the target is paused.
    pub(crate) fn pause_end(&self, now: Time) -> Option<Time> {
        (now < self.resume_at).then_some(self.resume_at)
    }

    /// Raises the limit after a response and resets the pause.
    pub(crate) fn increase(&mut self, slots: u32, config: &AdmissionConfig) {
        self.next_pause = config.pause_min;
        self.value = (self.value + 1.0 / self.value).min(f64::from(slots.max(1)));
    }

    /// Lowers the limit after the target shed a request, with `used` slots in
    /// use at that time.
    pub(crate) fn decrease(&mut self, now: Time, used: u32, config: &AdmissionConfig) {
        let recent = self
            .last_cut
            .is_some_and(|cut| now.since(cut) < config.cut_interval);
        if recent {
            return;
        }
        self.last_cut = Some(now);
        if self.value < 2.0 {
            self.pause(now, config);
        }
        let base = self.value.min(f64::from(used.max(1)));
        self.value = (base * config.shed_factor).max(1.0);
    }

    /// Offers no slots for a while, twice as long with each repetition.
    /// Failures of requests that were already running during a pause don't
    /// extend it.
    pub(crate) fn pause(&mut self, now: Time, config: &AdmissionConfig) {
        if now < self.resume_at {
            return;
        }
        self.resume_at = now + self.next_pause;
        self.next_pause = (self.next_pause * 2).min(config.pause_max);
    }

    /// Starts again at one slot.
    pub(crate) fn reset(&mut self) {
        self.value = 1.0;
    }
}
