//! When requests start and what they are.

use crate::{Args, ClassShare};
use pimento_core::Class;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// A request that starts at a given time, whether or not earlier ones ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The intended start, since the start of the run.
    pub at: Duration,
    /// The ordinal of the service: repeatable ones first, in the order of the
    /// arguments.
    pub service: usize,
    /// The class that it asks for.
    pub class: Option<Class>,
    /// The ordinal of the caller's block.
    pub block: usize,
    /// The resource that it names.
    pub resource: u32,
    /// The text that its answer must repeat.
    pub nonce: u64,
}

/// A seeded Poisson process of arrivals that ends by itself.
#[derive(Debug)]
pub struct Schedule {
    rng: SmallRng,
    at: Duration,
    end: Duration,
    mean: f64,
    services: usize,
    classes: Vec<ClassShare>,
    blocks: usize,
    resources: u32,
}

impl Schedule {
    /// The schedule that the arguments ask for.
    pub fn new(args: &Args) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(args.seed),
            at: Duration::ZERO,
            end: Duration::from_secs_f64(args.seconds),
            mean: 1.0 / args.rate,
            services: args.service.len() + args.once.len(),
            classes: args.class.clone(),
            blocks: args.block.len().max(1),
            resources: args.resources.max(1),
        }
    }

    fn class(&mut self) -> Option<Class> {
        let total: u32 = self.classes.iter().map(|c| c.weight).sum();
        if total == 0 {
            return None;
        }
        let mut left = self.rng.random_range(0..total);
        let drawn = self.classes.iter().find(|share| {
            let found = left < share.weight;
            left = left.saturating_sub(share.weight);
            found
        });
        drawn.map(|share| share.class)
    }
}

impl Iterator for Schedule {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.rng.random();
        self.at += Duration::from_secs_f64(-(1.0 - uniform).ln() * self.mean);
        if self.at >= self.end || self.services == 0 {
            return None;
        }
        let class = self.class();
        Some(Arrival {
            at: self.at,
            service: self.rng.random_range(0..self.services),
            class,
            block: self.rng.random_range(0..self.blocks),
            resource: self.rng.random_range(0..self.resources),
            nonce: self.rng.random(),
        })
    }
}
