//! Simulation of processes in virtual time, over a network that delays and
//! loses datagrams and can be partitioned.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use pimento_core::Time;
use pimento_fleet::{AcquirePermit, Effect, Fleet, FleetConfig, NodeInfo, PermitDecision, Role};
use pimento_items::{Body, Catalog, Changeset, Item, Service};
use pimento_poison::Fingerprint;
use pimento_registry::{Stage, Target};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

/// The step of virtual time.
const STEP: Duration = Duration::from_millis(10);
/// The number of steps between two ticks of a process.
const TICK_STEPS: u64 = 5;

pub struct Process {
    pub fleet: Fleet,
    pub address: SocketAddr,
    pub role: Role,
    pub alive: bool,
    /// Whether it stands still; it handles what arrived meanwhile afterwards.
    pub frozen: bool,
    /// Whether nothing that it sends arrives.
    pub mute: bool,
    /// Only processes in the same network partition reach each other.
    pub partition: u8,
    /// The role that it can't exchange datagrams with.
    pub cut_from: Option<Role>,
    /// The decisions on its permit requests, by serial number.
    pub decisions: Vec<(u64, PermitDecision)>,
    /// The ids of its confirmed target updates.
    pub confirmed: Vec<u64>,
    config: FleetConfig,
    /// The datagrams that arrived while it stood still.
    inbox: Vec<(SocketAddr, bytes::Bytes)>,
}

impl Process {
    /// Whether a cut keeps datagrams between two processes.
    fn is_cut_from(&self, other: &Self) -> bool {
        let cut = |a: &Self, b: &Self| a.cut_from == Some(b.role);
        self.partition != other.partition || cut(self, other) || cut(other, self)
    }
}

pub struct World {
    pub now: Time,
    pub processes: Vec<Process>,
    /// The probability that a datagram is lost.
    pub loss: f64,
    /// The latency of datagrams in addition to one step.
    pub delay: Duration,
    /// The greatest random latency in addition, which reorders datagrams.
    pub jitter: Duration,
    /// How often a process was suspected.
    pub suspected: usize,
    /// All datagrams that were sent.
    pub traffic: Vec<SentDatagram>,
    in_flight: VecDeque<(Time, SocketAddr, usize, bytes::Bytes)>,
    rng: SmallRng,
    steps: u64,
    last_message: u64,
}

pub struct SentDatagram {
    pub at: Time,
    pub kind: &'static str,
    /// The index of the receiver.
    pub to: usize,
    pub bytes: usize,
}

/// Control VMs, of which the first three are seeds, and entry VMs, distributed
/// over the failure domains `a` and `b`.
pub fn world(controls: u8, entries: u8, seed: u64) -> World {
    world_with_domains(controls, entries, 2, seed)
}

/// The same over any number of failure domains, with two per region.
pub fn world_with_domains(controls: u8, entries: u8, domains: usize, seed: u64) -> World {
    let mut world = World {
        now: Time::from_millis(5_000),
        processes: Vec::new(),
        loss: 0.0,
        delay: Duration::ZERO,
        jitter: Duration::ZERO,
        suspected: 0,
        traffic: Vec::new(),
        in_flight: VecDeque::new(),
        rng: SmallRng::seed_from_u64(seed),
        steps: 0,
        last_message: 0,
    };
    for i in 0..controls {
        world.add(i, Role::Control, domains);
    }
    for i in 0..entries {
        world.add(100 + i, Role::Entry, domains);
    }
    world
}

/// The name of a failure domain.
pub fn domain(number: usize) -> String {
    let letter = b'a' + number as u8;
    char::from(letter).to_string()
}

pub fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_000))
}

pub fn catalog(version: u64) -> Arc<Catalog> {
    let mut catalog = Catalog::default();
    let body = Body::Service(Service {
        health: "/".into(),
        max_connections: 10,
        cold_ms: 0,
        cold_rate: 0,
    });
    let items = vec![Item::new("s", version, body)];
    catalog
        .apply_changeset(version, &Changeset { items })
        .unwrap();
    Arc::new(catalog)
}

