//! The permit broker: one pool per shard and the permits in use.

use crate::{
    Decision, ExpectedWait, PermitRequest, RequestId, RequestReport,
    pool::{Admission, Permit, Pool},
    target::TargetView,
};
use pimento_core::Time;
use pimento_notices::{TargetNotice, TargetNotices};
use std::{sync::Arc, time::Duration};

/// How long after its request's deadline a permit is kept, in case its release
/// arrives late.
const RELEASE_GRACE: Duration = Duration::from_millis(500);

/// A permit in use.
#[derive(Clone, Debug)]
struct GrantedPermit {
    permit: Permit,
    /// The index of the pool that granted it.
    pool: usize,
}

/// Maps a shard to its pool.
#[derive(Clone, Debug)]
struct ShardPool {
    service: Arc<str>,
    domain: Arc<str>,
    shard: u32,
    /// The index of the pool.
    pool: usize,
}

/// Grants permits to run requests on targets.
///
/// When the load exceeds the capacity of all targets, a request is queued only
/// if it can start in time after what is running and queued. All other requests
/// are refused immediately, with an estimate of when a permit may become
/// available.
#[derive(Clone, Debug, Default)]
pub struct Broker {
    /// Pools are never removed, so that indexes stay valid.
    pools: Vec<Pool>,
    /// Sorted by service, failure domain and shard.
    shards: Vec<ShardPool>,
    /// Sorted by request id.
    granted: Vec<GrantedPermit>,
    /// What targets said of themselves; kept apart from the pools, since a
    /// target changes its pool when the number of shards changes.
    notices: TargetNotices,
}

impl Broker {
    /// Replaces all targets; targets that are not listed are removed.
    pub fn set_targets(&mut self, now: Time, mut views: Vec<TargetView>) -> Vec<Decision> {
        views.sort_by(|a, b| a.id.cmp(&b.id));
        for pool in &mut self.pools {
            pool.retain_targets(|known| views.binary_search_by(|v| v.id.cmp(&known.id)).is_ok());
        }
        for view in views {
            self.put_target(now, view);
        }
        let all = 0..self.pools.len();
        all.flat_map(|pool| self.serve_queue(now, pool)).collect()
    }

    /// Adds one target or updates it.
    pub fn set_target(&mut self, now: Time, view: TargetView) -> Vec<Decision> {
        let pool = self.put_target(now, view);
        self.serve_queue(now, pool)
    }

    /// Removes a target; its permits stay known until they are released or
    /// overdue.
    pub fn drop_target(&mut self, id: &str) {
        for pool in &mut self.pools {
            pool.remove_target(id);
        }
    }

    /// Grants, queues or refuses a request; the decision on a queued request
    /// comes from a later call. Submitting a request again is idempotent.
    pub fn submit(&mut self, now: Time, request: PermitRequest) -> Vec<Decision> {
        if let Ok(found) = self.find_granted(&request.id) {
            // The decision was lost, so the request was submitted again.
            let target = Arc::clone(&self.granted[found].permit.target);
            return vec![Decision::Grant {
                id: request.id,
                target,
            }];
        }
        let Ok(found) = self.find_shard(&request.service, &request.domain, request.shard) else {
            let wait = ExpectedWait::Unknown;
            return vec![Decision::Refuse {
                id: request.id,
                wait,
            }];
        };
        let pool = self.shards[found].pool;
        if self.pools[pool].is_queued(&request.id) {
            return Vec::new();
        }
        match self.pools[pool].submit(now, request) {
            Admission::Granted(permit) => vec![self.record_grant(pool, permit)],
            Admission::Refused(refusal) => vec![refusal],
            Admission::Queued => Vec::new(),
        }
    }

    /// Releases a request's permit, or withdraws the request from the queue.
    /// Releasing twice is idempotent.
    pub fn release(&mut self, now: Time, id: &RequestId, report: &RequestReport) -> Vec<Decision> {
        if let Ok(found) = self.find_granted(id) {
            let GrantedPermit { permit, pool } = self.granted.remove(found);
            self.pools[pool].release(now, &permit, report);
            self.record_notice(now, &permit, report.notice);
            return self.serve_queue(now, pool);
        }
        let withdrawn = self.pools.iter_mut().position(|pool| pool.withdraw(id));
        withdrawn.map_or_else(Vec::new, |pool| self.serve_queue(now, pool))
    }

