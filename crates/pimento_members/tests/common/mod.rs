//! A network of members in virtual time.

#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses its own part of the network"
)]

use pimento_core::{Time, VmId};
use pimento_members::{Config, Effect, Members, Message, VmInfo};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, sync::Arc, time::Duration};

/// The time between ticks of each member.
const TICK: Duration = Duration::from_millis(100);

/// The longest delay of a message, in milliseconds.
const DELAY: u64 = 30;

/// A message on its way: when it arrives, its number, its receiver's address.
type Flight = Reverse<(Time, u64, SocketAddr)>;

pub struct Node {
    pub members: Option<Members>,
    pub info: VmInfo,
    /// Messages pass only between nodes of one group.
    pub group: u32,
    /// What the node said of others: when, and what.
    pub events: Vec<(Time, Effect)>,
}

pub struct Net {
    pub now: Time,
    pub nodes: Vec<Node>,
    /// The share of messages that are lost, in percent.
    pub loss: u32,
    /// Two nodes that can't reach each other.
    pub pair: Option<(usize, usize)>,
    rng: SmallRng,
    flights: BinaryHeap<Flight>,
    messages: Vec<Option<Arc<Message>>>,
    seeds: Vec<SocketAddr>,
}

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7_100))
}

pub fn info(domain: usize, vm: usize, node: usize) -> VmInfo {
    let link = address(node);
    let listen = |port| Some(SocketAddr::new(link.ip(), port));
    VmInfo {
        vm: format!("d{domain}-vm{vm}").parse().expect("good name"),
        region: format!("r{}", domain / 2).parse().expect("good name"),
        domain: format!("d{domain}").parse().expect("good name"),
        incarnation: 1,
        link,
        callers: listen(80),
        forwards: listen(81),
        targets: listen(82),
    }
}

impl Net {
    /// Domains with so many VMs each, which all start at once. The first VM of
    /// each domain is a seed.
    pub fn new(domains: &[usize], seed: u64) -> Self {
        let mut net = Self {
            now: Time::ZERO,
            nodes: Vec::new(),
            loss: 0,
            pair: None,
            rng: SmallRng::seed_from_u64(seed),
            flights: BinaryHeap::new(),
            messages: Vec::new(),
            seeds: Vec::new(),
        };
        for (domain, vms) in domains.iter().enumerate() {
            net.seeds.push(address(net.nodes.len()));
            for vm in 0..*vms {
                let info = info(domain, vm, net.nodes.len());
                net.nodes.push(Node {
                    members: None,
                    info,
                    group: 0,
                    events: Vec::new(),
                });
            }
        }
        for node in 0..net.nodes.len() {
            net.start(node);
        }
        net
    }

    /// Starts a node's process.
    pub fn start(&mut self, node: usize) {
        let info = self.nodes[node].info.clone();
        let config = Config::new(info, self.seeds.clone());
        let members = Members::new(config, self.now, self.rng.random());
        self.nodes[node].members = Some(members);
    }

    /// Ends a node's process with no word to the others.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].members = None;
    }

    /// Starts a node's process again, as a later incarnation.
    pub fn restart(&mut self, node: usize) {
        self.nodes[node].info.incarnation += 1;
        self.start(node);
    }

    /// Lets a planned stop of a node be known, and ends it.
    pub fn leave(&mut self, node: usize) {
        let now = self.now;
        let members = self.nodes[node].members.as_mut().expect("running");
        let effects = members.leave(now);
        self.apply(node, effects);
        self.kill(node);
    }

    /// Runs for a number of seconds.
    pub fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.step();
        }
    }

    /// Runs for one tick, in which a message and its answer can pass.
    pub fn step(&mut self) {
        self.now += TICK;
        self.deliver();
        for node in 0..self.nodes.len() {
            let now = self.now;
            let members = self.nodes[node].members.as_mut();
            let effects = members.map(|m| m.tick(now));
            self.apply(node, effects.unwrap_or_default());
        }
    }

    /// Runs until something holds, and returns the seconds that it took.
    pub fn run_until(&mut self, limit: u64, holds: impl Fn(&Self) -> bool) -> u64 {
        for second in 0..limit {
            if holds(self) {
                return second;
            }
            self.run(1);
        }
        assert!(holds(self), "not within {limit} s");
        limit
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, number, to))) = self.flights.peek().copied() {
            if at > self.now {
                return;
            }
            self.flights.pop();
            let message = self.messages[number as usize].take().expect("sent once");
            let found = self.nodes.iter().position(|n| n.info.link == to);
            let Some(node) = found else {
                continue;
            };
            let Some(members) = self.nodes[node].members.as_mut() else {
                continue;
            };
            let effects = members.receive(at, Arc::unwrap_or_clone(message));
            self.apply(node, effects);
        }
    }

    fn apply(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            let Effect::Send { to, message } = effect else {
                self.nodes[node].events.push((self.now, effect));
                continue;
            };
            let receiver = self.nodes.iter().position(|n| n.info.link == to);
            let reached = receiver.is_some_and(|r| {
                let apart = self.pair == Some((r, node)) || self.pair == Some((node, r));
                self.nodes[r].group == self.nodes[node].group && !apart
            });
            if !reached || self.rng.random_range(0..100) < self.loss {
                continue;
            }
            let at = self.now + Duration::from_millis(self.rng.random_range(1..=DELAY));
            let number = self.messages.len() as u64;
            self.messages.push(Some(message));
            self.flights.push(Reverse((at, number, to)));
        }
    }

    pub fn members(&self, node: usize) -> &Members {
        self.nodes[node].members.as_ref().expect("running")
    }

    /// Whether all running nodes of each group see all others of their domain
    /// in that group live, and no others.
    pub fn agrees(&self) -> bool {
        let running = || self.nodes.iter().filter(|n| n.members.is_some());
        running().all(|n| {
            let members = n.members.as_ref().expect("running");
            let same = |o: &&Node| {
                o.info.domain == n.info.domain && o.info.vm != n.info.vm && o.group == n.group
            };
            let mut expected: Vec<&VmId> = running().filter(same).map(|o| &o.info.vm).collect();
            expected.sort();
            members.live().map(|p| &p.info.vm).eq(expected)
        })
    }

    /// Whether all running nodes know a summary, not older than some seconds,
    /// of a number of domains.
    pub fn covers(&self, domains: usize, age: u64) -> bool {
        let running = self.nodes.iter().filter_map(|n| n.members.as_ref());
        let mut counts = running.map(|m| {
            let age = Duration::from_secs(age);
            let fresh = m.domains().iter();
            fresh.filter(|d| d.age(self.now) <= age).count()
        });
        counts.all(|count| count >= domains)
    }

    /// How often nodes declared another one dead.
    pub fn deaths(&self) -> usize {
        let events = self.nodes.iter().flat_map(|n| &n.events);
        events.filter(|(_, e)| matches!(e, Effect::Dead(_))).count()
    }
}
