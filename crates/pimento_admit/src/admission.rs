//! The state machine of admission.

use crate::{
    AdmissionConfig, Completion, Effect, Headroom, RefusalReason, Request, TargetView,
    service::{Decision, Service},
    target::Target,
};
use pimento_core::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

/// A request that uses a slot.
#[derive(Clone, Debug)]
struct Running {
    id: u64,
    service: ServiceId,
    target: TargetId,
    class: Class,
    /// Whether another region passed it on.
    moved: bool,
    deadline: Time,
    /// When the slot counts as free, if the request ended here but the target
    /// may still run it.
    until: Option<Time>,
}

/// Admission for all services and targets that this VM holds.
///
/// Slots are counted here and nowhere else: a request holds its slot from
/// [`Effect::Start`] until [`Admission::finish`], and longer when the target may
/// still be running it.
#[derive(Clone, Debug)]
pub struct Admission {
    config: AdmissionConfig,
    rng: SmallRng,
    /// Services by name.
    services: Vec<Service>,
    /// Requests in slots by number.
    running: Vec<Running>,
}

impl Admission {
    /// Creates admission without targets.
    pub fn new(config: AdmissionConfig, seed: u64) -> Self {
        Self {
            config,
            rng: SmallRng::seed_from_u64(seed),
            services: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Adds a target whose lease is now held, or takes over what it now says.
    ///
    /// A draining target gets nothing new from here on.
    pub fn set_target(&mut self, now: Time, view: TargetView) -> Vec<Effect> {
        let s = self.service_slot(&view.service);
        let service = &mut self.services[s];
        match service.find(&view.target) {
            Ok(i) => service.targets[i].update(now, view, &self.config),
            Err(i) => {
                let mut target = Target::new(now, view, &self.config);
                // Requests from an earlier tenure of the lease still count.
                let own = |r: &&Running| r.target == target.view.target;
                let used = self.running.iter().filter(own).count();
                target.used = used as u32;
                service.targets.insert(i, target);
            }
        }
        self.dispatch(now, s)
    }

    /// Forgets a target whose lease is no longer held.
    pub fn remove_target(&mut self, now: Time, target: &TargetId) -> Vec<Effect> {
        let mut effects = Vec::new();
        for s in 0..self.services.len() {
            if let Ok(i) = self.services[s].find(target) {
                self.services[s].targets.remove(i);
                effects.extend(self.dispatch(now, s));
            }
        }
        effects
    }

    /// Asks for a slot.
    pub fn submit(&mut self, now: Time, request: Request) -> Vec<Effect> {
        let id = request.id;
        let Ok(s) = self.find(&request.service) else {
            let reason = RefusalReason::NoTarget;
            return vec![Effect::Refuse { id, reason }];
        };
        let service = &mut self.services[s];
        match service.submit(now, request, &self.config, &mut self.rng) {
            Decision::Start(i, request) => vec![self.start(s, i, &request)],
            Decision::Refuse(reason) => vec![Effect::Refuse { id, reason }],
            Decision::Wait(out) => {
                let reason = RefusalReason::QueueFull;
                let refuse = |id| Effect::Refuse { id, reason };
                out.map(refuse).into_iter().collect()
            }
        }
    }

    /// Abandons a request: a waiting one is forgotten, and a running one ends
    /// as [`Completion::Cancelled`].
    pub fn cancel(&mut self, now: Time, id: u64) -> Vec<Effect> {
        for service in &mut self.services {
            if service.queue.remove(id).is_some() {
                return Vec::new();
            }
        }
        self.finish(now, id, Completion::Cancelled)
    }

    /// Ends a started request. An unknown number is ignored, so that an ending
    /// may be told twice.
    pub fn finish(&mut self, now: Time, id: u64, ending: Completion) -> Vec<Effect> {
        let Ok(r) = self.running.binary_search_by_key(&id, |r| r.id) else {
            return Vec::new();
        };
        if self.running[r].until.is_some() {
            return Vec::new();
        }
        let (service, target) = (
            self.running[r].service.clone(),
            self.running[r].target.clone(),
        );
        let found = self.find(&service);
        if let Ok(s) = found
            && let Ok(i) = self.services[s].find(&target)
        {
            self.services[s].observe(now, i, ending, &self.config);
        }
        let release_delay = self.config.release_delay;
        match ending {
            Completion::Ok { .. } | Completion::Shed | Completion::Unreachable => self.release(r),
            Completion::Failed | Completion::Cancelled => {
                self.running[r].until = Some(now + release_delay);
            }
            Completion::TimedOut => {
                let until = self.running[r].deadline.max(now) + release_delay;
                self.running[r].until = Some(until);
            }
        }
        found.map_or_else(|_| Vec::new(), |s| self.dispatch(now, s))
    }

    /// Lets time pass: frees slots, ends waits and starts what now can.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        while let Some(r) = self.freed(now) {
            self.release(r);
        }
        let mut effects = Vec::new();
        for s in 0..self.services.len() {
            effects.extend(self.dispatch(now, s));
            self.services[s].queue.trim();
        }
        effects
    }

