//! The bounded growth of load that is moved to another failure domain.

use crate::SteeringConfig;
use pimento_core::Time;
use std::time::Duration;

/// The time over which moved requests are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// The share of what was allowed that must have been used to grow.
const USED: f64 = 0.8;
/// The shortest time between two cuts.
const CUT_GAP: Duration = Duration::from_millis(100);

/// How many requests may be moved in the present second.
///
/// Caches at the other end are cold and its headroom was measured a while ago,
/// so moved load starts small, grows by a factor each second that it was used
/// and accepted, and halves on a refusal.
#[derive(Clone, Debug)]
pub(crate) struct Growth {
    allowed: f64,
    moved: u32,
    start: Time,
    cut: Option<Time>,
}

impl Growth {
    pub(crate) fn new(now: Time, floor: f64) -> Self {
        Self {
            allowed: floor,
            moved: 0,
            start: now,
            cut: None,
        }
    }

    /// Starts a new second if the present one is over.
    fn roll(&mut self, now: Time, floor: f64, config: &SteeringConfig) {
        let passed = now.since(self.start);
        if passed < WINDOW {
            return;
        }
        let used = f64::from(self.moved) >= self.allowed * USED;
        let quiet = passed >= WINDOW * 2;
        let next = if used && !quiet {
            self.allowed * config.spill_growth
        } else {
            f64::from(self.moved)
        };
        self.allowed = if quiet { floor } else { next.max(floor) };
        self.moved = 0;
        self.start = now;
    }

    /// Whether one more request may be moved now.
    pub(crate) fn allows(&mut self, now: Time, floor: f64, config: &SteeringConfig) -> bool {
        self.roll(now, floor, config);
        f64::from(self.moved) < self.allowed.max(1.0)
    }

    /// Whether anything was moved lately.
    pub(crate) fn recent(&self, now: Time) -> bool {
        now.since(self.start) < WINDOW * 2
    }

    /// Counts a moved request.
    pub(crate) fn count(&mut self) {
        self.moved += 1;
    }

    /// Takes a refusal into account.
    pub(crate) fn cut(&mut self, now: Time) {
        if self.cut.is_some_and(|cut| now.since(cut) < CUT_GAP) {
            return;
        }
        self.cut = Some(now);
        self.allowed /= 2.0;
    }
}
