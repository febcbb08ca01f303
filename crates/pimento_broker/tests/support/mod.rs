//! A load replayed in virtual time: targets that remember objects, brokers of
//! some failure domains, and callers that come at a steady rate.

#![allow(dead_code, reason = "each test file uses a part of it")]

use pimento_broker::{
    Broker, Decision, Origin, PermitRequest, RequestId, RequestOutcome, RequestReport, Shard,
    TargetView, rank_shards,
};
use pimento_core::{Time, hash};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BinaryHeap, sync::Arc, time::Duration};

pub const SERVICE: &str = "service";

/// A load.
pub struct Load {
    /// The targets of each failure domain.
    pub targets: Vec<usize>,
    /// How many neighbouring failure domains make a region.
    pub region: usize,
    pub slots: u32,
    /// Requests a second, from all domains alike.
    pub rate: f64,
    /// The objects of each region's callers.
    pub objects: u64,
    /// The objects that a target remembers.
    pub memory: usize,
    pub fresh: Duration,
    pub warm: Duration,
    pub objective: Duration,
    pub deadline: Duration,
    pub span: Duration,
    /// How often the VMs that grant places are lost, and what they know.
    pub losses: Option<Duration>,
    /// The share of requests that targets refuse with places free.
    pub sheds: f64,
    pub seed: u64,
}

/// What became of the requests that came in the second half.
#[derive(Debug, Default)]
pub struct Result {
    pub asked: u32,
    pub in_time: u32,
    pub late: u32,
    /// Runs that were cut off at their deadline.
    pub cut: u32,
    pub refused: u32,
    /// The longest wait that ended in a refusal.
    pub held: Duration,
    /// The most requests at one target at a time.
    pub most: u32,
    /// Runs on targets that didn't know the object.
    pub fresh: u32,
    /// Served and asked by rank.
    pub ranks: Vec<(u32, u32)>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(u64),
    End { request: u64, domain: usize },
    Tick,
    Lose,
}

struct Request {
    came: Time,
    object: u64,
    rank: u32,
    places: Vec<Shard>,
    /// The failure domains that refused it.
    tried: usize,
    /// The targets that refused it.
    shed: Vec<Arc<str>>,
    begun: Time,
    target: Option<Arc<str>>,
}

struct World {
    load: Load,
    now: Time,
    events: BinaryHeap<std::cmp::Reverse<(Time, u64, Event)>>,
    serial: u64,
    brokers: Vec<Broker>,
    views: Vec<TargetView>,
    requests: Vec<Request>,
    /// What each target remembers and runs, by name.
    targets: Vec<(Arc<str>, Vec<u64>, u32)>,
    rng: SmallRng,
    result: Result,
}

pub fn view(id: &str, domain: &str, slots: u32) -> TargetView {
    TargetView {
        id: Arc::from(id),
        incarnation_hash: hash::fnv([id.as_bytes()]),
        service: Arc::from(SERVICE),
        domain: Arc::from(domain),
        shard: 0,
        slots,
        accepting: true,
        cold_until: Time::ZERO,
        cold_rate: 5.0,
    }
}

pub fn permit_request(serial: u64, now: Time, objective: Duration) -> PermitRequest {
    PermitRequest {
        id: RequestId { process: 1, serial },
        service: Arc::from(SERVICE),
        domain: Arc::from("d0"),
        shard: 0,
        affinity: None,
        preferred: true,
        standby: 0,
        priority: 1,
        objective: now + objective,
        deadline: now + objective * 4,
        max_wait: objective / 10,
        tried: Vec::new(),
    }
}

pub fn report(outcome: RequestOutcome, took: Duration) -> RequestReport {
    RequestReport {
        outcome,
        took,
        load: None,
        cold: None,
    }
}

/// Replays a load.
pub fn replay(load: Load) -> Result {
    let mut world = World::new(load);
    world.run();
    world.result
}

