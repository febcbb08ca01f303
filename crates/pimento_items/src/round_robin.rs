//! Dividing a route's requests between services.

use crate::WeightedService;

/// Divides requests between services in the proportion of their weights.
///
/// Each request goes to the part that is furthest behind its share, so that the
/// proportions hold within one request at every moment, where drawing by lot
/// would take hundreds of requests to come near.
#[derive(Clone, Debug, Default)]
pub struct WeightedRoundRobin {
    parts: Vec<WeightedService>,
    owed: Vec<f64>,
}

impl WeightedRoundRobin {
    /// Picks a part by number; other parts than the last time begin anew, from
    /// an offset in `0.0..1.0` so that VMs don't all begin with the same part.
    pub fn pick(&mut self, parts: &[WeightedService], offset: f64) -> Option<usize> {
        if self.parts != parts {
            self.parts = parts.to_vec();
            self.owed = vec![0.0; parts.len()];
            self.skip(offset);
        }
        self.next()
    }

    /// Begins as if a part of a round had passed.
    fn skip(&mut self, offset: f64) {
        /// The requests after which proportions of whole percents repeat.
        const ROUND: f64 = 100.0;
        for _ in 0..(offset * ROUND) as usize {
            self.next();
        }
    }

    fn next(&mut self) -> Option<usize> {
        let total: u64 = self.parts.iter().map(|part| part.weight).sum();
        if total == 0 {
            return None;
        }
        let mut best = None;
        for (i, part) in self.parts.iter().enumerate() {
            self.owed[i] += part.weight as f64 / total as f64;
            let ahead = best.is_none_or(|b: usize| self.owed[i] > self.owed[b]);
            if part.weight > 0 && ahead {
                best = Some(i);
            }
        }
        let best = best?;
        self.owed[best] -= 1.0;
        Some(best)
    }
}
