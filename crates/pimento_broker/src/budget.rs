//! The budget of retries that a VM may send.

use pimento_core::Time;
use std::time::Duration;

/// The share of the system-wide retry limit that all VMs together use. The rest
/// is a safety margin, since the VMs count requests over different windows of
/// time.
const USABLE_SHARE: f64 = 0.7;

/// How long a process that has started uses no slack: until it knows the other VMs,
/// it can't tell which part of the slack is its own.
const SLACK_DELAY: Duration = Duration::from_secs(2);

/// A token bucket that holds one VM's share of the retries that all VMs may
/// send for a service.
///
/// Tokens come from two sources: a fraction for each of the VM's own requests,
/// and the VM's part of the system-wide slack, which is divided by the number
/// of VMs. The shares therefore add up to at most the system-wide limit, even
/// if VMs can't reach each other: the greatest number that was known counts.
///
/// Times are those since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The retries within a window that all VMs share.
    slack: f64,
    window: Duration,
    /// The greatest number of VMs that was known.
    vms: usize,
    tokens: f64,
    capacity: f64,
    last_refill: Time,
    /// Tokens per second.
    refill_rate: f64,
}

impl RetryBudget {
    /// Creates a budget for a single retry, which fills up. `slack` is the number
    /// of retries within a window that all `vms` share in addition to the tokens for
    /// requests.
    ///
    /// It isn't full, since an earlier process of this VM may have spent its part.
    pub fn new(now: Time, slack: f64, window: Duration, vms: usize) -> Self {
        let mut budget = Self {
            slack,
            window,
            vms: 0,
            tokens: 1.0,
            capacity: 0.0,
            last_refill: now.max(Time::ZERO + SLACK_DELAY),
            refill_rate: 0.0,
        };
        budget.follow_vms(vms.max(1));
        budget
    }

    /// Adapts this VM's part of the slack to a number of VMs that is now known.
    pub fn follow_vms(&mut self, vms: usize) {
        if vms <= self.vms {
            return;
        }
        self.vms = vms;
        self.capacity = (USABLE_SHARE * self.slack / vms as f64 / 2.0).max(1.0);
        self.refill_rate = self.capacity / self.window.as_secs_f64();
        self.tokens = self.tokens.min(self.capacity * 2.0);
    }

    /// Adds the tokens for one request: `ratio` retries, less the safety margin.
    pub fn record_request(&mut self, now: Time, ratio: f64) {
        self.refill(now);
        self.tokens = (self.tokens + ratio * USABLE_SHARE).min(self.capacity * 2.0);
    }

    /// Takes a token for a retry if there is one; returns whether the retry may
    /// be sent.
    pub fn try_spend(&mut self, now: Time) -> bool {
        self.refill(now);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.last_refill).as_secs_f64();
        self.last_refill = self.last_refill.max(now);
        if self.tokens < self.capacity {
            self.tokens = (self.tokens + elapsed * self.refill_rate).min(self.capacity);
        }
    }
}
