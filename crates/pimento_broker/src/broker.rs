//! Grants the places on targets.

use crate::{
    Decision, ExpectedWait, PermitRequest, RequestId, RequestReport,
    pool::{Intake, Permit, Pool},
    target::TargetView,
};
use pimento_core::Time;
use std::{sync::Arc, time::Duration};

/// How long a place is kept beyond its request's deadline for a report that may
/// be late.
const OVERTIME: Duration = Duration::from_millis(500);

/// A place that a request has, in one of the pools.
#[derive(Clone, Debug)]
struct Granted {
    place: Permit,
    /// The index of the pool.
    pool: usize,
}

/// A shard of a service's targets in a failure domain.
#[derive(Clone, Debug)]
struct Name {
    service: Arc<str>,
    domain: Arc<str>,
    shard: u32,
    /// The index of its pool.
    pool: usize,
}

/// Grants the places on targets.
///
/// The load that it answers: a peak at which more is asked for than all places
/// give. A request waits only if it can start in time by what runs and waits
/// now; others are refused at once, with the time after which it may be
/// different.
#[derive(Clone, Debug, Default)]
pub struct Broker {
    /// Never removed, so that an index stays true.
    pools: Vec<Pool>,
    /// Sorted by service, failure domain and shard.
    names: Vec<Name>,
    /// Sorted by ask.
    granted: Vec<Granted>,
}

impl Broker {
    /// Takes what is known of all targets; others are dropped.
    pub fn set_targets(&mut self, now: Time, mut views: Vec<TargetView>) -> Vec<Decision> {
        views.sort_by(|a, b| a.id.cmp(&b.id));
        for pool in &mut self.pools {
            pool.retain(|held| views.binary_search_by(|v| v.id.cmp(&held.id)).is_ok());
        }
        for view in views {
            self.put(view);
        }
        let all = 0..self.pools.len();
        all.flat_map(|at| self.serve_queue(now, at)).collect()
    }

    /// Takes what is known of one target.
    pub fn set_target(&mut self, now: Time, view: TargetView) -> Vec<Decision> {
        let at = self.put(view);
        self.serve_queue(now, at)
    }

    /// Drops a target.
    pub fn drop_target(&mut self, id: &str) {
        for pool in &mut self.pools {
            pool.remove(id);
        }
    }

    /// Takes a request.
    pub fn submit(&mut self, now: Time, request: PermitRequest) -> Vec<Decision> {
        if let Ok(found) = self.find(&request.id) {
            // The answer was lost and the request is asked for again.
            let target = Arc::clone(&self.granted[found].place.target);
            return vec![Decision::Grant {
                id: request.id,
                target,
            }];
        }
        let Ok(found) = self.name(&request.service, &request.domain, request.shard) else {
            let wait = ExpectedWait::Unknown;
            return vec![Decision::Refuse {
                id: request.id,
                wait,
            }];
        };
        let at = self.names[found].pool;
        if self.pools[at].holds(&request.id) {
            return Vec::new();
        }
        match self.pools[at].submit(now, request) {
            Intake::Granted(place) => vec![self.note(at, place)],
            Intake::Refused(refusal) => vec![refusal],
            Intake::Waits => Vec::new(),
        }
    }

    /// Takes back a place, or a request that waits.
    pub fn release(&mut self, now: Time, id: &RequestId, report: &RequestReport) -> Vec<Decision> {
        if let Ok(found) = self.find(id) {
            let Granted { place, pool } = self.granted.remove(found);
            self.pools[pool].release(now, &place, report);
            return self.serve_queue(now, pool);
        }
        let withdrawn = self.pools.iter_mut().position(|pool| pool.withdraw(id));
        withdrawn.map_or_else(Vec::new, |at| self.serve_queue(now, at))
    }

    /// Lets time pass: gives up what is overdue and serves who waits.
    pub fn tick(&mut self, now: Time) -> Vec<Decision> {
        let late = self.granted.extract_if(.., |g| g.overdue(now));
        let late: Vec<Granted> = late.collect();
        for Granted { place, pool } in &late {
            self.pools[*pool].release(now, place, &RequestReport::CANCELLED);
        }
        let mut effects = Vec::new();
        for at in 0..self.pools.len() {
            effects.extend(self.serve_queue(now, at));
            effects.extend(self.pools[at].expire(now));
        }
        effects
    }

    /// Whether anything waits or is overdue, so that time must pass for it.
    pub fn needs_tick(&self, now: Time) -> bool {
        self.queue_len() > 0 || self.granted.iter().any(|g| g.overdue(now))
    }

    /// The places taken on a target.
    pub fn permits_in_use(&self, target: &str) -> u32 {
        let mut here = self.pools.iter().filter_map(|pool| pool.running(target));
        here.next().unwrap_or(0)
    }

    /// The number of requests that wait.
    pub fn queue_len(&self) -> usize {
        self.pools.iter().map(Pool::waiting).sum()
    }

    fn find(&self, id: &RequestId) -> Result<usize, usize> {
        self.granted.binary_search_by(|g| g.place.id.cmp(id))
    }

    fn name(&self, service: &str, domain: &str, shard: u32) -> Result<usize, usize> {
        let wanted = (service, domain, shard);
        let found = |n: &Name| (&*n.service, &*n.domain, n.shard).cmp(&wanted);
        self.names.binary_search_by(found)
    }

    /// Puts a target into its pool; the index of the pool.
    fn put(&mut self, view: TargetView) -> usize {
        let at = self.pool(&view);
        for (other, pool) in self.pools.iter_mut().enumerate() {
            if other != at {
                // A later lifetime of the name may have another service.
                pool.remove(&view.id);
            }
        }
        self.pools[at].set(view);
        at
    }

    /// The index of a pool, which is made if there is none.
    fn pool(&mut self, view: &TargetView) -> usize {
        let found = self.name(&view.service, &view.domain, view.shard);
        let at = found.unwrap_or_else(|at| {
            let name = Name {
                service: Arc::clone(&view.service),
                domain: Arc::clone(&view.domain),
                shard: view.shard,
                pool: self.pools.len(),
            };
            self.pools.push(Pool::default());
            self.names.insert(at, name);
            at
        });
        self.names[at].pool
    }

    /// Notes a place that a pool has granted.
    fn note(&mut self, pool: usize, place: Permit) -> Decision {
        let effect = Decision::Grant {
            id: place.id,
            target: Arc::clone(&place.target),
        };
        let at = self.granted.partition_point(|g| g.place.id < place.id);
        self.granted.insert(at, Granted { place, pool });
        effect
    }

    fn serve_queue(&mut self, now: Time, at: usize) -> Vec<Decision> {
        let served = self.pools[at].serve_queue(now);
        let noted = served.into_iter().map(|place| self.note(at, place));
        noted.collect()
    }
}

impl Granted {
    /// Whether its request must have ended long ago.
    fn overdue(&self, now: Time) -> bool {
        self.place.deadline + OVERTIME <= now
    }
}
