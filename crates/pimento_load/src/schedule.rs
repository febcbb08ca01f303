//! The random schedule of requests.

use crate::{Args, ClassShare};
use pimento_core::Class;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// A request that starts at a scheduled time, even if earlier ones are still
/// running (open loop).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Scheduled start, from the start of the run.
    pub offset: Duration,
    /// Index of the service: those of `--service` first, then those of
    /// `--once`.
    pub service: usize,
    /// Class to request, or `None` to leave it to the service.
    pub class: Option<Class>,
    /// Index of the caller's block.
    pub block: usize,
    /// Number of the resource in the path.
    pub resource: u32,
    /// Number that the response must echo, in hexadecimal.
    pub nonce: u64,
}

/// A seeded Poisson process of arrivals that ends after the run time.
#[derive(Debug)]
pub struct Schedule {
    rng: SmallRng,
    offset: Duration,
    end: Duration,
    /// Mean time between arrivals, in seconds.
    mean_gap: f64,
    services: usize,
    classes: Vec<ClassShare>,
    blocks: usize,
    resources: u32,
}

impl Schedule {
    /// Creates the schedule for a rate, run time, seed and mix of requests.
    pub fn new(args: &Args) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(args.seed),
            offset: Duration::ZERO,
            end: Duration::from_secs_f64(args.seconds),
            mean_gap: 1.0 / args.rate,
            services: args.service.len() + args.once.len(),
            classes: args.class.clone(),
            blocks: args.block.len().max(1),
            resources: args.resources.max(1),
        }
    }

    fn draw_class(&mut self) -> Option<Class> {
        let total: u32 = self.classes.iter().map(|c| c.weight).sum();
        if total == 0 {
            return None;
        }
        let mut remaining = self.rng.random_range(0..total);
        let drawn = self.classes.iter().find(|share| {
            let found = remaining < share.weight;
            remaining = remaining.saturating_sub(share.weight);
            found
        });
        drawn.map(|share| share.class)
    }
}

impl Iterator for Schedule {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.rng.random();
        self.offset += Duration::from_secs_f64(-(1.0 - uniform).ln() * self.mean_gap);
        if self.offset >= self.end || self.services == 0 {
            return None;
        }
        let class = self.draw_class();
        Some(Arrival {
            offset: self.offset,
            service: self.rng.random_range(0..self.services),
            class,
            block: self.rng.random_range(0..self.blocks),
            resource: self.rng.random_range(0..self.resources),
            nonce: self.rng.random(),
        })
    }
}