    /// Releases overdue permits, serves the queues and refuses requests that
    /// can no longer start in time.
    pub fn tick(&mut self, now: Time) -> Vec<Decision> {
        let overdue = self.granted.extract_if(.., |g| g.is_overdue(now));
        let overdue: Vec<GrantedPermit> = overdue.collect();
        for GrantedPermit { permit, pool } in &overdue {
            self.pools[*pool].release(now, permit, &RequestReport::CANCELLED);
        }
        let mut decisions = Vec::new();
        for pool in 0..self.pools.len() {
            decisions.extend(self.serve_queue(now, pool));
            decisions.extend(self.pools[pool].refuse_overdue(now));
        }
        decisions
    }

    /// Whether [`Self::tick`] has work: a queued request or an overdue permit.
    pub fn needs_tick(&self, now: Time) -> bool {
        self.queue_len() > 0 || self.granted.iter().any(|g| g.is_overdue(now))
    }

    /// The permits in use on a target; 0 for an unknown target.
    pub fn permits_in_use(&self, target: &str) -> u32 {
        let mut counts = self
            .pools
            .iter()
            .filter_map(|pool| pool.permits_in_use(target));
        counts.next().unwrap_or(0)
    }

    /// The number of queued requests of all shards.
    pub fn queue_len(&self) -> usize {
        self.pools.iter().map(Pool::queue_len).sum()
    }

    fn find_granted(&self, id: &RequestId) -> Result<usize, usize> {
        self.granted.binary_search_by(|g| g.permit.id.cmp(id))
    }

    fn find_shard(&self, service: &str, domain: &str, shard: u32) -> Result<usize, usize> {
        let key = (service, domain, shard);
        let compare = |s: &ShardPool| (&*s.service, &*s.domain, s.shard).cmp(&key);
        self.shards.binary_search_by(compare)
    }

    /// Adds a target to the pool of its shard; returns the pool's index.
    fn put_target(&mut self, now: Time, view: TargetView) -> usize {
        let at = self.pool_index(&view);
        for (other, pool) in self.pools.iter_mut().enumerate() {
            if other != at {
                // A later incarnation of the name may run another service.
                pool.remove_target(&view.id);
            }
        }
        let (id, incarnation) = (Arc::clone(&view.id), view.incarnation_hash);
        self.pools[at].set_target(view);
        self.notices.forget_others(&id, incarnation);
        let notice = self.notices.notice(now, &id, incarnation);
        self.pools[at].apply_notice(now, &id, incarnation, notice);
        at
    }

    /// Records what a target said of itself to the holder of a permit.
    fn record_notice(&mut self, now: Time, permit: &Permit, notice: TargetNotice) {
        if notice == TargetNotice::NONE {
            return;
        }
        let (id, incarnation) = (&permit.target, permit.incarnation_hash);
        self.notices.record(now, id, incarnation, notice);
        let notice = self.notices.notice(now, id, incarnation);
        for pool in &mut self.pools {
            pool.apply_notice(now, id, incarnation, notice);
        }
    }

    /// The index of the pool of a target's shard, which is created if needed.
    fn pool_index(&mut self, view: &TargetView) -> usize {
        let found = self.find_shard(&view.service, &view.domain, view.shard);
        let at = found.unwrap_or_else(|at| {
            let shard = ShardPool {
                service: Arc::clone(&view.service),
                domain: Arc::clone(&view.domain),
                shard: view.shard,
                pool: self.pools.len(),
            };
            self.pools.push(Pool::default());
            self.shards.insert(at, shard);
            at
        });
        self.shards[at].pool
    }

    fn record_grant(&mut self, pool: usize, permit: Permit) -> Decision {
        let decision = Decision::Grant {
            id: permit.id,
            target: Arc::clone(&permit.target),
        };
        let at = self.granted.partition_point(|g| g.permit.id < permit.id);
        self.granted.insert(at, GrantedPermit { permit, pool });
        decision
    }

    fn serve_queue(&mut self, now: Time, pool: usize) -> Vec<Decision> {
        let served = self.pools[pool].serve_queue(now);
        let recorded = served
            .into_iter()
            .map(|permit| self.record_grant(pool, permit));
        recorded.collect()
    }
}

impl GrantedPermit {
    /// Whether the request's deadline passed so long ago that its release must
    /// have been lost.
    fn is_overdue(&self, now: Time) -> bool {
        self.permit.deadline + RELEASE_GRACE <= now
    }
}