impl World {
    fn new(load: Load) -> Self {
        let mut views = Vec::new();
        let mut targets = Vec::new();
        for (d, count) in load.targets.iter().enumerate() {
            for t in 0..*count {
                let id = format!("t{d}-{t}");
                views.push(view(&id, &format!("d{d}"), load.slots));
                targets.push((Arc::from(id), Vec::new(), 0));
            }
        }
        let mut brokers = vec![Broker::default(); load.targets.len()];
        for broker in &mut brokers {
            broker.set_targets(Time::ZERO, views.clone());
        }
        Self {
            rng: SmallRng::seed_from_u64(load.seed),
            load,
            now: Time::ZERO,
            events: BinaryHeap::new(),
            serial: 0,
            brokers,
            views,
            requests: Vec::new(),
            targets,
            result: Result {
                ranks: vec![(0, 0); 3],
                ..Result::default()
            },
        }
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.serial += 1;
        let entry = (self.now + span, self.serial, event);
        self.events.push(std::cmp::Reverse(entry));
    }

    fn run(&mut self) {
        self.after(Duration::ZERO, Event::Arrive(0));
        self.after(Duration::ZERO, Event::Tick);
        if let Some(gap) = self.load.losses {
            self.after(gap, Event::Lose);
        }
        while let Some(std::cmp::Reverse((at, _, event))) = self.events.pop() {
            if at.since(Time::ZERO) > self.load.span {
                return;
            }
            self.now = at;
            match event {
                Event::Arrive(request) => self.arrive(request),
                Event::End { request, domain } => self.end(request, domain),
                Event::Tick => self.tick(),
                Event::Lose => self.lose(),
            }
        }
    }

    fn tick(&mut self) {
        for domain in 0..self.brokers.len() {
            let effects = self.brokers[domain].tick(self.now);
            self.apply(domain, effects);
        }
        self.after(Duration::from_millis(50), Event::Tick);
    }

    /// Others grant the places from now on, who know no more than the targets.
    fn lose(&mut self) {
        for broker in &mut self.brokers {
            *broker = Broker::default();
            broker.set_targets(self.now, self.views.clone());
        }
        if let Some(gap) = self.load.losses {
            self.after(gap, Event::Lose);
        }
    }

    fn arrive(&mut self, number: u64) {
        let domain = self.rng.random_range(0..self.load.targets.len());
        let object = self.rng.random_range(0..self.load.objects);
        let region = domain / self.load.region;
        let object = hash::mix((region as u64) << 32 | object);
        let counts = self.load.targets.iter().enumerate();
        let places: Vec<_> = counts
            .map(|(d, count)| place(d, d / self.load.region, *count, self.load.slots))
            .collect();
        let regions = places.len().div_ceil(self.load.region);
        let region = format!("r{region}");
        let rank = self.rng.random_range(0..3);
        self.requests.push(Request {
            came: self.now,
            object,
            rank,
            places: rank_shards(&places, origin(&region, regions), object),
            tried: 0,
            shed: Vec::new(),
            begun: self.now,
            target: None,
        });
        if self.counts(number) {
            self.result.asked += 1;
            self.result.ranks[rank as usize].1 += 1;
        }
        self.submit(number);
        let gap = -self.rng.random::<f64>().ln() / self.load.rate;
        self.after(Duration::from_secs_f64(gap), Event::Arrive(number + 1));
    }

    fn counts(&self, number: u64) -> bool {
        self.requests[number as usize].came.since(Time::ZERO) > self.load.span / 2
    }

    fn submit(&mut self, number: u64) {
        let request = &self.requests[number as usize];
        let Some(place) = request.places.get(request.tried).cloned() else {
            if self.counts(number) {
                self.result.refused += 1;
                let held = self.now.since(self.requests[number as usize].came);
                self.result.held = self.result.held.max(held);
            }
            return;
        };
        let permit_request = PermitRequest {
            domain: Arc::clone(&place.domain),
            affinity: Some(request.object),
            preferred: request.tried == 0,
            tried: request.shed.clone(),
            priority: request.rank,
            objective: request.came + self.load.objective,
            deadline: request.came + self.load.deadline,
            ..permit_request(number, request.came, self.load.objective)
        };
        let domain: usize = place.domain[1..].parse().unwrap();
        let effects = self.brokers[domain].submit(self.now, permit_request);
        self.apply(domain, effects);
    }

