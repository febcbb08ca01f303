//! How many repeats a VM may send.

use pimento_core::Time;
use std::time::Duration;

/// The part of what all VMs together may send that is used, since requests
/// are counted over windows that the VMs don't share.
const MARGIN: f64 = 0.7;

/// A VM's share of the repeats that all VMs may send for a service.
///
/// A repeat is allowed for a share of the VM's own requests, and from a part of
/// the common slack that is divided by the number of VMs; so the shares add up
/// to no more than the whole, whether or not the VMs reach each other.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    most: f64,
    filled: Time,
    /// The tokens that time brings, a second.
    rate: f64,
}

impl RetryBudget {
    /// A full budget: the slack that all VMs share within a window, and their
    /// number.
    pub fn new(now: Time, slack: f64, window: Duration, vms: usize) -> Self {
        let most = (MARGIN * slack / vms.max(1) as f64 / 2.0).max(1.0);
        Self {
            tokens: most,
            most,
            filled: now,
            rate: most / window.as_secs_f64(),
        }
    }

    /// Notes a request, which allows a share of a repeat.
    pub fn record_request(&mut self, now: Time, ratio: f64) {
        self.fill(now);
        self.tokens = (self.tokens + ratio * MARGIN).min(self.most * 2.0);
    }

    /// Whether a repeat may be sent; it is then spent.
    pub fn try_spend(&mut self, now: Time) -> bool {
        self.fill(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    fn fill(&mut self, now: Time) {
        let passed = now.since(self.filled).as_secs_f64();
        self.filled = now;
        if self.tokens < self.most {
            self.tokens = (self.tokens + passed * self.rate).min(self.most);
        }
    }
}
