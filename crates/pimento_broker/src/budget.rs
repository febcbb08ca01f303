//! The budget of retries that a VM may send.

use pimento_core::Time;
use std::time::Duration;

/// The share of the system-wide retry limit that all VMs together use. The rest
/// is a safety margin, since the VMs count requests over different windows of
/// time.
const USABLE_SHARE: f64 = 0.7;

/// A token bucket that holds one VM's share of the retries that all VMs may
/// send for a service.
///
/// Tokens come from two sources: a fraction for each of the VM's own requests,
/// and the VM's part of the system-wide slack, which is divided by the number
/// of VMs. The shares therefore add up to at most the system-wide limit, even
/// if VMs can't reach each other.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    capacity: f64,
    last_refill: Time,
    /// Tokens per second.
    refill_rate: f64,
}

impl RetryBudget {
    /// Creates a full budget. `slack` is the number of retries within a window
    /// that all `vms` share in addition to the tokens for requests.
    pub fn new(now: Time, slack: f64, window: Duration, vms: usize) -> Self {
        let capacity = (USABLE_SHARE * slack / vms.max(1) as f64 / 2.0).max(1.0);
        Self {
            tokens: capacity,
            capacity,
            last_refill: now,
            refill_rate: capacity / window.as_secs_f64(),
        }
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
        self.last_refill = now;
        if self.tokens < self.capacity {
            self.tokens = (self.tokens + elapsed * self.refill_rate).min(self.capacity);
        }
    }
}
