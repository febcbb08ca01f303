//! The targets of one shard and the queue of requests for them.

use crate::{
    Decision, ExpectedWait, PermitRequest, RequestId, RequestOutcome, RequestReport,
    ewma::Ewma,
    queue::{Queue, QueuedRequest},
    target::{PermitAffinity, Target, TargetView},
};
use pimento_core::Time;
use pimento_notices::TargetNotice;
use std::{sync::Arc, time::Duration};

/// How many times longer than a warm run a run on another target must take for
/// affinity to decide whether a request from another failure domain is accepted.
const MISS_RATIO: f64 = 1.3;

/// The share of slots in use below which a pool accepts requests that it
/// refuses under higher load: those that prefer another failure domain, and
/// those that are unlikely to finish in time.
const MAX_OPTIONAL_LOAD: f64 = 0.5;

/// The run time that is assumed before the first request has finished.
const ASSUMED_RUN_TIME: Duration = Duration::from_millis(300);

/// The targets of one shard and the queue of requests for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Sorted by name.
    targets: Vec<Target>,
    queue: Queue,
    /// No target pauses from then on.
    held_until: Time,
    /// Run times of requests whose target was warm for the affinity key.
    warm_time: Ewma,
    /// Run times of the other requests with an affinity key.
    miss_time: Ewma,
    /// Run times of requests without an affinity key, which may be of another
    /// kind altogether.
    keyless_time: Ewma,
    /// Run times of all requests.
    run_time: Ewma,
}

/// A permit that a request holds.
#[derive(Clone, Debug)]
pub(crate) struct Permit {
    pub id: RequestId,
    pub target: Arc<str>,
    /// Identifies the target's incarnation.
    pub incarnation_hash: u64,
    pub affinity: PermitAffinity,
    pub deadline: Time,
}

/// The result of submitting a request.
#[derive(Debug)]
pub(crate) enum Admission {
    Granted(Permit),
    Queued,
    Refused(Decision),
}

impl Pool {
    /// Adds a target or updates what is known about it.
    pub(crate) fn set_target(&mut self, view: TargetView) {
        match self.find_target(&view.id) {
            Ok(at) if self.targets[at].view.incarnation_hash == view.incarnation_hash => {
                self.targets[at].set_view(view);
            }
            Ok(at) => self.targets[at] = Target::new(view),
            Err(at) => self.targets.insert(at, Target::new(view)),
        }
    }

    /// Follows what an incarnation of a target said of itself.
    pub(crate) fn apply_notice(
        &mut self,
        now: Time,
        id: &str,
        incarnation_hash: u64,
        notice: TargetNotice,
    ) {
        let Ok(at) = self.find_target(id) else {
            return;
        };
        if self.targets[at].view.incarnation_hash == incarnation_hash {
            self.targets[at].apply_notice(now, notice);
            let held_for = self.targets[at].held_for(now);
            self.held_until = self.held_until.max(now + held_for);
        }
    }

    pub(crate) fn retain_targets(&mut self, keep: impl Fn(&TargetView) -> bool) {
        self.targets.retain(|t| keep(&t.view));
    }

    /// Removes a target; returns whether the pool contained it.
    pub(crate) fn remove_target(&mut self, id: &str) -> bool {
        let found = self.find_target(id);
        if let Ok(at) = found {
            self.targets.remove(at);
        }
        found.is_ok()
    }

    /// The permits in use on a target, if the pool contains it.
    pub(crate) fn permits_in_use(&self, id: &str) -> Option<u32> {
        self.find_target(id).ok().map(|at| self.targets[at].in_use)
    }

    pub(crate) const fn queue_len(&self) -> usize {
        self.queue.0.len()
    }

