//! Simulates a load in virtual time: targets that become warm for affinity
//! keys, one broker for each failure domain, and requests at a constant mean
//! rate.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod shard;

use pimento_broker::{
    Broker, Decision, ExpectedWait, Origin, PermitRequest, RequestId, RequestOutcome,
    RequestReport, Shard, ShardBackoff, ShardRefusal, ShardSearch, TargetView, rank_shards,
};
use pimento_core::{Time, hash};
use pimento_notices::TargetNotice;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BinaryHeap, sync::Arc, time::Duration};

pub const SERVICE: &str = "service";

pub struct Load {
    /// The number of targets in each failure domain.
    pub targets: Vec<usize>,
    /// How many consecutive failure domains form a region.
    pub region_size: usize,
    pub slots: u32,
    /// Requests per second.
    pub rate: f64,
    /// The relative numbers of requests that arrive in the failure domains; even
    /// if empty.
    pub callers: Vec<u32>,
    /// The number of affinity keys of each region's callers.
    pub keys: u64,
    /// The number of affinity keys that a target is warm for.
    pub warm_keys: usize,
    /// The run time on a target that isn't warm for the key.
    pub miss: Duration,
    /// The run time on a warm target.
    pub warm: Duration,
    pub objective: Duration,
    pub deadline: Duration,
    pub duration: Duration,
    /// How often all shard owners are lost together with their state.
    pub owner_loss: Option<Duration>,
    /// The share of requests that targets refuse although slots are free.
    pub shed_share: f64,
    /// The region whose targets can't be used.
    pub lost_region: Option<usize>,
    pub seed: u64,
}

/// Counts of the requests that arrived in the second half of a simulation.
#[derive(Debug, Default)]
pub struct Result {
    pub submitted: u32,
    pub in_time: u32,
    pub late: u32,
    /// Runs that were cancelled at their deadline.
    pub cancelled: u32,
    pub refused: u32,
    /// The longest wait that ended in a refusal.
    pub longest_wait: Duration,
    /// The most requests that ran on one target at the same time.
    pub peak_running: u32,
    /// Runs on targets that weren't warm for the key.
    pub misses: u32,
    /// Served and submitted requests, indexed by priority.
    pub by_priority: Vec<(u32, u32)>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(u64),
    End { request: u64, domain: usize },
    Tick,
    LoseOwners,
}

struct Request {
    arrived: Time,
    affinity: u64,
    priority: u32,
    shards: Vec<Shard>,
    search: ShardSearch,
    /// The targets that refused the request.
    shed_by: Vec<Arc<str>>,
    started: Time,
    target: Option<Arc<str>>,
}

struct Simulation {
    load: Load,
    now: Time,
    events: BinaryHeap<std::cmp::Reverse<(Time, u64, Event)>>,
    serial: u64,
    brokers: Vec<Broker>,
    views: Vec<TargetView>,
    requests: Vec<Request>,
    /// For each target its name, its warm keys and the number of its running
    /// requests.
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
        notice: TargetNotice::NONE,
    }
}

pub fn simulate(load: Load) -> Result {
    let mut simulation = Simulation::new(load);
    simulation.run();
    simulation.result
}

