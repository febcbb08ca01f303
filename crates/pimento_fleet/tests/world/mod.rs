//! Processes with a network between them that delays, loses and cuts, in
//! virtual time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use pimento_core::Time;
use pimento_fleet::{AcquirePermit, Effect, Fleet, FleetConfig, NodeInfo, PermitDecision, Role};
use pimento_items::{Body, Catalog, Changeset, Item, Service};
use pimento_registry::{Stage, Target};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

/// The step of virtual time.
const STEP: Duration = Duration::from_millis(10);
/// The steps between two ticks of a process.
const TICK: u64 = 5;

pub struct Process {
    pub fleet: Fleet,
    pub address: SocketAddr,
    pub role: Role,
    pub alive: bool,
    /// Processes can reach each other only with equal numbers.
    pub side: u8,
    /// The verdicts on its asks.
    pub verdicts: Vec<(u64, PermitDecision)>,
    /// The reports that are known.
    pub known: Vec<u64>,
}

pub struct World {
    pub now: Time,
    pub processes: Vec<Process>,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// How long datagrams take to entry VMs beyond a step.
    pub delay: Duration,
    /// How often a process was taken for lost.
    pub suspected: usize,
    /// The datagrams that were sent.
    pub traffic: Vec<Sent>,
    flying: VecDeque<(Time, SocketAddr, usize, bytes::Bytes)>,
    rng: SmallRng,
    steps: u64,
    messages: u64,
}

/// A datagram that was sent.
pub struct Sent {
    pub at: Time,
    pub kind: &'static str,
    /// The index of the receiver.
    pub to: usize,
    pub bytes: usize,
}

/// `c` control VMs, the first three of them seeds, and `e` entry VMs, spread
/// over the domains `a` and `b`.
pub fn world(c: u8, e: u8, seed: u64) -> World {
    crowd(c, e, 2, seed)
}

/// The same over more domains, two to a region.
pub fn crowd(c: u8, e: u8, domains: usize, seed: u64) -> World {
    let mut world = World {
        now: Time::from_millis(5_000),
        processes: Vec::new(),
        loss: 0.0,
        delay: Duration::ZERO,
        suspected: 0,
        traffic: Vec::new(),
        flying: VecDeque::new(),
        rng: SmallRng::seed_from_u64(seed),
        steps: 0,
        messages: 0,
    };
    for i in 0..c {
        world.add(i, Role::Control, domains);
    }
    for i in 0..e {
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

pub fn acquire(serial: u64) -> AcquirePermit {
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
        let named = (0..domains).map(|i| (domain(i).into(), region(i).into()));
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
            regions: named.collect(),
            failure_timeout: Duration::from_millis(1_700),
        };
        self.processes.push(Process {
            fleet: Fleet::new(config),
            address: address(host),
            role,
            alive: true,
            side: 0,
            verdicts: Vec::new(),
            known: Vec::new(),
        });
    }

    pub fn of(&self, role: Role) -> Vec<usize> {
        let all = 0..self.processes.len();
        all.filter(|i| self.processes[*i].role == role).collect()
    }

    /// Gives all control VMs the same items.
    pub fn set_items(&mut self, version: u64) {
        for i in self.of(Role::Control) {
            self.set_items_at(i, version);
        }
    }

    pub fn set_items_at(&mut self, i: usize, version: u64) {
        let effects = self.processes[i]
            .fleet
            .set_catalog(self.now, catalog(version));
        self.apply(i, effects);
    }

    pub fn report(&mut self, i: usize, target: &Target) -> Option<u64> {
        let (update_id, effects) = self.processes[i].fleet.report(self.now, target);
        self.apply(i, effects);
        update_id
    }

    pub fn ask(&mut self, i: usize, serial: u64) {
        let effects = self.processes[i].fleet.ask(self.now, &acquire(serial));
        self.apply(i, effects);
    }

    pub fn done(&mut self, i: usize, serial: u64, report: &pimento_fleet::RequestReport) {
        let effects = self.processes[i].fleet.done(self.now, serial, report);
        self.apply(i, effects);
    }

    pub fn verdict(&self, i: usize, serial: u64) -> Option<&PermitDecision> {
        let verdicts = &self.processes[i].verdicts;
        verdicts.iter().find(|(s, _)| *s == serial).map(|(_, v)| v)
    }

    pub fn stage(&mut self, i: usize, stage: pimento_fleet::Stage) {
        let effects = self.processes[i].fleet.set_stage(self.now, stage);
        self.apply(i, effects);
    }

    /// The most bytes that a process of a role was sent within a second.
    pub fn busiest_second(&self, role: Role) -> usize {
        let most = |to: &usize| {
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
        self.of(role).iter().map(most).max().unwrap_or(0)
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until something holds; whether it did within a time.
    pub fn until(&mut self, span: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + span;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.step();
        }
        holds(self)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        while self.flying.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, from, to, datagram) = self.flying.pop_front().unwrap();
            if self.processes[to].alive {
                let effects = self.processes[to].fleet.receive(self.now, from, datagram);
                self.apply(to, effects);
            }
        }
        if !self.steps.is_multiple_of(TICK) {
            return;
        }
        for i in 0..self.processes.len() {
            if self.processes[i].alive {
                let effects = self.processes[i].fleet.tick(self.now);
                self.apply(i, effects);
            }
        }
    }

    fn apply(&mut self, i: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(i, to, message),
                Effect::Decided { serial, decision } => {
                    self.processes[i].verdicts.push((serial, decision));
                }
                Effect::Confirmed { update_id } => self.processes[i].known.push(update_id),
                Effect::ViewChanged => drop(self.processes[i].fleet.view()),
                Effect::Suspected(_) => self.suspected += 1,
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: pimento_fleet::OutgoingMessage) {
        self.messages += 1;
        let kind = message.kind();
        let found = self.processes.iter().position(|p| p.address == to);
        for datagram in message.into_datagrams(self.messages) {
            let Some(to) = found else { return };
            self.traffic.push(Sent {
                at: self.now,
                kind,
                to,
                bytes: datagram.len(),
            });
            let cut = self.processes[to].side != self.processes[from].side;
            if cut || self.rng.random_bool(self.loss) {
                continue;
            }
            let from = self.processes[from].address;
            let at = self.now + STEP + self.delay;
            let place = self.flying.partition_point(|(other, ..)| *other <= at);
            self.flying.insert(place, (at, from, to, datagram));
        }
    }
}