    /// Grants, queues or refuses a request.
    pub(crate) fn submit(&mut self, now: Time, request: PermitRequest) -> Admission {
        let run_time = self.expected_run_time(&request);
        if !request.preferred && !self.accepts_spillover(now, &request) {
            let wait = ExpectedWait::Foreign(run_time);
            return Admission::Refused(Decision::Refuse {
                id: request.id,
                wait,
            });
        }
        let queued = QueuedRequest {
            start_by: request.objective - run_time,
            refuse_at: request.deadline,
            request,
        };
        let ahead = self.queue.count_ahead(now, &queued);
        if ahead == 0
            && let Some(at) = self.choose_target(now, &queued)
        {
            return Admission::Granted(self.grant(now, at, &queued.request));
        }
        self.queue_or_refuse(now, queued, ahead)
    }

    pub(crate) fn is_queued(&self, id: &RequestId) -> bool {
        self.queue.0.iter().any(|q| q.request.id == *id)
    }

    /// Removes a request from the queue; returns whether it was queued.
    pub(crate) fn withdraw(&mut self, id: &RequestId) -> bool {
        let before = self.queue.0.len();
        self.queue.0.retain(|q| q.request.id != *id);
        self.queue.0.len() != before
    }

    /// Releases a permit, unless its target was replaced in the meantime.
    pub(crate) fn release(&mut self, now: Time, permit: &Permit, report: &RequestReport) {
        let Ok(at) = self.find_target(&permit.target) else {
            return;
        };
        if self.targets[at].view.incarnation_hash != permit.incarnation_hash {
            return;
        }
        let run_times = match permit.affinity {
            PermitAffinity { key: None, .. } => &mut self.keyless_time,
            PermitAffinity { warm: true, .. } => &mut self.warm_time,
            PermitAffinity { warm: false, .. } => &mut self.miss_time,
        };
        let mean_secs = run_times.mean_secs();
        if report.outcome == RequestOutcome::Answered {
            run_times.record(report.took);
            self.run_time.record(report.took);
        }
        self.targets[at].release(now, &permit.affinity, report, mean_secs);
    }

    /// Grants available permits to queued requests in serving order.
    pub(crate) fn serve_queue(&mut self, now: Time) -> Vec<Permit> {
        if self.queue.0.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<usize> = (0..self.queue.0.len()).collect();
        order.sort_by_key(|i| self.queue.0[*i].serving_order(now));
        let mut served = Vec::new();
        for i in order {
            let queued = &self.queue.0[i];
            if let Some(at) = self.choose_target(now, queued) {
                let request = queued.request.clone();
                served.push(self.grant(now, at, &request));
            }
        }
        let is_served = |q: &QueuedRequest| served.iter().any(|p| p.id == q.request.id);
        self.queue.0.retain(|q| !is_served(q));
        served
    }

    /// Refuses queued requests that can no longer start in time, early enough
    /// for their callers to retry.
    pub(crate) fn refuse_overdue(&mut self, now: Time) -> Vec<Decision> {
        let mut queue = std::mem::take(&mut self.queue.0);
        let mut refused = Vec::new();
        queue.retain(|q| {
            let wait = self.overdue_wait(now, q);
            let id = q.request.id;
            refused.extend(wait.map(|wait| Decision::Refuse { id, wait }));
            wait.is_none()
        });
        self.queue.0 = queue;
        refused
    }

    /// When the caller of a queued request may try again, if the request can no
    /// longer start in time.
    fn overdue_wait(&self, now: Time, queued: &QueuedRequest) -> Option<ExpectedWait> {
        let pause = self.common_pause(now, &queued.request);
        match pause {
            Some(pause) if now + pause > queued.refuse_at => Some(ExpectedWait::Paused(pause)),
            _ if now > queued.refuse_at => Some(ExpectedWait::For(queued.request.max_wait)),
            _ => None,
        }
    }

    /// How long until the first pause ends if all usable targets pause.
    fn common_pause(&self, now: Time, request: &PermitRequest) -> Option<Duration> {
        if now >= self.held_until {
            return None;
        }
        let pauses = self.usable(now, request).map(|t| t.held_for(now));
        pauses.min().filter(|pause| !pause.is_zero())
    }

