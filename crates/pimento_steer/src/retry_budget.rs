//! The bound on retries and hedges as a share of recent requests.

use pimento_core::Time;

/// The seconds that count as recent.
const SECONDS: usize = 10;
/// Microseconds in a second.
const SECOND: u64 = 1_000_000;
/// The whole, in percent.
const WHOLE: u64 = 100;

/// Counts of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    second: u64,
    requests: u64,
    repeats: u64,
}

/// A budget of retries and hedges over a sliding window of ten seconds.
///
/// It holds for all services of a VM together, so that a failure of one can't
/// take the others down. With every target failing, attempts stay below
/// `1 + percent / 100` times the requests. See `docs/design/retries.md`.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    counts: [Count; SECONDS],
}

impl RetryBudget {
    /// Creates an empty budget.
    pub fn new() -> Self {
        Self::default()
    }

    fn count(&mut self, now: Time) -> &mut Count {
        let second = now.as_micros() / SECOND;
        let count = &mut self.counts[second as usize % SECONDS];
        if count.second != second {
            *count = Count {
                second,
                ..Count::default()
            };
        }
        count
    }

    /// Counts a request, by its first attempt.
    pub fn record_request(&mut self, now: Time) {
        self.count(now).requests += 1;
    }

    /// Takes one retry or hedge, if repeats stay below `percent` of recent
    /// requests.
    pub fn try_acquire(&mut self, now: Time, percent: u8) -> bool {
        let oldest = (now.as_micros() / SECOND).saturating_sub(SECONDS as u64 - 1);
        let recent = self.counts.iter().filter(|c| c.second >= oldest);
        let (requests, repeats) = recent.fold((0, 0), |(requests, repeats), count| {
            (requests + count.requests, repeats + count.repeats)
        });
        let allowed = (repeats + 1) * WHOLE < requests * u64::from(percent);
        if allowed {
            self.count(now).repeats += 1;
        }
        allowed
    }
}