impl Simulation {
    fn new(load: Load) -> Self {
        let mut views = Vec::new();
        let mut targets = Vec::new();
        for (d, count) in load.targets.iter().enumerate() {
            for t in 0..*count {
                let id = format!("t{d}-{t}");
                let is_lost = load.lost_region == Some(d / load.region_size);
                views.push(TargetView {
                    accepting: !is_lost,
                    ..view(&id, &format!("d{d}"), load.slots)
                });
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
                by_priority: vec![(0, 0); 3],
                ..Result::default()
            },
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.serial += 1;
        let entry = (self.now + delay, self.serial, event);
        self.events.push(std::cmp::Reverse(entry));
    }

    fn run(&mut self) {
        self.schedule(Duration::ZERO, Event::Arrive(0));
        self.schedule(Duration::ZERO, Event::Tick);
        if let Some(interval) = self.load.owner_loss {
            self.schedule(interval, Event::LoseOwners);
        }
        while let Some(std::cmp::Reverse((at, _, event))) = self.events.pop() {
            if at.since(Time::ZERO) > self.load.duration {
                return;
            }
            self.now = at;
            match event {
                Event::Arrive(request) => self.arrive(request),
                Event::End { request, domain } => self.end(request, domain),
                Event::Tick => self.tick(),
                Event::LoseOwners => self.lose_owners(),
            }
        }
    }

    fn tick(&mut self) {
        for domain in 0..self.brokers.len() {
            let decisions = self.brokers[domain].tick(self.now);
            self.apply(domain, decisions);
        }
        self.schedule(Duration::from_millis(50), Event::Tick);
    }

    /// Replaces all brokers by new ones that only know the list of targets.
    fn lose_owners(&mut self) {
        for broker in &mut self.brokers {
            *broker = Broker::default();
            broker.set_targets(self.now, self.views.clone());
        }
        if let Some(interval) = self.load.owner_loss {
            self.schedule(interval, Event::LoseOwners);
        }
    }

    fn arrive(&mut self, number: u64) {
        let domain = self.draw_domain();
        let key = self.rng.random_range(0..self.load.keys);
        let region = domain / self.load.region_size;
        let affinity = hash::mix((region as u64) << 32 | key);
        let counts = self.load.targets.iter().enumerate();
        let shards: Vec<_> = counts
            .map(|(d, count)| shard(d, d / self.load.region_size, *count, self.load.slots))
            .collect();
        let region_count = shards.len().div_ceil(self.load.region_size);
        let region = format!("r{region}");
        let priority = self.rng.random_range(0..3);
        self.requests.push(Request {
            arrived: self.now,
            affinity,
            priority,
            shards: rank_shards(&shards, origin(&region, region_count), affinity),
            search: ShardSearch::default(),
            shed_by: Vec::new(),
            started: self.now,
            target: None,
        });
        if self.is_counted(number) {
            self.result.submitted += 1;
            self.result.by_priority[priority as usize].1 += 1;
        }
        self.submit(number);
        let gap = -self.rng.random::<f64>().ln() / self.load.rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrive(number + 1));
    }

    fn draw_domain(&mut self) -> usize {
        let callers = &self.load.callers;
        if callers.is_empty() {
            return self.rng.random_range(0..self.load.targets.len());
        }
        let mut drawn = self.rng.random_range(0..callers.iter().sum());
        let is_of_domain = |count: &u32| {
            let is_less = drawn < *count;
            drawn = drawn.saturating_sub(*count);
            is_less
        };
        callers.iter().position(is_of_domain).unwrap_or_default()
    }

    fn is_counted(&self, number: u64) -> bool {
        self.requests[number as usize].arrived.since(Time::ZERO) > self.load.duration / 2
    }

    fn submit(&mut self, number: u64) {
        let request = &mut self.requests[number as usize];
        let shard = request
            .search
            .next_shard(
                self.now,
                &Arc::from(SERVICE),
                &request.shards,
                &ShardBackoff::default(),
            )
            .cloned();
        let Some(shard) = shard else {
            if self.is_counted(number) {
                self.result.refused += 1;
                let wait = self.now.since(self.requests[number as usize].arrived);
                self.result.longest_wait = self.result.longest_wait.max(wait);
            }
            return;
        };
        let permit_request = PermitRequest {
            domain: Arc::clone(&shard.domain),
            affinity: Some(request.affinity),
            preferred: request.search.is_preferred(),
            tried: request.shed_by.clone(),
            priority: request.priority,
            objective: request.arrived + self.load.objective,
            deadline: request.arrived + self.load.deadline,
            ..permit_request(number, request.arrived, self.load.objective)
        };
        let domain: usize = shard.domain[1..].parse().unwrap();
        let decisions = self.brokers[domain].submit(self.now, permit_request);
        self.apply(domain, decisions);
    }

