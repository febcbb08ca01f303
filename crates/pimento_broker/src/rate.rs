//! The requests per second that a target takes, shared by all VMs.

use pimento_core::Time;
use pimento_notices::RequestRate;
use std::time::Duration;

/// The least requests per second that are sent: without an answer, nobody would
/// hear that the target names another limit.
const MIN_PER_SECOND: f64 = 0.25;
/// How much of an interval without requests may be made up for at once.
const MAX_BURST: Duration = Duration::from_millis(500);
/// The highest standby rank at which a VM sends requests to a target with a
/// limit.
const MAX_STANDBY: u32 = 2;
/// Each standby rank uses the limit of the one before it divided by this. While
/// two VMs disagree on who owns the shard, both may grant permits.
const STANDBY_DIVISOR: u32 = 4;

/// Spaces the permits of a target that takes a limited number of requests per
/// second (the generic cell rate algorithm).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RateLimiter {
    rate: Option<RequestRate>,
    /// When the next permit is due at an even pace.
    next: Time,
}

impl RateLimiter {
    /// Follows the limit that the target named last. `running` requests count
    /// against a first limit, because a VM without news granted them unchecked.
    pub(crate) fn set_rate(&mut self, now: Time, rate: Option<RequestRate>, running: u32) {
        let is_first = self.rate.is_none();
        self.rate = rate;
        if is_first && let Some(interval) = self.interval(0) {
            self.next = now + MAX_BURST + interval.mul_f64(f64::from(running));
        }
    }

    /// Whether a permit may be granted now.
    pub(crate) fn is_due(&self, now: Time, standby: u32) -> bool {
        self.rate.is_none() || (standby <= MAX_STANDBY && self.next <= now + MAX_BURST)
    }

    /// Counts a permit.
    pub(crate) fn acquire(&mut self, now: Time, standby: u32) {
        if let Some(interval) = self.interval(standby) {
            self.next = self.next.max(now) + interval;
        }
    }

    /// How long until this many permits were due.
    pub(crate) fn wait_for(&self, now: Time, permits: f64) -> Duration {
        let Some(interval) = self.interval(0) else {
            return Duration::ZERO;
        };
        let next_due = self.next.since(now + MAX_BURST);
        next_due + interval.mul_f64((permits - 1.0).max(0.0))
    }

    /// The permits per second that can be granted; `None` if there is no limit.
    pub(crate) fn per_second(&self) -> Option<f64> {
        self.rate.map(|rate| rate.per_second().max(MIN_PER_SECOND))
    }

    /// The time between two permits; `None` if there is no limit.
    fn interval(&self, standby: u32) -> Option<Duration> {
        let divisor = STANDBY_DIVISOR.pow(standby.min(MAX_STANDBY));
        let per_second = self.rate?.per_second() / f64::from(divisor);
        Some(Duration::from_secs_f64(
            1.0 / per_second.max(MIN_PER_SECOND),
        ))
    }
}
