//! The bounded queue before a service's targets.

use crate::Request;
use pimento_core::prelude::*;
use std::collections::VecDeque;

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    /// The request.
    pub(crate) request: Request,
    /// When it came.
    pub(crate) since: Time,
}

impl Waiting {
    /// The end of its wait by the rule and by its deadline.
    pub(crate) fn expiry(&self) -> Time {
        let wait = Duration::from_millis(u64::from(self.request.queue.wait));
        (self.since + wait).min(self.request.deadline)
    }
}

/// The waiting requests of one tenant in one class.
#[derive(Clone, Debug)]
struct Lane {
    class: Class,
    tenant: TenantId,
    /// The requests that the tenant was served, counted as if it had been
    /// busy for as long as the others.
    served: u64,
    waiting: VecDeque<Waiting>,
}

/// Waiting requests by class and tenant.
///
/// Classes are served in their order, and tenants of a class in turn: the lane
/// with the lowest count of served requests is first (start-time fair queueing
/// with equal costs).
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    /// Lanes by class and tenant.
    lanes: Vec<Lane>,
    /// The count at which each class was last served.
    rounds: [u64; Class::ALL.len()],
    /// All waiting requests.
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// The requests that are served before a new one of the class and tenant.
    pub(crate) fn ahead(&self, class: Class) -> usize {
        let lanes = self.lanes.iter().filter(|lane| lane.class <= class);
        lanes.map(|lane| lane.waiting.len()).sum()
    }

    /// The lane of a tenant in a class, made if it is missing.
    fn lane(&mut self, class: Class, tenant: &TenantId) -> &mut Lane {
        let key = (class, tenant);
        let found = self
            .lanes
            .binary_search_by(|lane| (lane.class, &lane.tenant).cmp(&key));
        let i = match found {
            Ok(i) => i,
            Err(i) => {
                let lane = Lane {
                    class,
                    tenant: tenant.clone(),
                    served: 0,
                    waiting: VecDeque::new(),
                };
                self.lanes.insert(i, lane);
                i
            }
        };
        &mut self.lanes[i]
    }

    /// Adds a request at the end of its lane.
    pub(crate) fn push(&mut self, item: Waiting) {
        let round = self.rounds[item.request.class as usize];
        let lane = self.lane(item.request.class, &item.request.tenant);
        if lane.waiting.is_empty() {
            lane.served = lane.served.max(round);
        }
        lane.waiting.push_back(item);
        self.len += 1;
    }

    /// Counts a request that was served without waiting.
    pub(crate) fn pass(&mut self, request: &Request) {
        let class = request.class as usize;
        let round = self.rounds[class];
        let lane = self.lane(request.class, &request.tenant);
        let start = lane.served.max(round);
        lane.served = start + 1;
        self.rounds[class] = start;
    }

    /// Removes the request that a new one of the class and tenant pushes out:
    /// the newest of the lowest class, or else of the tenant that has more
    /// waiting than the new one's would.
    pub(crate) fn evict(&mut self, class: Class, tenant: &TenantId) -> Option<Waiting> {
        let own = self.lane(class, tenant).waiting.len();
        let busiest = self
            .lanes
            .iter_mut()
            .filter(|lane| !lane.waiting.is_empty())
            .max_by_key(|lane| (lane.class, lane.waiting.len()))?;
        let lower = busiest.class > class;
        let greedier = busiest.class == class && busiest.waiting.len() > own + 1;
        if !lower && !greedier {
            return None;
        }
        self.len -= 1;
        busiest.waiting.pop_back()
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, id: u64) -> Option<Waiting> {
        for lane in &mut self.lanes {
            let found = lane.waiting.iter().position(|item| item.request.id == id);
            if let Some(i) = found {
                self.len -= 1;
                return lane.waiting.remove(i);
            }
        }
        None
    }

    /// Removes all requests that the test gives up on.
    pub(crate) fn drain(&mut self, mut over: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let mut gone = Vec::new();
        if self.len == 0 {
            return gone;
        }
        for lane in &mut self.lanes {
            if !lane.waiting.iter().any(&mut over) {
                continue;
            }
            let (out, kept): (Vec<_>, Vec<_>) = lane.waiting.drain(..).partition(&mut over);
            lane.waiting.extend(kept);
            gone.extend(out);
        }
        self.len -= gone.len();
        gone
    }

    /// Removes the first request in the order of service that the test takes.
    pub(crate) fn next<T>(
        &mut self,
        mut test: impl FnMut(&Request) -> Option<T>,
    ) -> Option<(Waiting, T)> {
        if self.len == 0 {
            return None;
        }
        let mut order: Vec<usize> = (0..self.lanes.len())
            .filter(|i| !self.lanes[*i].waiting.is_empty())
            .collect();
        order.sort_by_key(|i| (self.lanes[*i].class, self.lanes[*i].served));
        for i in order {
            let lane = &mut self.lanes[i];
            let found = lane
                .waiting
                .iter()
                .enumerate()
                .find_map(|(at, item)| test(&item.request).map(|value| (at, value)));
            let Some((at, value)) = found else { continue };
            let item = lane.waiting.remove(at)?;
            self.rounds[lane.class as usize] = lane.served;
            lane.served += 1;
            self.len -= 1;
            return Some((item, value));
        }
        None
    }

    /// The first end of a wait.
    pub(crate) fn wake(&self) -> Option<Time> {
        let lanes = self.lanes.iter().flat_map(|lane| &lane.waiting);
        lanes.map(Waiting::expiry).min()
    }

    /// Forgets tenants that have nothing waiting and no debt.
    pub(crate) fn trim(&mut self) {
        let rounds = self.rounds;
        self.lanes
            .retain(|lane| !lane.waiting.is_empty() || lane.served > rounds[lane.class as usize]);
    }
}
