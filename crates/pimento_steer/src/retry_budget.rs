//! Limits retries and hedges to a share of the recent requests.

use pimento_core::Time;

/// The length of the sliding window, in seconds.
const WINDOW_SECONDS: usize = 10;
const MICROS_PER_SECOND: u64 = 1_000_000;
const HUNDRED_PERCENT: u64 = 100;

/// The counts of one second.
#[derive(Clone, Copy, Debug, Default)]
struct SecondCounts {
    second: u64,
    requests: u64,
    retries: u64,
}

/// A budget for retries and hedges over a sliding window of ten seconds.
///
/// All services of a VM share one budget, so that the retries of a failing
/// service can't overload the others. Even if every target fails, attempts stay
/// below `1 + percent / 100` times the requests. See `docs/design/retries.md`.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    seconds: [SecondCounts; WINDOW_SECONDS],
}

impl RetryBudget {
    /// Creates an empty budget, which allows no retry until requests are
    /// recorded.
    pub fn new() -> Self {
        Self::default()
    }

    fn counts_mut(&mut self, now: Time) -> &mut SecondCounts {
        let second = now.as_micros() / MICROS_PER_SECOND;
        let counts = &mut self.seconds[second as usize % WINDOW_SECONDS];
        if counts.second != second {
            *counts = SecondCounts {
                second,
                ..SecondCounts::default()
            };
        }
        counts
    }

    /// Counts a request. Must be called once per request, at its first attempt.
    pub fn record_request(&mut self, now: Time) {
        self.counts_mut(now).requests += 1;
    }

    /// Takes one retry or hedge from the budget, if they stay below `percent`
    /// of the recent requests. Returns whether it was granted.
    pub fn try_acquire(&mut self, now: Time, percent: u8) -> bool {
        let oldest =
            (now.as_micros() / MICROS_PER_SECOND).saturating_sub(WINDOW_SECONDS as u64 - 1);
        let recent = self.seconds.iter().filter(|s| s.second >= oldest);
        let (requests, retries) = recent.fold((0, 0), |(requests, retries), counts| {
            (requests + counts.requests, retries + counts.retries)
        });
        let is_allowed = (retries + 1) * HUNDRED_PERCENT < requests * u64::from(percent);
        if is_allowed {
            self.counts_mut(now).retries += 1;
        }
        is_allowed
    }
}
