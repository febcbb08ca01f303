//! A simulated network of members in virtual time.

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
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum delay of a message.
const MAX_DELAY_MS: u64 = 30;

/// A message in flight: its arrival time, its number and its receiver's address.
type InFlight = Reverse<(Time, u64, SocketAddr)>;

pub struct Node {
    pub members: Option<Members>,
    pub info: VmInfo,
    /// The side of a network partition; messages only pass between nodes of one
    /// side.
    pub partition: u32,
    /// The effects other than messages, with their times.
    pub events: Vec<(Time, Effect)>,
}

pub struct Network {
    pub now: Time,
    pub nodes: Vec<Node>,
    /// The percentage of messages that are lost.
    pub loss_percent: u32,
    /// Two nodes that can't reach each other, while others reach both.
    pub cut_pair: Option<(usize, usize)>,
    rng: SmallRng,
    in_flight: BinaryHeap<InFlight>,
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

impl Network {
    /// Starts domains with the given numbers of VMs, all at once. The first VM of
    /// each domain is a seed.
    pub fn new(domains: &[usize], seed: u64) -> Self {
        let mut net = Self {
            now: Time::ZERO,
            nodes: Vec::new(),
            loss_percent: 0,
            cut_pair: None,
            rng: SmallRng::seed_from_u64(seed),
            in_flight: BinaryHeap::new(),
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
                    partition: 0,
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

    /// Stops a node's process without notice.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].members = None;
    }

    /// Restarts a node's process with the next incarnation.
    pub fn restart(&mut self, node: usize) {
        self.nodes[node].info.incarnation += 1;
        self.start(node);
    }

    /// Announces the graceful shutdown of a node, and stops it.
    pub fn leave(&mut self, node: usize) {
        let now = self.now;
        let members = self.nodes[node].members.as_mut().expect("running");
        let effects = members.leave(now);
        self.apply(node, effects);
        self.kill(node);
    }

    /// Runs for a number of seconds.
    pub fn run_for(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.step();
        }
    }

    /// Runs for one tick, in which a message and its reply can arrive.
    pub fn step(&mut self) {
        self.now += TICK_INTERVAL;
        self.deliver();
        for node in 0..self.nodes.len() {
            let now = self.now;
            let members = self.nodes[node].members.as_mut();
            let effects = members.map(|m| m.tick(now));
            self.apply(node, effects.unwrap_or_default());
        }
    }

    /// Runs until the condition holds, and returns the seconds that it took.
    pub fn run_until(&mut self, limit_secs: u64, condition: impl Fn(&Self) -> bool) -> u64 {
        for second in 0..limit_secs {
            if condition(self) {
                return second;
            }
            self.run_for(1);
        }
        assert!(
            condition(self),
            "the condition does not hold after {limit_secs} s"
        );
        limit_secs
    }

    fn deliver(&mut self) {
        while let Some(Reverse((arrival, number, to))) = self.in_flight.peek().copied() {
            if arrival > self.now {
                return;
            }
            self.in_flight.pop();
            let message = self.messages[number as usize].take().expect("sent once");
            let receiver = self.nodes.iter().position(|n| n.info.link == to);
            let Some(node) = receiver else {
                continue;
            };
            let Some(members) = self.nodes[node].members.as_mut() else {
                continue;
            };
            let effects = members.receive(arrival, Arc::unwrap_or_clone(message));
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
            let is_reachable = receiver.is_some_and(|r| {
                let is_cut = self.cut_pair == Some((r, node)) || self.cut_pair == Some((node, r));
                self.nodes[r].partition == self.nodes[node].partition && !is_cut
            });
            if !is_reachable || self.rng.random_range(0..100) < self.loss_percent {
                continue;
            }
            let arrival = self.now + Duration::from_millis(self.rng.random_range(1..=MAX_DELAY_MS));
            let number = self.messages.len() as u64;
            self.messages.push(Some(message));
            self.in_flight.push(Reverse((arrival, number, to)));
        }
    }

    pub fn members(&self, node: usize) -> &Members {
        self.nodes[node].members.as_ref().expect("running")
    }

    /// Whether each running node counts exactly the other running nodes of its
    /// domain on its side of the partition as live.
    pub fn views_agree(&self) -> bool {
        let running = || self.nodes.iter().filter(|n| n.members.is_some());
        running().all(|n| {
            let members = n.members.as_ref().expect("running");
            let is_peer = |o: &&Node| {
                o.info.domain == n.info.domain
                    && o.info.vm != n.info.vm
                    && o.partition == n.partition
            };
            let mut expected: Vec<&VmId> = running().filter(is_peer).map(|o| &o.info.vm).collect();
            expected.sort();
            members.live().map(|p| &p.info.vm).eq(expected)
        })
    }

    /// Whether each running node has recent summaries of at least that many other
    /// domains.
    pub fn knows_domains(&self, min_domains: usize, max_age_secs: u64) -> bool {
        let running = self.nodes.iter().filter_map(|n| n.members.as_ref());
        let mut counts = running.map(|m| {
            let max_age = Duration::from_secs(max_age_secs);
            let domains = m.domains().iter();
            domains.filter(|d| d.age(self.now) <= max_age).count()
        });
        counts.all(|count| count >= min_domains)
    }

    /// How often a node declared another one dead.
    pub fn death_reports(&self) -> usize {
        let events = self.nodes.iter().flat_map(|n| &n.events);
        events.filter(|(_, e)| matches!(e, Effect::Dead(_))).count()
    }
}
