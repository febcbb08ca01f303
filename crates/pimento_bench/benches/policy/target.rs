//! A simulated target, which records what really runs.

use pimento_core::prelude::*;
use rand::{Rng, rngs::SmallRng};
use std::f64::consts::TAU;

/// Standard deviation of the logarithm of service times (lognormal).
const LOG_TIME_SIGMA: f64 = 0.5;
/// Initial service time factor of a target with cold caches.
const COLD_FACTOR: f64 = 3.0;
/// Time until cold caches are warm; the factor falls linearly to 1.
const WARM_UP_TIME: Duration = Duration::from_secs(3);
/// Service time factor of a target with the slow-target fault.
const SLOW_FACTOR: f64 = 10.0;

/// A simulated target.
#[derive(Clone, Debug)]
pub struct Target {
    pub profile: usize,
    pub domain: usize,
    /// The entry VM that holds its lease.
    pub holder: usize,
    pub slots: u32,
    /// Attempts that are running.
    pub running: Vec<usize>,
    pub up: bool,
    pub slow: bool,
    /// When it last started with cold caches.
    pub cold_since: Option<Time>,
    /// When it began to drain.
    pub drain_start: Option<Time>,
    /// When it last accepted a new request while draining.
    pub last_accepted: Option<Time>,
    /// Its last reported load.
    pub reported: u32,
    /// Whether its last announcement said that it is draining.
    pub reported_drain: bool,
}

impl Target {
    pub fn is_cold(&self, now: Time) -> bool {
        self.cold_since
            .is_some_and(|cold| now.since(cold) < WARM_UP_TIME)
    }

    /// Draws the service time of a request.
    pub fn draw_service_time(&self, now: Time, mean: Duration, rng: &mut SmallRng) -> Duration {
        let (a, b): (f64, f64) = (rng.random(), rng.random());
        let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (TAU * b).cos();
        let factor = (LOG_TIME_SIGMA * normal - LOG_TIME_SIGMA * LOG_TIME_SIGMA / 2.0).exp();
        let slow = if self.slow { SLOW_FACTOR } else { 1.0 };
        let cold = self.cold_since.map_or(1.0, |cold| {
            let warm_share = now.since(cold).as_secs_f64() / WARM_UP_TIME.as_secs_f64();
            1.0 + (COLD_FACTOR - 1.0) * (1.0 - warm_share.min(1.0))
        });
        mean.mul_f64(factor * slow * cold)
    }
}