    fn apply(&mut self, domain: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Grant { id, target } => self.start(domain, id.serial, &target),
                Decision::Refuse { id, wait } => {
                    let refusal = match wait {
                        ExpectedWait::Unknown => ShardRefusal::Unusable,
                        ExpectedWait::For(_)
                        | ExpectedWait::Foreign(_)
                        | ExpectedWait::Paused(_) => ShardRefusal::Busy,
                    };
                    let search = &mut self.requests[id.serial as usize].search;
                    search.record_refusal(refusal);
                    self.submit(id.serial);
                }
            }
        }
    }

    fn start(&mut self, domain: usize, number: u64, target: &Arc<str>) {
        if self.rng.random_bool(self.load.shed_share) {
            self.shed(domain, number, target);
            return;
        }
        let request = &mut self.requests[number as usize];
        request.started = self.now;
        request.target = Some(Arc::clone(target));
        let (affinity, arrived) = (request.affinity, request.arrived);
        let found = self.targets.iter_mut().find(|(id, ..)| id == target);
        let (_, warm_keys, running) = found.unwrap();
        *running += 1;
        self.result.peak_running = self.result.peak_running.max(*running);
        let is_warm = warm_keys.contains(&affinity);
        warm_keys.retain(|other| *other != affinity);
        warm_keys.push(affinity);
        if warm_keys.len() > self.load.warm_keys {
            warm_keys.remove(0);
        }
        let is_counted = self.is_counted(number);
        let run_time = if is_warm {
            self.load.warm
        } else {
            self.result.misses += u32::from(is_counted);
            self.load.miss
        };
        let run_time = run_time.mul_f64(self.rng.random_range(0.8..1.2));
        let remaining = (arrived + self.load.deadline).since(self.now);
        let run_time = run_time.min(remaining);
        self.schedule(
            run_time,
            Event::End {
                request: number,
                domain,
            },
        );
    }

    /// A target refuses a request; a fifth of refused requests are retried once.
    fn shed(&mut self, domain: usize, number: u64, target: &Arc<str>) {
        let id = RequestId {
            process: 1,
            serial: number,
        };
        let report = RequestReport {
            load: Some((0, 0)),
            ..report(RequestOutcome::Shed, Duration::ZERO)
        };
        let decisions = self.brokers[domain].release(self.now, &id, &report);
        self.apply(domain, decisions);
        let retries = self.rng.random_bool(0.2);
        let request = &mut self.requests[number as usize];
        request.shed_by.push(Arc::clone(target));
        request.search = ShardSearch::default();
        if retries && request.shed_by.len() < 2 {
            self.submit(number);
        } else if self.is_counted(number) {
            self.result.refused += 1;
        }
    }

    fn end(&mut self, number: u64, domain: usize) {
        let request = &self.requests[number as usize];
        let target = request.target.clone().unwrap();
        let took = self.now.since(request.started);
        let in_time = self.now.since(request.arrived) <= self.load.objective;
        let priority = request.priority as usize;
        let found = self.targets.iter_mut().find(|(id, ..)| *id == target);
        found.unwrap().2 -= 1;
        let is_cancelled = self.now >= request.arrived + self.load.deadline;
        if self.is_counted(number) && is_cancelled {
            self.result.cancelled += 1;
        } else if self.is_counted(number) {
            self.result.by_priority[priority].0 += 1;
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
        let outcome = if is_cancelled {
            RequestOutcome::Failed
        } else {
            RequestOutcome::Answered
        };
        let report = report(outcome, took);
        let decisions = self.brokers[domain].release(self.now, &id, &report);
        self.apply(domain, decisions);
    }
}

/// The incarnation hash of a target, as [`view`] sets it.
fn target_hash(domain: usize, target: usize) -> u64 {
    hash::fnv([format!("t{domain}-{target}").as_bytes()])
}

pub const fn origin(region: &str, region_count: usize) -> Origin<'_> {
    Origin {
        region,
        region_count,
    }
}

pub fn shard(domain: usize, region: usize, targets: usize, slots: u32) -> Shard {
    Shard {
        domain: Arc::from(format!("d{domain}")),
        index: 0,
        region: Arc::from(format!("r{region}")),
        slots: targets as u32 * slots,
        targets: (0..targets).map(|t| target_hash(domain, t)).collect(),
    }
}
