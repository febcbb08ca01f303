//! Discrete-event simulation of the membership cores of all nodes.

use super::{
    event::{Event, Queue},
    layout::{self, Layout},
};
use pimento_core::Time;
use pimento_members::{Body, Config, Effect, Members, Message, ServiceLoad};
use prost::Message as _;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::{Duration, Instant};

/// Time between two ticks of a membership core.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Overhead per message in bytes: the link frame with channel and checksum (16)
/// and a share of the TCP/IP headers and acknowledgements (24). It is only a
/// share because small messages sent together on a link share TCP segments.
pub const OVERHEAD_BYTES: u64 = 40;

/// Time to serve and apply a delta of the rules, without network delay.
const PULL_PROCESSING_TIME: Duration = Duration::from_millis(20);

/// Bytes of a pull: the request and a delta of one release note.
const PULL_BYTES: u64 = 600;

/// The services that each node has slots for.
const SERVICES: [&str; 4] = ["shifts", "sign-ups", "wage-advances", "roster"];

/// Traffic counters of one node.
#[derive(Clone, Copy, Default)]
pub struct Traffic {
    pub messages: u64,
    pub sent: u64,
    pub received: u64,
    /// Sent bytes by kind: heartbeats, hello and leave messages, summaries, rules.
    pub kind_bytes: [u64; 4],
}

/// A node of the simulation.
pub struct Node {
    /// The membership core; `None` while the process is down.
    pub members: Option<Members>,
    pub traffic: Traffic,
    pub version: u64,
    incarnation: u64,
    /// The newest version that was pulled or is being pulled.
    pulling_version: u64,
}

/// A network partition: which nodes can't reach each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Partition {
    None,
    /// One domain is cut off from all others.
    Domain(usize),
    /// Two regions are cut off from each other.
    Regions(usize, usize),
}

/// The simulated system: nodes, network and virtual clock.
pub struct Sim {
    pub layout: Layout,
    pub now: Time,
    pub nodes: Vec<Node>,
    /// Share of messages that are lost, in percent.
    pub loss: f64,
    pub partition: Partition,
    /// Wall time spent in the cores, including encoding and decoding.
    pub processing_time: Duration,
    /// Declared deaths: (time, declaring node, name of the dead VM).
    pub deaths: Vec<(Time, usize, String)>,
    rng: SmallRng,
    queue: Queue,
}

impl Sim {
    pub fn new(layout: Layout, seed: u64) -> Self {
        let mut sim = Self {
            layout,
            now: Time::ZERO,
            nodes: Vec::new(),
            loss: 0.0,
            partition: Partition::None,
            processing_time: Duration::ZERO,
            deaths: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            queue: Queue::default(),
        };
        for node in 0..layout.nodes {
            sim.nodes.push(Node {
                members: None,
                traffic: Traffic::default(),
                version: 0,
                incarnation: 0,
                pulling_version: 0,
            });
            sim.start(node);
            let offset = Duration::from_micros(sim.rng.random_range(0..100_000));
            sim.queue.push(Time::ZERO + offset, Event::Tick(node));
        }
        sim
    }