    /// The targets that may run a request now or later and are not ejected.
    fn usable<'a>(
        &'a self,
        now: Time,
        request: &'a PermitRequest,
    ) -> impl Iterator<Item = &'a Target> {
        let targets = self.candidates(request).map(|(_, target)| target);
        targets.filter(move |t| !t.is_ejected(now))
    }

    /// The mean failure rate of the targets. Targets are compared with it, so
    /// that none counts as an outlier when all of them fail.
    fn mean_failure_rate(&self) -> f64 {
        let sum: f64 = self.targets.iter().map(Target::failure_rate).sum();
        sum / self.targets.len().max(1) as f64
    }

    fn find_target(&self, id: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|t| (*t.view.id).cmp(id))
    }

    /// The targets that may run a request now or later.
    fn candidates<'a>(
        &'a self,
        request: &'a PermitRequest,
    ) -> impl Iterator<Item = (usize, &'a Target)> {
        let targets = self.targets.iter().enumerate();
        targets.filter(move |(_, t)| t.is_accepting() && !request.tried.contains(&t.view.id))
    }

    /// The best available target for a request; `None` if the request should
    /// wait for a warm target or would finish too late.
    ///
    /// Affinity keys recur, and a warm target answers several times faster. If
    /// the warm target soon has a permit, the request waits for it: a run on
    /// another target would use more slot time than the wait and usually miss
    /// the objective anyway.
    fn choose_target(&self, now: Time, queued: &QueuedRequest) -> Option<usize> {
        let request = &queued.request;
        let failure_rate = self.mean_failure_rate();
        let available = self
            .candidates(request)
            .filter(|(_, t)| t.has_permit(now, request.standby));
        let rated = available.map(|(at, t)| (t.fitness(now, request.affinity, failure_rate), at));
        let (fitness, at) = rated.max()?;
        if !self.finishes_in_time(now, request, fitness.warm) && !self.has_spare_load(now, request)
        {
            return None;
        }
        (fitness.warm || !self.should_wait(now, queued)).then_some(at)
    }

    /// Whether a request whose affinity key prefers another failure domain may
    /// run here.
    ///
    /// During a load peak, domains with warm targets refuse requests, which then
    /// spill over to other domains. There each of them runs several times as
    /// long and evicts the keys that the targets are warm for.
    fn accepts_spillover(&self, now: Time, request: &PermitRequest) -> bool {
        let Some(affinity) = request.affinity else {
            return true;
        };
        let (warm, miss) = (
            self.warm_time.mean(ASSUMED_RUN_TIME),
            self.miss_time.mean(ASSUMED_RUN_TIME),
        );
        let is_slower = miss > warm.mul_f64(MISS_RATIO);
        let has_warm = self.candidates(request).any(|(_, t)| t.is_warm(affinity));
        if has_warm || !is_slower {
            return true;
        }
        self.has_spare_load(now, request) && self.queue.0.is_empty()
    }

    /// Whether the share of slots in use is below [`MAX_OPTIONAL_LOAD`].
    fn has_spare_load(&self, now: Time, request: &PermitRequest) -> bool {
        let run_time = self.run_time.mean(ASSUMED_RUN_TIME);
        let (mut in_use, mut slots) = (0, 0.0);
        let candidates = self.candidates(request);
        for (_, target) in candidates.filter(|(_, t)| !t.is_held(now)) {
            in_use += target.in_use;
            slots += target.usable_slots(run_time);
        }
        f64::from(in_use) < slots * MAX_OPTIONAL_LOAD
    }

    /// Whether a request that starts now is likely to finish before its
    /// deadline.
    ///
    /// During a load peak, requests could otherwise wait so long that they reach
    /// their deadline while they run, and occupy slots for nothing.
    fn finishes_in_time(&self, now: Time, request: &PermitRequest, warm: bool) -> bool {
        let mean = self.run_time.mean(ASSUMED_RUN_TIME);
        let run_time = match (request.affinity, warm) {
            (None, _) => self.keyless_time.mean(mean),
            (Some(_), true) => self.warm_time.mean(mean),
            (Some(_), false) => self.miss_time.mean(mean),
        };
        now + run_time <= request.deadline
    }

    /// Whether waiting for a busy warm target is faster than starting now on
    /// another one.
    fn should_wait(&self, now: Time, queued: &QueuedRequest) -> bool {
        let Some(affinity) = queued.request.affinity else {
            return false;
        };
        let failure_rate = self.mean_failure_rate();
        let is_suitable =
            |t: &&Target| t.is_warm(affinity) && t.is_healthy(now, failure_rate) && !t.is_held(now);
        let mut warm = self.usable(now, &queued.request).filter(is_suitable);
        let Some(target) = warm.next() else {
            return false;
        };
        let order = queued.serving_order(now);
        let before = self.queue.0.iter().filter(|q| q.serving_order(now) < order);
        let same_target =
            before.filter(|q| q.request.affinity.is_some_and(|key| target.is_warm(key)));
        let runs = same_target.count() as f64 + 1.0;
        let run_time = self.warm_time.mean(ASSUMED_RUN_TIME);
        let wait = target.wait_for(now, runs, run_time);
        let miss = self.miss_time.mean(ASSUMED_RUN_TIME);
        let is_too_late = now + miss > queued.request.objective;
        wait < miss.saturating_sub(run_time) && (is_too_late || now + wait <= queued.start_by)
    }

    fn grant(&mut self, now: Time, at: usize, request: &PermitRequest) -> Permit {
        let target = &mut self.targets[at];
        let affinity = PermitAffinity {
            key: request.affinity,
            warm: request.affinity.is_some_and(|key| target.is_warm(key)),
        };
        target.acquire(now, request.affinity, request.standby);
        Permit {
            id: request.id,
            target: Arc::clone(&target.view.id),
            incarnation_hash: target.view.incarnation_hash,
            affinity,
            deadline: request.deadline,
        }
    }

    /// The expected run time of a request. With an affinity key a warm run is
    /// assumed, so that requests with unknown keys are not postponed forever.
    fn expected_run_time(&self, request: &PermitRequest) -> Duration {
        let mean = self.run_time.mean(ASSUMED_RUN_TIME);
        match request.affinity {
            Some(_) => self.warm_time.mean(mean),
            None => self.keyless_time.mean(mean),
        }
    }

    /// Queues a request if it can start in time after the requests ahead of it.
    fn queue_or_refuse(&mut self, now: Time, queued: QueuedRequest, ahead: usize) -> Admission {
        let pause = self.common_pause(now, &queued.request);
        let usable = self.usable(now, &queued.request);
        // A target that pauses longer than all others doesn't help this request.
        let pause_left = pause.unwrap_or_default();
        let usable = usable.filter(|t| t.held_for(now) <= pause_left);
        let run_time = self.run_time.mean(ASSUMED_RUN_TIME);
        let slots: f64 = usable.map(|t| t.usable_slots(run_time)).sum();
        let id = queued.request.id;
        if slots <= 0.0 {
            let wait = ExpectedWait::Unknown;
            return Admission::Refused(Decision::Refuse { id, wait });
        }
        let wait = pause_left + run_time.mul_f64((ahead as f64 + 1.0) / slots);
        let refuse_at = if now <= queued.start_by {
            queued.start_by
        } else {
            now + queued.request.max_wait
        };
        if now + wait > refuse_at || now + wait > queued.request.deadline {
            let wait = pause.map_or(ExpectedWait::For(wait), ExpectedWait::Paused);
            return Admission::Refused(Decision::Refuse { id, wait });
        }
        self.queue.0.push(QueuedRequest {
            refuse_at,
            ..queued
        });
        Admission::Queued
    }
}
