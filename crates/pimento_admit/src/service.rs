//! The held targets of one service and its queue.

use crate::{
    AdmissionConfig, Completion, Effect, Headroom, RefusalReason, Request,
    estimate::Estimate,
    queue::{Queue, Waiting},
    target::Target,
};
use pimento_core::prelude::*;
use rand::{Rng, rngs::SmallRng};

/// One service at this lease holder.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) id: ServiceId,
    /// Held targets by name.
    pub(crate) targets: Vec<Target>,
    pub(crate) queue: Queue,
    /// How long requests take at the targets.
    latency: Estimate,
    /// Slots in use by background requests.
    pub(crate) spare_used: u32,
    /// Slots in use by requests from other regions.
    pub(crate) moved_used: u32,
}

/// What the targets of a service offer.
#[derive(Clone, Copy, Debug)]
struct Room {
    offered: u32,
    used: u32,
    free: u32,
    /// Whether reports are believed.
    trust: bool,
}

impl Service {
    pub(crate) fn new(id: ServiceId) -> Self {
        Self {
            id,
            targets: Vec::new(),
            queue: Queue::default(),
            latency: Estimate::default(),
            spare_used: 0,
            moved_used: 0,
        }
    }

    /// Finds a held target.
    pub(crate) fn find(&self, target: &str) -> Result<usize, usize> {
        self.targets
            .binary_search_by(|t| t.view.target.as_str().cmp(target))
    }

    /// Finds a held target to change it.
    pub(crate) fn target(&mut self, target: &str) -> Option<&mut Target> {
        let i = self.find(target).ok()?;
        Some(&mut self.targets[i])
    }

    /// Whether reports are believed: not when most of them say that somebody
    /// else uses the targets, since then the measurement is at fault.
    fn trust(&self, now: Time, config: &AdmissionConfig) -> bool {
        let taken = |t: &&Target| t.foreign(now, config) > 0;
        let count = self.targets.iter().filter(taken).count();
        self.targets.len() < 2 || count * 2 <= self.targets.len()
    }

    fn room(&self, now: Time, config: &AdmissionConfig) -> Room {
        let trust = self.trust(now, config);
        let mut room = Room {
            offered: 0,
            used: 0,
            free: 0,
            trust,
        };
        for target in &self.targets {
            let offered = target.offered(now, trust, config);
            room.offered += offered;
            room.used += target.used;
            room.free += offered.saturating_sub(target.used);
        }
        room
    }

    /// What is left for new requests.
    pub(crate) fn headroom(&self, now: Time, config: &AdmissionConfig) -> Headroom {
        let room = self.room(now, config);
        Headroom {
            slots: room.offered,
            free: room.free,
            queued: self.queue.len() as u32,
            latency_us: self.expected(now, config).as_micros() as u64,
        }
    }

    /// How long a request is expected to take at a target.
    fn expected(&self, now: Time, config: &AdmissionConfig) -> Duration {
        self.latency.mean(now, config.half_life)
    }

    /// How long few requests exceed at a target.
    fn longest(&self, now: Time, config: &AdmissionConfig) -> Duration {
        self.latency.high(now, config.half_life)
    }

    /// Whether a request of the class may take one of the free slots.
    fn open_to(&self, class: Class, room: Room, config: &AdmissionConfig) -> bool {
        if room.free == 0 {
            return false;
        }
        if class != Class::Background || room.used == 0 {
            return true;
        }
        let spare = (room.offered * config.spare_percent).div_ceil(100);
        room.free > spare && self.spare_used + spare < room.offered
    }

    /// Whether a request from another region would take a reserved slot.
    fn reserved(&self, reserve: u8, room: Room) -> bool {
        let open = 100_u32.saturating_sub(u32::from(reserve));
        self.moved_used >= room.offered * open / 100
    }

    /// Whether a target exists that may still serve the request.
    fn reachable(&self, now: Time, request: &Request) -> bool {
        let fits = |t: &Target| t.usable(now) && !request.avoid.contains(&t.view.target);
        self.targets.iter().any(fits)
    }

    /// The free target that is least used, and among equals the fastest.
    fn pick(
        &self,
        now: Time,
        request: &Request,
        trust: bool,
        config: &AdmissionConfig,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let mut best: Option<(u64, u64, usize)> = None;
        let shift: usize = rng.random_range(0..self.targets.len().max(1));
        for step in 0..self.targets.len() {
            let i = (step + shift) % self.targets.len();
            let target = &self.targets[i];
            let offered = target.offered(now, trust, config);
            if target.used >= offered || request.avoid.contains(&target.view.target) {
                continue;
            }
            let share = u64::from(target.used) * 1_000 / u64::from(offered);
            let latency = target.health.latency.settled(1).unwrap_or(0.0) as u64;
            let key = (share, latency, i);
            let better = best.is_none_or(|(s, l, _)| (share, latency) < (s, l));
            if better {
                best = Some(key);
            }
        }
        best.map(|(_, _, i)| i)
    }

