//! A fake target, which counts what really runs.

use pimento_core::prelude::*;
use rand::{Rng, rngs::SmallRng};
use std::f64::consts::TAU;

/// The spread of service times, as the deviation of their logarithm.
const SIGMA: f64 = 0.5;
/// How much slower a target with cold caches is at first.
const COLD: f64 = 3.0;
/// How long caches take to warm up.
const WARM_UP: Duration = Duration::from_secs(3);
/// The factor of a slowed target.
const SLOW: f64 = 10.0;

/// A fake target.
#[derive(Clone, Debug)]
pub struct Target {
    pub kind: usize,
    pub domain: usize,
    /// The entry VM that holds its lease.
    pub holder: usize,
    pub slots: u32,
    /// The attempts that run.
    pub running: Vec<usize>,
    pub up: bool,
    pub slow: bool,
    /// When it last started cold.
    pub cold: Option<Time>,
    /// When it began to drain.
    pub drain: Option<Time>,
    /// When it last took a new request while draining.
    pub last: Option<Time>,
    /// The load that it last reported.
    pub reported: u32,
    /// Whether its last report said that it drains.
    pub told: bool,
}

impl Target {
    pub fn is_cold(&self, now: Time) -> bool {
        self.cold.is_some_and(|cold| now.since(cold) < WARM_UP)
    }

    /// Draws the time that a request takes.
    pub fn draw(&self, now: Time, mean: Duration, rng: &mut SmallRng) -> Duration {
        let (a, b): (f64, f64) = (rng.random(), rng.random());
        let normal = (-2.0 * (1.0 - a).ln()).sqrt() * (TAU * b).cos();
        let factor = (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
        let slow = if self.slow { SLOW } else { 1.0 };
        let cold = self.cold.map_or(1.0, |cold| {
            let warm = now.since(cold).as_secs_f64() / WARM_UP.as_secs_f64();
            1.0 + (COLD - 1.0) * (1.0 - warm.min(1.0))
        });
        mean.mul_f64(factor * slow * cold)
    }
}