    /// Starts or restarts a node's process with a new incarnation.
    pub fn start(&mut self, node: usize) {
        let info = self.layout.info(node, self.nodes[node].incarnation);
        let config = Config::new(info, self.layout.seeds());
        let mut members = Members::new(config, self.now, self.rng.random());
        members.set_load(self.random_loads());
        members.set_version(self.nodes[node].version);
        self.nodes[node].incarnation += 1;
        self.nodes[node].members = Some(members);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].members = None;
    }

    /// Puts rules of this version in force at one node.
    pub fn set_rules_version(&mut self, node: usize, version: u64) {
        self.nodes[node].version = version;
        if let Some(members) = &mut self.nodes[node].members {
            members.set_version(version);
        }
    }

    /// Clears the traffic counters, processing time and declared deaths.
    pub fn reset_counters(&mut self) {
        self.processing_time = Duration::ZERO;
        self.deaths.clear();
        for node in &mut self.nodes {
            node.traffic = Traffic::default();
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = at;
            match event {
                Event::Tick(node) => self.tick(node),
                Event::Message(node, bytes) => self.receive(node, &bytes),
                Event::PullFinished(node, version) => self.finish_pull(node, version),
            }
        }
        self.now = end;
    }

    /// Runs until a condition holds; returns the elapsed time, or `None` if it did
    /// not hold within the limit.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if condition(self) {
                return Some(self.now.since(start));
            }
            self.run(TICK_INTERVAL);
        }
        None
    }

    fn tick(&mut self, node: usize) {
        self.queue.push(self.now + TICK_INTERVAL, Event::Tick(node));
        // Loads change constantly: every second tick on average brings new ones.
        let loads = self.rng.random_bool(0.5).then(|| self.random_loads());
        let now = self.now;
        let Some(members) = self.nodes[node].members.as_mut() else {
            return;
        };
        let start = Instant::now();
        if let Some(loads) = loads {
            members.set_load(loads);
        }
        let effects = members.tick(now);
        self.processing_time += start.elapsed();
        self.apply_effects(node, effects);
    }

    fn receive(&mut self, node: usize, bytes: &[u8]) {
        let now = self.now;
        let state = &mut self.nodes[node];
        let Some(members) = state.members.as_mut() else {
            return;
        };
        state.traffic.received += bytes.len() as u64 + OVERHEAD_BYTES;
        let start = Instant::now();
        let message = Message::decode(bytes).expect("a message that the simulation encoded");
        let effects = members.receive(now, message);
        self.processing_time += start.elapsed();
        self.apply_effects(node, effects);
    }

    fn finish_pull(&mut self, node: usize, version: u64) {
        let node = &mut self.nodes[node];
        node.version = node.version.max(version);
        if let Some(members) = &mut node.members {
            members.set_version(version);
        }
    }

    fn apply_effects(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(from, layout::node_at(to), &message),
                Effect::NewerRules { version, link, .. } => {
                    self.start_pull(from, layout::node_at(link), version);
                }
                Effect::Dead(vm) => self.deaths.push((self.now, from, vm.to_string())),
                Effect::Alive(_) | Effect::Left(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let start = Instant::now();
        let bytes = message.encode_to_vec();
        self.processing_time += start.elapsed();
        let traffic = &mut self.nodes[from].traffic;
        traffic.messages += 1;
        let size = bytes.len() as u64 + OVERHEAD_BYTES;
        traffic.sent += size;
        traffic.kind_bytes[traffic_kind(message)] += size;
        if to >= self.nodes.len() || self.is_partitioned(from, to) || self.is_lost() {
            return;
        }
        let delay = self.layout.delay(from, to);
        let delay = delay * self.rng.random_range(100..130) / 100;
        self.queue.push(self.now + delay, Event::Message(to, bytes));
    }

    /// Pulls rules from a peer that announced a newer version.
    fn start_pull(&mut self, node: usize, from: usize, version: u64) {
        if self.nodes[node].pulling_version >= version || self.is_partitioned(node, from) {
            return;
        }
        // A lost pull is retried on the next message that announces a version.
        if self.is_lost() {
            return;
        }
        self.nodes[node].pulling_version = version;
        self.nodes[node].traffic.received += PULL_BYTES;
        self.nodes[from].traffic.sent += PULL_BYTES;
        self.nodes[from].traffic.kind_bytes[RULES_KIND] += PULL_BYTES;
        let round_trip = self.layout.delay(node, from) * 2;
        self.queue.push(
            self.now + round_trip + PULL_PROCESSING_TIME,
            Event::PullFinished(node, version),
        );
    }

    fn is_lost(&mut self) -> bool {
        self.loss > 0.0 && self.rng.random_bool(self.loss / 100.0)
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let layout = &self.layout;
        match self.partition {
            Partition::None => false,
            Partition::Domain(d) => (layout.domain(a) == d) != (layout.domain(b) == d),
            Partition::Regions(x, y) => {
                let pair = (layout.region(a), layout.region(b));
                pair == (x, y) || pair == (y, x)
            }
        }
    }

    fn random_loads(&mut self) -> Vec<ServiceLoad> {
        let load = |name: &&str| ServiceLoad {
            service: name.parse().expect("a valid name"),
            slots: 6,
            free: self.rng.random_range(0..=6),
            queued: self.rng.random_range(0..20),
            latency: self.rng.random_range(5_000..300_000),
            cold: 0,
        };
        SERVICES.iter().map(load).collect()
    }

    /// Whether each running node sees exactly the running nodes of its domain as
    /// live and has summaries of all other running domains.
    pub fn is_converged(&self) -> bool {
        let mut sizes = vec![0; self.layout.domains];
        for (n, node) in self.nodes.iter().enumerate() {
            sizes[self.layout.domain(n)] += usize::from(node.members.is_some());
        }
        let domains = sizes.iter().filter(|s| **s > 0).count();
        let mut running = self.nodes.iter().enumerate();
        running.all(|(n, node)| {
            node.members.as_ref().is_none_or(|m| {
                let known = m.domains().iter().filter(|d| !d.services.is_empty());
                m.live().count() + 1 == sizes[self.layout.domain(n)] && known.count() + 1 >= domains
            })
        })
    }

    /// Whether all running nodes have at least this version.
    pub fn all_have_version(&self, version: u64) -> bool {
        let running = self.nodes.iter().filter(|n| n.members.is_some());
        running.into_iter().all(|n| n.version >= version)
    }
}

/// Index of rules pulls in [`Traffic::kind_bytes`].
const RULES_KIND: usize = 3;

/// Index of a message in [`Traffic::kind_bytes`].
fn traffic_kind(message: &Message) -> usize {
    match message.body {
        Some(Body::Heartbeat(_)) => 0,
        Some(Body::Summary(_)) => 2,
        Some(Body::Hello(_) | Body::Leave(_)) | None => 1,
    }
}

/// Returns the resident memory of this process in bytes.
pub fn resident_bytes() -> u64 {
    /// Size of a memory page in bytes on the machines that this runs on.
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * PAGE_BYTES
}
