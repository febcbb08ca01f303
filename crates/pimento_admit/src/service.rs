//! One service's targets and its queue.

use crate::{
    AdmissionConfig, Completion, Effect, Headroom, RefusalReason, Request,
    estimate::Estimate,
    queue::{Queue, QueuedRequest},
    target::Target,
};
use pimento_core::prelude::*;
use rand::{Rng, rngs::SmallRng};

/// A service with targets whose leases this VM holds.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) id: ServiceId,
    /// Sorted by name.
    pub(crate) targets: Vec<Target>,
    pub(crate) queue: Queue,
    /// The latency of requests at all targets.
    latency: Estimate,
    /// Slots in use by background requests.
    pub(crate) background_used: u32,
    /// Slots in use by requests that other regions forwarded.
    pub(crate) remote_used: u32,
}

/// The total capacity of the service's targets.
#[derive(Clone, Copy, Debug)]
struct Capacity {
    offered: u32,
    used: u32,
    free: u32,
    /// Whether the load reports of the targets are used.
    trust_reports: bool,
}

impl Service {
    pub(crate) fn new(id: ServiceId) -> Self {
        Self {
            id,
            targets: Vec::new(),
            queue: Queue::default(),
            latency: Estimate::default(),
            background_used: 0,
            remote_used: 0,
        }
    }

