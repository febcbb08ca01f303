//! Limits how fast the load that spills over to another failure domain may
//! grow.

use crate::SteeringConfig;
use pimento_core::Time;
use std::time::Duration;

/// The period over which spilled requests are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(1);
/// The limit only grows if at least this share of it was used.
const MIN_USED_SHARE: f64 = 0.8;
/// The minimum time between two cuts of the limit, so that a burst of refusals
/// counts once.
const MIN_CUT_INTERVAL: Duration = Duration::from_millis(100);

/// The number of requests that may spill over in the current window.
///
/// The caches of the other domain are cold and its headroom is not current.
/// Spillover therefore starts small, grows by a factor each second in which it
/// was used and accepted, and is halved by a refusal.
#[derive(Clone, Debug)]
pub(crate) struct SpilloverLimit {
    allowed: f64,
    spilled: u32,
    window_start: Time,
    last_cut: Option<Time>,
}

impl SpilloverLimit {
    pub(crate) fn new(now: Time, floor: f64) -> Self {
        Self {
            allowed: floor,
            spilled: 0,
            window_start: now,
            last_cut: None,
        }
    }

    /// Starts a new window if the current one has ended.
    fn roll_window(&mut self, now: Time, floor: f64, config: &SteeringConfig) {
        let elapsed = now.since(self.window_start);
        if elapsed < COUNT_WINDOW {
            return;
        }
        let was_used = f64::from(self.spilled) >= self.allowed * MIN_USED_SHARE;
        let is_idle = elapsed >= COUNT_WINDOW * 2;
        let next = if was_used && !is_idle {
            self.allowed * config.spill_growth
        } else {
            f64::from(self.spilled)
        };
        self.allowed = if is_idle { floor } else { next.max(floor) };
        self.spilled = 0;
        self.window_start = now;
    }

    /// Whether another request may spill over now.
    pub(crate) fn allows(&mut self, now: Time, floor: f64, config: &SteeringConfig) -> bool {
        self.roll_window(now, floor, config);
        f64::from(self.spilled) < self.allowed.max(1.0)
    }

    /// Whether requests may have spilled over recently.
    pub(crate) fn is_recent(&self, now: Time) -> bool {
        now.since(self.window_start) < COUNT_WINDOW * 2
    }

    /// Counts a request that spilled over.
    pub(crate) fn record_spill(&mut self) {
        self.spilled += 1;
    }

    /// Halves the limit after a refusal.
    pub(crate) fn record_refusal(&mut self, now: Time) {
        if self
            .last_cut
            .is_some_and(|cut| now.since(cut) < MIN_CUT_INTERVAL)
        {
            return;
        }
        self.last_cut = Some(now);
        self.allowed /= 2.0;
    }
}