pub fn target(id: &str, stage: Stage, seq: u64) -> Target {
    Target {
        id: id.into(),
        incarnation: 1,
        seq,
        stage: stage as i32,
        address: format!("10.1.0.{}:80", id.len()),
        service: "s".into(),
        domain: "a".into(),
        slots: 3,
        cold_ms: 0,
    }
}

pub fn permit_request(serial: u64) -> AcquirePermit {
    AcquirePermit {
        serial,
        service: "s".into(),
        domain: "a".into(),
        shard: 0,
        affinity: None,
        preferred: true,
        priority: 1,
        objective_ms: 400,
        deadline: Duration::from_secs(2),
        max_wait: Duration::from_millis(40),
        tried: Vec::new(),
    }
}

impl World {
    fn add(&mut self, host: u8, role: Role, domains: usize) {
        let region = |i: usize| format!("r{}", i / 2);
        let regions = (0..domains).map(|i| (domain(i).into(), region(i).into()));
        let local = NodeInfo {
            address: address(host).to_string(),
            incarnation: self.rng.random(),
            role: role as i32,
            stage: 0,
            domain: domain(usize::from(host) % domains),
            caller_address: match role {
                Role::Entry => format!("10.0.0.{host}:80"),
                Role::Control => String::new(),
            },
        };
        let config = FleetConfig {
            local,
            seeds: (0..3).map(address).collect(),
            regions: regions.collect(),
            failure_timeout: Duration::from_millis(1_700),
        };
        self.processes.push(Process {
            fleet: Fleet::new(config.clone()),
            address: address(host),
            role,
            alive: true,
            frozen: false,
            mute: false,
            partition: 0,
            cut_from: None,
            decisions: Vec::new(),
            confirmed: Vec::new(),
            config,
            inbox: Vec::new(),
        });
    }

    /// Starts a process anew, without what it knew.
    pub fn restart(&mut self, i: usize) {
        let process = &mut self.processes[i];
        process.config.local.incarnation = self.rng.random();
        process.fleet = Fleet::new(process.config.clone());
        process.alive = true;
        process.frozen = false;
        process.decisions.clear();
        process.confirmed.clear();
        process.inbox.clear();
    }

    pub fn with_role(&self, role: Role) -> Vec<usize> {
        let all = 0..self.processes.len();
        all.filter(|i| self.processes[*i].role == role).collect()
    }

    /// Sets the same items on all control VMs.
    pub fn set_items(&mut self, version: u64) {
        for i in self.with_role(Role::Control) {
            self.set_items_at(i, version);
        }
    }

    pub fn set_items_at(&mut self, i: usize, version: u64) {
        self.set_catalog_at(i, catalog(version));
    }

    pub fn set_catalog_at(&mut self, i: usize, catalog: Arc<Catalog>) {
        let effects = self.processes[i].fleet.set_catalog(self.now, catalog);
        self.apply(i, effects);
    }

    pub fn report(&mut self, i: usize, target: &Target) -> Option<u64> {
        let (update_id, effects) = self.processes[i].fleet.report_target(self.now, target);
        self.apply(i, effects);
        update_id
    }

    pub fn end(&mut self, i: usize, id: &str, incarnation: Option<u64>) -> Option<u64> {
        let (update_id, effects) = self.processes[i]
            .fleet
            .end_target(self.now, id, incarnation);
        self.apply(i, effects);
        update_id
    }

    pub fn request_permit(&mut self, i: usize, serial: u64) {
        let effects = self.processes[i]
            .fleet
            .request_permit(self.now, &permit_request(serial));
        self.apply(i, effects);
    }

    pub fn release_permit(&mut self, i: usize, serial: u64, report: &pimento_fleet::RequestReport) {
        let effects = self.processes[i]
            .fleet
            .release_permit(self.now, serial, report);
        self.apply(i, effects);
    }

    /// A process reports that a request got its answer.
    pub fn acquit(&mut self, i: usize, request: Fingerprint) {
        let effects = self.processes[i].fleet.acquit_request(self.now, request);
        self.apply(i, effects);
    }