    fn apply(&mut self, domain: usize, effects: Vec<Decision>) {
        for effect in effects {
            match effect {
                Decision::Grant { id, target } => self.begin(domain, id.serial, &target),
                Decision::Refuse { id, .. } => {
                    self.requests[id.serial as usize].tried += 1;
                    self.submit(id.serial);
                }
            }
        }
    }

    fn begin(&mut self, domain: usize, number: u64, target: &Arc<str>) {
        if self.rng.random_bool(self.load.sheds) {
            self.shed(domain, number, target);
            return;
        }
        let request = &mut self.requests[number as usize];
        request.begun = self.now;
        request.target = Some(Arc::clone(target));
        let (object, came) = (request.object, request.came);
        let found = self.targets.iter_mut().find(|(id, ..)| id == target);
        let (_, memory, running) = found.unwrap();
        *running += 1;
        self.result.most = self.result.most.max(*running);
        let warm = memory.contains(&object);
        memory.retain(|other| *other != object);
        memory.push(object);
        if memory.len() > self.load.memory {
            memory.remove(0);
        }
        let counts = self.counts(number);
        let run = if warm {
            self.load.warm
        } else {
            self.result.fresh += u32::from(counts);
            self.load.fresh
        };
        let run = run.mul_f64(self.rng.random_range(0.8..1.2));
        let left = (came + self.load.deadline).since(self.now);
        let run = run.min(left);
        self.after(
            run,
            Event::End {
                request: number,
                domain,
            },
        );
    }

    /// A target refuses a request; a fifth of such requests go to another one.
    fn shed(&mut self, domain: usize, number: u64, target: &Arc<str>) {
        let id = RequestId {
            process: 1,
            serial: number,
        };
        let report = RequestReport {
            load: Some((0, 0)),
            ..report(RequestOutcome::Shed, Duration::ZERO)
        };
        let effects = self.brokers[domain].release(self.now, &id, &report);
        self.apply(domain, effects);
        let repeats = self.rng.random_bool(0.2);
        let request = &mut self.requests[number as usize];
        request.shed.push(Arc::clone(target));
        request.tried = 0;
        if repeats && request.shed.len() < 2 {
            self.submit(number);
        } else if self.counts(number) {
            self.result.refused += 1;
        }
    }

    fn end(&mut self, number: u64, domain: usize) {
        let request = &self.requests[number as usize];
        let target = request.target.clone().unwrap();
        let took = self.now.since(request.begun);
        let in_time = self.now.since(request.came) <= self.load.objective;
        let rank = request.rank as usize;
        let found = self.targets.iter_mut().find(|(id, ..)| *id == target);
        found.unwrap().2 -= 1;
        let cut = self.now >= request.came + self.load.deadline;
        if self.counts(number) && cut {
            self.result.cut += 1;
        } else if self.counts(number) {
            self.result.ranks[rank].0 += 1;
            if in_time {
                self.result.in_time += 1;
            } else {
                self.result.late += 1;
            }
        }
        let id = RequestId {
            process: 1,
            serial: number,
        };
        let outcome = if cut {
            RequestOutcome::Failed
        } else {
            RequestOutcome::Answered
        };
        let report = report(outcome, took);
        let effects = self.brokers[domain].release(self.now, &id, &report);
        self.apply(domain, effects);
    }
}

/// Callers of a region.
pub const fn origin(region: &str, region_count: usize) -> Origin<'_> {
    Origin {
        region,
        region_count,
    }
}

pub fn place(domain: usize, region: usize, targets: usize, slots: u32) -> Shard {
    Shard {
        domain: Arc::from(format!("d{domain}")),
        index: 0,
        region: Arc::from(format!("r{region}")),
        slots: targets as u32 * slots,
    }
}
