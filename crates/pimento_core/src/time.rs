//! Monotonic time, which is passed in to the state machines.

use std::{
    ops::{Add, AddAssign, Sub},
    time::{Duration, Instant},
};

/// A point in time of the monotonic clock of one process, in microseconds since
/// an arbitrary origin.
///
/// Times of different processes are never compared, so only the rates of their
/// clocks matter. Tests use virtual time.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// The time `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The time that has passed since `earlier`, or zero if that is in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, rhs: Duration) {
        *self = *self + rhs;
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// The monotonic clock of this process. State machines never read it: the code
/// that runs them does, and passes the time in.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.0.elapsed()
    }
}