    pub fn decision(&self, i: usize, serial: u64) -> Option<&PermitDecision> {
        let decisions = &self.processes[i].decisions;
        decisions.iter().find(|(s, _)| *s == serial).map(|(_, d)| d)
    }

    pub fn set_stage(&mut self, i: usize, stage: pimento_fleet::Stage) {
        let effects = self.processes[i].fleet.set_stage(self.now, stage);
        self.apply(i, effects);
    }

    /// The most bytes that were sent to any one process of a role within a
    /// second.
    pub fn busiest_second(&self, role: Role) -> usize {
        let maximum = |to: &usize| {
            let mut seconds: Vec<(u64, usize)> = Vec::new();
            for sent in self.traffic.iter().filter(|s| s.to == *to) {
                let second = sent.at.since(Time::ZERO).as_secs();
                match seconds.last_mut() {
                    Some((last, bytes)) if *last == second => *bytes += sent.bytes,
                    _ => seconds.push((second, sent.bytes)),
                }
            }
            seconds.iter().map(|(_, bytes)| *bytes).max().unwrap_or(0)
        };
        self.with_role(role).iter().map(maximum).max().unwrap_or(0)
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds. Returns whether it did within the time
    /// span.
    pub fn run_until(&mut self, span: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + span;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.step();
        }
        condition(self)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        self.empty_inboxes();
        while self
            .in_flight
            .front()
            .is_some_and(|(at, ..)| *at <= self.now)
        {
            let (_, from, to, datagram) = self.in_flight.pop_front().unwrap();
            if self.processes[to].frozen {
                self.processes[to].inbox.push((from, datagram));
            } else if self.processes[to].alive {
                let effects = self.processes[to].fleet.receive(self.now, from, datagram);
                self.apply(to, effects);
            }
        }
        if !self.steps.is_multiple_of(TICK_STEPS) {
            return;
        }
        for i in 0..self.processes.len() {
            if self.processes[i].alive && !self.processes[i].frozen {
                let effects = self.processes[i].fleet.tick(self.now);
                self.apply(i, effects);
            }
        }
    }

    /// Processes that stood still handle the datagrams that waited for them.
    fn empty_inboxes(&mut self) {
        for i in 0..self.processes.len() {
            if self.processes[i].frozen {
                continue;
            }
            for (from, datagram) in std::mem::take(&mut self.processes[i].inbox) {
                let effects = self.processes[i].fleet.receive(self.now, from, datagram);
                self.apply(i, effects);
            }
        }
    }

    fn apply(&mut self, i: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(i, to, message),
                Effect::Decided { serial, decision } => {
                    self.processes[i].decisions.push((serial, decision));
                }
                Effect::Confirmed { update_id } => self.processes[i].confirmed.push(update_id),
                Effect::ViewChanged => drop(self.processes[i].fleet.view()),
                Effect::Suspected(_) => self.suspected += 1,
                Effect::Lagging { .. } | Effect::Ruled(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: pimento_fleet::OutgoingMessage) {
        self.last_message += 1;
        let kind = message.kind();
        let found = self.processes.iter().position(|p| p.address == to);
        for datagram in message.into_datagrams(self.last_message) {
            let Some(to) = found else { return };
            self.traffic.push(SentDatagram {
                at: self.now,
                kind,
                to,
                bytes: datagram.len(),
            });
            let is_cut = self.processes[to].is_cut_from(&self.processes[from]);
            if is_cut || self.processes[from].mute || self.rng.random_bool(self.loss) {
                continue;
            }
            let from = self.processes[from].address;
            let at = self.now + STEP + self.delay + self.random_latency();
            let index = self.in_flight.partition_point(|(other, ..)| *other <= at);
            self.in_flight.insert(index, (at, from, to, datagram));
        }
    }

    fn random_latency(&mut self) -> Duration {
        if self.jitter.is_zero() {
            return Duration::ZERO;
        }
        self.jitter.mul_f64(self.rng.random())
    }
}