    pub(crate) fn find_target(&self, target: &str) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|t| t.view.target.as_str().cmp(target))
    }

    pub(crate) fn target_mut(&mut self, target: &str) -> Option<&mut Target> {
        let i = self.find_target(target).ok()?;
        Some(&mut self.targets[i])
    }

    /// Whether the load reports are used. If more than half of several targets
    /// report load from elsewhere, the reports are assumed to be wrong.
    fn trusts_reports(&self, now: Time, config: &AdmissionConfig) -> bool {
        let has_foreign = |t: &&Target| t.foreign_slots(now, config) > 0;
        let count = self.targets.iter().filter(has_foreign).count();
        self.targets.len() < 2 || count * 2 <= self.targets.len()
    }

    fn capacity(&self, now: Time, config: &AdmissionConfig) -> Capacity {
        let trust_reports = self.trusts_reports(now, config);
        let mut capacity = Capacity {
            offered: 0,
            used: 0,
            free: 0,
            trust_reports,
        };
        for target in &self.targets {
            let offered = target.offered_slots(now, trust_reports, config);
            capacity.offered += offered;
            capacity.used += target.used;
            capacity.free += offered.saturating_sub(target.used);
        }
        capacity
    }

    pub(crate) fn headroom(&self, now: Time, config: &AdmissionConfig) -> Headroom {
        let capacity = self.capacity(now, config);
        Headroom {
            slots: capacity.offered,
            free: capacity.free,
            queued: self.queue.len() as u32,
            latency_us: self.expected_latency(now, config).as_micros() as u64,
        }
    }

    /// The expected latency of a request at a target.
    fn expected_latency(&self, now: Time, config: &AdmissionConfig) -> Duration {
        self.latency.mean(now, config.half_life)
    }

    /// A latency that few requests exceed at a target.
    fn high_latency(&self, now: Time, config: &AdmissionConfig) -> Duration {
        self.latency.upper_bound(now, config.half_life)
    }

    /// Whether a request of this class may take one of the free slots.
    fn is_open_to(&self, class: Class, capacity: Capacity, config: &AdmissionConfig) -> bool {
        if capacity.free == 0 {
            return false;
        }
        if class != Class::Background || capacity.used == 0 {
            return true;
        }
        let reserved = (capacity.offered * config.spare_percent).div_ceil(100);
        capacity.free > reserved && self.background_used + reserved < capacity.offered
    }

    /// Whether another forwarded request would use a slot that is reserved for
    /// this region.
    fn exceeds_reserve(&self, reserve: u8, capacity: Capacity) -> bool {
        let open = 100_u32.saturating_sub(u32::from(reserve));
        self.remote_used >= capacity.offered * open / 100
    }

    /// Whether there is a target that can still serve the request.
    fn has_usable_target(&self, now: Time, request: &Request) -> bool {
        let fits = |t: &Target| t.is_usable(now) && !request.tried.contains(&t.view.target);
        self.targets.iter().any(fits)
    }

    /// When the first pause ends, if no target is usable because of pauses.
    pub(crate) fn first_pause_end(&self, now: Time) -> Option<Time> {
        if self.targets.iter().any(|t| t.is_usable(now)) {
            return None;
        }
        self.targets.iter().filter_map(|t| t.pause_end(now)).min()
    }

    /// Why a request without a usable target is refused.
    fn no_target_reason(&self, now: Time) -> RefusalReason {
        match self.first_pause_end(now) {
            Some(until) => RefusalReason::Paused { until },
            None => RefusalReason::NoTarget,
        }
    }

    /// The free target with the lowest utilization; if several are equal, the
    /// one with the lowest latency.
    fn pick_target(
        &self,
        now: Time,
        request: &Request,
        trust_reports: bool,
        config: &AdmissionConfig,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let mut best: Option<(u64, u64, usize)> = None;
        let shift: usize = rng.random_range(0..self.targets.len().max(1));
        for step in 0..self.targets.len() {
            let i = (step + shift) % self.targets.len();
            let target = &self.targets[i];
            let offered = target.offered_slots(now, trust_reports, config);
            if target.used >= offered || request.tried.contains(&target.view.target) {
                continue;
            }
            let share = u64::from(target.used) * 1_000 / u64::from(offered);
            let latency = target.health.latency.settled_mean(1).unwrap_or(0.0) as u64;
            let key = (share, latency, i);
            let is_better = best.is_none_or(|(s, l, _)| (share, latency) < (s, l));
            if is_better {
                best = Some(key);
            }
        }
        best.map(|(_, _, i)| i)
    }

    /// Decides what happens to a new request: it starts at a target, is queued,
    /// or is refused. If it evicts a queued request, that one is refused.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        request: Request,
        config: &AdmissionConfig,
        rng: &mut SmallRng,
    ) -> Decision {
        if !self.has_usable_target(now, &request) {
            return Decision::Refuse(self.no_target_reason(now));
        }
        let high_latency = self.high_latency(now, config);
        if now + high_latency >= request.deadline {
            return Decision::Refuse(RefusalReason::Deadline);
        }
        let capacity = self.capacity(now, config);
        let exceeds = |reserve| self.exceeds_reserve(reserve, capacity);
        if capacity.offered > 0 && request.reserve.is_some_and(exceeds) {
            return Decision::Refuse(RefusalReason::Reserve);
        }
        let ahead = self.queue.count_ahead(request.class);
        if ahead == 0 && self.is_open_to(request.class, capacity, config) {
            let target = self.pick_target(now, &request, capacity.trust_reports, config, rng);
            if let Some(i) = target {
                self.queue.record_direct_start(&request);
                return Decision::Start(i, request);
            }
        }
        if capacity.offered == 0 {
            return Decision::Refuse(RefusalReason::NoTarget);
        }
        // A request from another region can still be sent elsewhere, so it is
        // not queued here.
        if request.reserve.is_some() {
            return Decision::Refuse(RefusalReason::Reserve);
        }
        let rounds = (ahead as f64 + 1.0) / f64::from(capacity.offered);
        let wait = self.expected_latency(now, config).mul_f64(rounds);
        if now + wait + high_latency > request.deadline {
            return Decision::Refuse(RefusalReason::Deadline);
        }
        if wait > Duration::from_millis(u64::from(request.queue.wait)) {
            return Decision::Refuse(RefusalReason::QueueWait);
        }
        let mut evicted = None;
        if self.queue.len() >= request.queue.len as usize {
            evicted = self.queue.evict(request.class, &request.tenant);
            if evicted.is_none() {
                return Decision::Refuse(RefusalReason::QueueFull);
            }
        }
        self.queue.push(QueuedRequest {
            request,
            queued_at: now,
        });
        Decision::Enqueue(evicted.map(|item| item.request.id))
    }

    /// Refuses queued requests that can't be served any more.
    pub(crate) fn refuse_expired(&mut self, now: Time, config: &AdmissionConfig) -> Vec<Effect> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        let high_latency = self.high_latency(now, config);
        let past_deadline = |item: &QueuedRequest| now + high_latency >= item.request.deadline;
        let mut effects = refusals(self.queue.remove_if(past_deadline), RefusalReason::Deadline);
        let waited_out = self.queue.remove_if(|item| item.expiry() <= now);
        effects.extend(refusals(waited_out, RefusalReason::QueueWait));
        let mut queue = std::mem::take(&mut self.queue);
        let without_target = queue.remove_if(|item| !self.has_usable_target(now, &item.request));
        self.queue = queue;
        effects.extend(refusals(without_target, self.no_target_reason(now)));
        effects
    }

    /// Removes the next queued request that a free target can serve, and
    /// returns the index of that target.
    pub(crate) fn pop_startable(
        &mut self,
        now: Time,
        config: &AdmissionConfig,
        rng: &mut SmallRng,
    ) -> Option<(Request, usize)> {
        if self.queue.len() == 0 {
            return None;
        }
        let capacity = self.capacity(now, config);
        if capacity.free == 0 {
            return None;
        }
        let mut queue = std::mem::take(&mut self.queue);
        let found = queue.pop_first(|request| {
            if !self.is_open_to(request.class, capacity, config) {
                return None;
            }
            self.pick_target(now, request, capacity.trust_reports, config, rng)
        });
        self.queue = queue;
        found.map(|(item, i)| (item.request, i))
    }

    /// Updates a target's limit, health and latency after a request ended
    /// there.
    pub(crate) fn record_completion(
        &mut self,
        now: Time,
        i: usize,
        completion: Completion,
        config: &AdmissionConfig,
    ) {
        let target = &mut self.targets[i];
        let used = target.used;
        match completion {
            Completion::Ok { latency } => {
                target.limit.increase(target.view.slots, config);
                target.health.record_response(now, latency);
                self.latency.record(now, latency);
            }
            Completion::Shed => target.limit.decrease(now, used, config),
            Completion::Unreachable => {
                target.health.record_failure();
                target.limit.pause(now, config);
            }
            Completion::Failed | Completion::TimedOut => target.health.record_failure(),
            Completion::Cancelled | Completion::Paused => return,
        }
        self.eject_if_unhealthy(now, i, config);
    }

    /// Ejects an unhealthy target, unless more than half of the targets would
    /// then be ejected or draining. In that case the measurement is more likely
    /// to be wrong than the targets.
    fn eject_if_unhealthy(&mut self, now: Time, i: usize, config: &AdmissionConfig) {
        let median = self.median_latency_without(i, config);
        if !self.targets[i].health.is_unhealthy(median, config) {
            return;
        }
        let unusable = self.targets.iter().filter(|t| !t.is_usable(now)).count();
        if (unusable + 1) * 2 <= self.targets.len() {
            let target = &mut self.targets[i];
            target.health.eject(now, config);
            target.limit.reset();
        }
    }

    /// The median latency of the other targets, in microseconds.
    fn median_latency_without(&self, i: usize, config: &AdmissionConfig) -> Option<f64> {
        let others = self.targets.iter().enumerate().filter(|(j, _)| *j != i);
        let mut known: Vec<f64> = others
            .filter_map(|(_, t)| t.health.latency.settled_mean(config.eject_samples))
            .collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len() / 2).copied()
    }

    /// The next time at which something changes without an event.
    pub(crate) fn next_wake(&self, now: Time, config: &AdmissionConfig) -> Option<Time> {
        let expiry = self.queue.next_expiry()?;
        let targets = self.targets.iter().filter_map(|t| t.next_wake(now, config));
        targets.chain([expiry]).min()
    }
}

/// What happens to a new request.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    /// The request starts at the target with this index.
    Start(usize, Request),
    /// The request is queued; the contained request was evicted for it.
    Enqueue(Option<u64>),
    Refuse(RefusalReason),
}

fn refusals(items: Vec<QueuedRequest>, reason: RefusalReason) -> Vec<Effect> {
    let refuse = |item: QueuedRequest| Effect::Refuse {
        id: item.request.id,
        reason,
    };
    items.into_iter().map(refuse).collect()
}
