//! The admission state machine.

use crate::{
    AdmissionConfig, Completion, Effect, Headroom, RefusalReason, Request, TargetView,
    service::{Decision, Service},
    target::Target,
};
use pimento_core::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

/// A request that occupies a slot.
#[derive(Clone, Debug)]
struct RunningRequest {
    id: u64,
    service: ServiceId,
    target: TargetId,
    class: Class,
    /// Whether another region forwarded the request.
    remote: bool,
    deadline: Time,
    /// When the slot becomes free, if the request has ended here but the target
    /// may still be running it.
    free_at: Option<Time>,
}

/// Admission control for all targets whose leases this VM holds, by service.
///
/// Slots are counted nowhere else. A request occupies its slot from
/// [`Effect::Start`] until [`Admission::finish`], and longer if the target may
/// still be running it.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    rng: SmallRng,
    /// Sorted by name.
    services: Vec<Service>,
    /// Requests that occupy a slot, sorted by number.
    running: Vec<RunningRequest>,
}

impl Admission {
    /// Creates an instance without targets. The seed decides between targets
    /// that rank equal.
    pub fn new(config: AdmissionConfig, seed: u64) -> Self {
        Self {
            config,
            rng: SmallRng::seed_from_u64(seed),
            services: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Adds a target whose lease is now held, or updates its state.
    ///
    /// A draining target gets no new requests from this call on.
    pub fn set_target(&mut self, now: Time, view: TargetView) -> Vec<Effect> {
        let s = self.service_index(&view.service);
        let service = &mut self.services[s];
        match service.find_target(&view.target) {
            Ok(i) => service.targets[i].update(now, view, &self.config),
            Err(i) => {
                let mut target = Target::new(now, view, &self.config);
                // Requests from an earlier time at which this VM held the lease
                // still occupy their slots.
                let same_target = |r: &&RunningRequest| r.target == target.view.target;
                let used = self.running.iter().filter(same_target).count();
                target.used = used as u32;
                service.targets.insert(i, target);
            }
        }
        self.dispatch(now, s)
    }

    /// Removes a target whose lease is no longer held.
    pub fn remove_target(&mut self, now: Time, target: &TargetId) -> Vec<Effect> {
        let mut effects = Vec::new();
        for s in 0..self.services.len() {
            if let Ok(i) = self.services[s].find_target(target) {
                self.services[s].targets.remove(i);
                effects.extend(self.dispatch(now, s));
            }
        }
        effects
    }

    /// Requests a slot. The request is started, queued or refused.
    pub fn submit(&mut self, now: Time, request: Request) -> Vec<Effect> {
        let id = request.id;
        let Ok(s) = self.find_service(&request.service) else {
            let reason = RefusalReason::NoTarget;
            return vec![Effect::Refuse { id, reason }];
        };
        let service = &mut self.services[s];
        match service.submit(now, request, &self.config, &mut self.rng) {
            Decision::Start(i, request) => vec![self.start_request(s, i, &request)],
            Decision::Refuse(reason) => vec![Effect::Refuse { id, reason }],
            Decision::Enqueue(evicted) => {
                let reason = RefusalReason::QueueFull;
                let refuse = |id| Effect::Refuse { id, reason };
                evicted.map(refuse).into_iter().collect()
            }
        }
    }

    /// Cancels a request: a queued one is removed, and a running one ends as
    /// [`Completion::Cancelled`].
    pub fn cancel(&mut self, now: Time, id: u64) -> Vec<Effect> {
        for service in &mut self.services {
            if service.queue.remove(id).is_some() {
                return Vec::new();
            }
        }
        self.finish(now, id, Completion::Cancelled)
    }

    /// Ends a started request. An unknown number is ignored, so a completion
    /// may be reported twice.
    pub fn finish(&mut self, now: Time, id: u64, completion: Completion) -> Vec<Effect> {
        let Ok(r) = self.running.binary_search_by_key(&id, |r| r.id) else {
            return Vec::new();
        };
        if self.running[r].free_at.is_some() {
            return Vec::new();
        }
        let (service, target) = (
            self.running[r].service.clone(),
            self.running[r].target.clone(),
        );
        let found = self.find_service(&service);
        if let Ok(s) = found
            && let Ok(i) = self.services[s].find_target(&target)
        {
            self.services[s].record_completion(now, i, completion, &self.config);
        }
        let release_delay = self.config.release_delay;
        match completion {
            Completion::Ok { .. }
            | Completion::Shed
            | Completion::Paused
            | Completion::Unreachable => self.free_slot(r),
            Completion::Failed | Completion::Cancelled => {
                self.running[r].free_at = Some(now + release_delay);
            }
            Completion::TimedOut => {
                let free_at = self.running[r].deadline.max(now) + release_delay;
                self.running[r].free_at = Some(free_at);
            }
        }
        found.map_or_else(|_| Vec::new(), |s| self.dispatch(now, s))
    }

    /// Advances the time: frees slots, ends waits that took too long, and
    /// starts queued requests.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        while let Some(r) = self.find_due(now) {
            self.free_slot(r);
        }
        let mut effects = Vec::new();
        for s in 0..self.services.len() {
            effects.extend(self.dispatch(now, s));
            self.services[s].queue.remove_idle_flows();
        }
        effects
    }