    /// Decides on a new request: the target that starts it, or its place in the
    /// queue, or a refusal; a request that it pushes out of the queue is
    /// refused too.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        request: Request,
        config: &AdmissionConfig,
        rng: &mut SmallRng,
    ) -> Decision {
        if !self.reachable(now, &request) {
            return Decision::Refuse(RefusalReason::NoTarget);
        }
        let longest = self.longest(now, config);
        if now + longest >= request.deadline {
            return Decision::Refuse(RefusalReason::Deadline);
        }
        let room = self.room(now, config);
        let taken = |reserve| self.reserved(reserve, room);
        if room.offered > 0 && request.reserve.is_some_and(taken) {
            return Decision::Refuse(RefusalReason::Reserve);
        }
        let ahead = self.queue.ahead(request.class);
        if ahead == 0 && self.open_to(request.class, room, config) {
            let target = self.pick(now, &request, room.trust, config, rng);
            if let Some(i) = target {
                self.queue.pass(&request);
                return Decision::Start(i, request);
            }
        }
        if room.offered == 0 {
            return Decision::Refuse(RefusalReason::NoTarget);
        }
        // A request from another region may still go elsewhere, so it doesn't
        // wait here.
        if request.reserve.is_some() {
            return Decision::Refuse(RefusalReason::Reserve);
        }
        let rounds = (ahead as f64 + 1.0) / f64::from(room.offered);
        let wait = self.expected(now, config).mul_f64(rounds);
        if now + wait + longest > request.deadline {
            return Decision::Refuse(RefusalReason::Deadline);
        }
        if wait > Duration::from_millis(u64::from(request.queue.wait)) {
            return Decision::Refuse(RefusalReason::QueueWait);
        }
        let mut out = None;
        if self.queue.len() >= request.queue.len as usize {
            out = self.queue.evict(request.class, &request.tenant);
            if out.is_none() {
                return Decision::Refuse(RefusalReason::QueueFull);
            }
        }
        self.queue.push(Waiting {
            request,
            since: now,
        });
        Decision::Wait(out.map(|item| item.request.id))
    }

    /// Refuses waiting requests whose wait has no use any more.
    pub(crate) fn expire(&mut self, now: Time, config: &AdmissionConfig) -> Vec<Effect> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        let longest = self.longest(now, config);
        let late = |item: &Waiting| now + longest >= item.request.deadline;
        let mut effects = refusals(self.queue.drain(late), RefusalReason::Deadline);
        let old = self.queue.drain(|item| item.expiry() <= now);
        effects.extend(refusals(old, RefusalReason::QueueWait));
        let mut queue = std::mem::take(&mut self.queue);
        let lone = queue.drain(|item| !self.reachable(now, &item.request));
        self.queue = queue;
        effects.extend(refusals(lone, RefusalReason::NoTarget));
        effects
    }

    /// Takes the next waiting request that a free target can serve.
    pub(crate) fn next(
        &mut self,
        now: Time,
        config: &AdmissionConfig,
        rng: &mut SmallRng,
    ) -> Option<(Request, usize)> {
        if self.queue.len() == 0 {
            return None;
        }
        let room = self.room(now, config);
        if room.free == 0 {
            return None;
        }
        let mut queue = std::mem::take(&mut self.queue);
        let found = queue.next(|request| {
            if !self.open_to(request.class, room, config) {
                return None;
            }
            self.pick(now, request, room.trust, config, rng)
        });
        self.queue = queue;
        found.map(|(item, i)| (item.request, i))
    }

    /// Takes the ending of a request at a target into account.
    pub(crate) fn observe(
        &mut self,
        now: Time,
        i: usize,
        ending: Completion,
        config: &AdmissionConfig,
    ) {
        let target = &mut self.targets[i];
        let used = target.used;
        match ending {
            Completion::Ok { latency } => {
                target.limit.raise(target.view.slots, config);
                target.health.answered(now, latency);
                self.latency.add(now, latency);
            }
            Completion::Shed => target.limit.cut(now, used, config),
            Completion::Unreachable => {
                target.health.failed();
                target.limit.hold(now, config);
            }
            Completion::Failed | Completion::TimedOut => target.health.failed(),
            Completion::Cancelled => return,
        }
        self.judge(now, i, config);
    }

    /// Ejects a target that looks ill, unless too many would be out: then the
    /// measurement is doubted before the targets are.
    fn judge(&mut self, now: Time, i: usize, config: &AdmissionConfig) {
        let median = self.median_without(i, config);
        if !self.targets[i].health.ill(median, config) {
            return;
        }
        let out = self.targets.iter().filter(|t| !t.usable(now)).count();
        if (out + 1) * 2 <= self.targets.len() {
            let target = &mut self.targets[i];
            target.health.eject(now, config);
            target.limit.restart();
        }
    }

    /// The median latency of the other targets, in microseconds.
    fn median_without(&self, i: usize, config: &AdmissionConfig) -> Option<f64> {
        let others = self.targets.iter().enumerate().filter(|(j, _)| *j != i);
        let mut known: Vec<f64> = others
            .filter_map(|(_, t)| t.health.latency.settled(config.eject_samples))
            .collect();
        known.sort_by(f64::total_cmp);
        known.get(known.len() / 2).copied()
    }

    /// The next time at which something changes without any event.
    pub(crate) fn wake(&self, now: Time, config: &AdmissionConfig) -> Option<Time> {
        let expiry = self.queue.wake()?;
        let targets = self.targets.iter().filter_map(|t| t.wake(now, config));
        targets.chain([expiry]).min()
    }
}

/// What becomes of a new request.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    /// It starts at a target, given by its index.
    Start(usize, Request),
    /// It waits; the request in the value is pushed out for it.
    Wait(Option<u64>),
    /// It is refused.
    Refuse(RefusalReason),
}

/// Refusals of requests that waited.
fn refusals(items: Vec<Waiting>, reason: RefusalReason) -> Vec<Effect> {
    let refuse = |item: Waiting| Effect::Refuse {
        id: item.request.id,
        reason,
    };
    items.into_iter().map(refuse).collect()
}
