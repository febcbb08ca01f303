//! When refused callers may try again.

use rand::Rng;
use std::{ops::Range, time::Duration};

/// The shortest delay.
pub const MIN_DELAY: Duration = Duration::from_millis(50);

/// The delay if no target is usable and it is unknown when one will be.
pub const UNUSABLE_DELAY: Duration = Duration::from_millis(500);

/// The range of the random factor applied to delays, so that callers don't
/// return all at once.
const JITTER: Range<f64> = 0.7..1.5;

/// The longest that a caller returns later than a pause ends.
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// Applies jitter to a delay, so that callers don't return all at once.
pub fn with_jitter(delay: Duration, rng: &mut impl Rng) -> Duration {
    delay.mul_f64(rng.random_range(JITTER)).max(MIN_DELAY)
}

/// A delay until after the end of a pause, spread so that callers don't return
/// all at once.
pub fn after_pause(left: Duration, rng: &mut impl Rng) -> Duration {
    let spread = (left / 4).clamp(MIN_DELAY, MAX_SPREAD);
    left + spread.mul_f64(rng.random())
}
