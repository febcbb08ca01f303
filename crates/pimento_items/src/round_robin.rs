//! Distribution of a route's requests over its services.

use crate::WeightedService;

/// Smooth weighted round-robin over the services of a route.
///
/// Each request goes to the service that is furthest behind its share, so at
/// any time the shares are exact to within one request. Random choice would
/// need hundreds of requests to come close.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    services: Vec<WeightedService>,
    /// How many requests each service is behind its share.
    credits: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Picks the index of a service. If the services differ from the last call,
    /// the rotation restarts at an offset in `0.0..1.0`, which callers randomize
    /// so that VMs don't all start with the same service.
    pub fn pick(&mut self, services: &[WeightedService], offset: f64) -> Option<usize> {
        if self.services != services {
            self.services = services.to_vec();
            self.credits = vec![0.0; services.len()];
            self.skip(offset);
        }
        self.next()
    }

    /// Advances the rotation by a fraction of its cycle.
    fn skip(&mut self, offset: f64) {
        /// The number of requests after which the rotation repeats if all
        /// shares are whole percentages.
        const CYCLE_REQUESTS: f64 = 100.0;
        for _ in 0..(offset * CYCLE_REQUESTS) as usize {
            self.next();
        }
    }

    fn next(&mut self) -> Option<usize> {
        let total: u64 = self.services.iter().map(|service| service.weight).sum();
        if total == 0 {
            return None;
        }
        let mut best = None;
        for (i, service) in self.services.iter().enumerate() {
            self.credits[i] += service.weight as f64 / total as f64;
            let is_better = best.is_none_or(|b: usize| self.credits[i] > self.credits[b]);
            if service.weight > 0 && is_better {
                best = Some(i);
            }
        }
        let best = best?;
        self.credits[best] -= 1.0;
        Some(best)
    }
}