    /// When [`Admission::tick`] must be called next, if nothing else happens.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let freed = self.running.iter().filter_map(|r| r.until);
        let services = self.services.iter();
        let wakes = services.filter_map(|service| service.wake(now, &self.config));
        freed.chain(wakes).min()
    }

    /// What the held targets of a service can still take.
    pub fn headroom(&self, now: Time, service: &str) -> Headroom {
        let found = self.find(service);
        found.map_or_else(
            |_| Headroom::default(),
            |s| self.services[s].headroom(now, &self.config),
        )
    }

    /// The names of the services that have held targets.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        let held = self.services.iter().filter(|s| !s.targets.is_empty());
        held.map(|s| &s.id)
    }

    /// The slots of a held target that are in use.
    pub fn used_slots(&self, target: &str) -> u32 {
        let own = |r: &&Running| r.target.as_str() == target;
        self.running.iter().filter(own).count() as u32
    }

    /// Counts a new connection to a held target; false means that the target
    /// accepts no more and the connection may not be opened.
    pub fn add_connection(&mut self, target: &str) -> bool {
        let Some(target) = self.services.iter_mut().find_map(|s| s.target(target)) else {
            return false;
        };
        if target.open >= target.view.connections {
            return false;
        }
        target.open += 1;
        true
    }

    /// Counts a connection to a target as closed.
    pub fn remove_connection(&mut self, target: &str) {
        let found = self.services.iter_mut().find_map(|s| s.target(target));
        if let Some(target) = found {
            target.open = target.open.saturating_sub(1);
        }
    }

    /// Finds a service.
    fn find(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|s| s.id.as_str().cmp(service))
    }

    /// Finds or makes a service.
    fn service_slot(&mut self, service: &ServiceId) -> usize {
        match self.find(service) {
            Ok(s) => s,
            Err(s) => {
                self.services.insert(s, Service::new(service.clone()));
                s
            }
        }
    }

    /// Puts a request in a slot.
    fn start(&mut self, s: usize, i: usize, request: &Request) -> Effect {
        let (id, class) = (request.id, request.class);
        let service = &mut self.services[s];
        let target = &mut service.targets[i];
        target.take();
        if class == Class::Background {
            service.spare_used += 1;
        }
        let moved = request.reserve.is_some();
        service.moved_used += u32::from(moved);
        let target = target.view.target.clone();
        let running = Running {
            id,
            service: service.id.clone(),
            target: target.clone(),
            class,
            moved,
            deadline: request.deadline,
            until: None,
        };
        let at = self.running.partition_point(|r| r.id < id);
        self.running.insert(at, running);
        Effect::Start { id, target }
    }

    /// The first slot that counts as free by now.
    fn freed(&self, now: Time) -> Option<usize> {
        let due = |r: &Running| r.until.is_some_and(|until| until <= now);
        self.running.iter().position(due)
    }

    /// Takes a request out of its slot.
    fn release(&mut self, r: usize) {
        let gone = self.running.remove(r);
        let Ok(s) = self.find(&gone.service) else {
            return;
        };
        let service = &mut self.services[s];
        if gone.class == Class::Background {
            service.spare_used = service.spare_used.saturating_sub(1);
        }
        if gone.moved {
            service.moved_used = service.moved_used.saturating_sub(1);
        }
        if let Some(target) = service.target(&gone.target) {
            target.used = target.used.saturating_sub(1);
        }
    }

    /// Refuses what waits in vain and starts what can.
    fn dispatch(&mut self, now: Time, s: usize) -> Vec<Effect> {
        let mut effects = self.services[s].expire(now, &self.config);
        loop {
            let service = &mut self.services[s];
            let next = service.next(now, &self.config, &mut self.rng);
            let Some((request, i)) = next else {
                return effects;
            };
            effects.push(self.start(s, i, &request));
        }
    }
}