    /// When [`Admission::tick`] must be called next if nothing else happens.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let free_times = self.running.iter().filter_map(|r| r.free_at);
        let services = self.services.iter();
        let wakes = services.filter_map(|service| service.next_wake(now, &self.config));
        free_times.chain(wakes).min()
    }

    /// The remaining capacity of a service at the targets whose leases are
    /// held.
    pub fn headroom(&self, now: Time, service: &str) -> Headroom {
        let found = self.find_service(service);
        found.map_or_else(
            |_| Headroom::default(),
            |s| self.services[s].headroom(now, &self.config),
        )
    }

    /// When the first pause ends, if no target of a service is usable because
    /// of pauses.
    pub fn first_pause_end(&self, now: Time, service: &str) -> Option<Time> {
        let s = self.find_service(service).ok()?;
        self.services[s].first_pause_end(now)
    }

    /// The services that have targets whose leases are held.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let with_targets = self.services.iter().filter(|s| !s.targets.is_empty());
        with_targets.map(|s| &s.id)
    }

    /// The number of slots in use at a target.
    pub fn used_slots(&self, target: &str) -> u32 {
        let same_target = |r: &&RunningRequest| r.target.as_str() == target;
        self.running.iter().filter(same_target).count() as u32
    }

    /// Counts a new connection to a target. Returns false if the target accepts
    /// no more connections, in which case the caller must not open one.
    pub fn add_connection(&mut self, target: &str) -> bool {
        let Some(target) = self.services.iter_mut().find_map(|s| s.target_mut(target)) else {
            return false;
        };
        if target.open_connections >= target.view.connections {
            return false;
        }
        target.open_connections += 1;
        true
    }

    /// Counts a connection to a target as closed.
    pub fn remove_connection(&mut self, target: &str) {
        let found = self.services.iter_mut().find_map(|s| s.target_mut(target));
        if let Some(target) = found {
            target.open_connections = target.open_connections.saturating_sub(1);
        }
    }

    fn find_service(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|s| s.id.as_str().cmp(service))
    }

    /// The index of a service, which is created if it doesn't exist.
    fn service_index(&mut self, service: &ServiceId) -> usize {
        match self.find_service(service) {
            Ok(s) => s,
            Err(s) => {
                self.services.insert(s, Service::new(service.clone()));
                s
            }
        }
    }

    /// Assigns a slot to a request.
    fn start_request(&mut self, s: usize, i: usize, request: &Request) -> Effect {
        let (id, class) = (request.id, request.class);
        let service = &mut self.services[s];
        let target = &mut service.targets[i];
        target.take_slot();
        if class == Class::Background {
            service.background_used += 1;
        }
        let remote = request.reserve.is_some();
        service.remote_used += u32::from(remote);
        let target = target.view.target.clone();
        let running = RunningRequest {
            id,
            service: service.id.clone(),
            target: target.clone(),
            class,
            remote,
            deadline: request.deadline,
            free_at: None,
        };
        let at = self.running.partition_point(|r| r.id < id);
        self.running.insert(at, running);
        Effect::Start { id, target }
    }

    /// The first request whose slot is due to become free.
    fn find_due(&self, now: Time) -> Option<usize> {
        let due = |r: &RunningRequest| r.free_at.is_some_and(|free_at| free_at <= now);
        self.running.iter().position(due)
    }

    /// Frees the slot of a request.
    fn free_slot(&mut self, r: usize) {
        let ended = self.running.remove(r);
        let Ok(s) = self.find_service(&ended.service) else {
            return;
        };
        let service = &mut self.services[s];
        if ended.class == Class::Background {
            service.background_used = service.background_used.saturating_sub(1);
        }
        if ended.remote {
            service.remote_used = service.remote_used.saturating_sub(1);
        }
        if let Some(target) = service.target_mut(&ended.target) {
            target.used = target.used.saturating_sub(1);
        }
    }

    /// Refuses queued requests that can't be served any more, and starts those
    /// that can.
    fn dispatch(&mut self, now: Time, s: usize) -> Vec<Effect> {
        let mut effects = self.services[s].refuse_expired(now, &self.config);
        loop {
            let service = &mut self.services[s];
            let next = service.pop_startable(now, &self.config, &mut self.rng);
            let Some((request, i)) = next else {
                return effects;
            };
            effects.push(self.start_request(s, i, &request));
        }
    }
}
