//! All members of a system in virtual time.

use super::{
    event::{Event, Queue},
    layout::{self, Layout},
};
use pimento_core::Time;
use pimento_members::{Body, Config, Effect, Members, Message, ServiceLoad};
use prost::Message as _;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::{Duration, Instant};

/// The time between ticks of a core.
const TICK: Duration = Duration::from_millis(100);

/// The bytes of a message beside its payload: the link's frame with channel and
/// check (16) and the share of TCP/IP headers and acknowledgements (24), since
/// small messages of one moment share segments with others of the link.
pub const FRAMING: u64 = 40;

/// The time to fetch and put in force a delta of the rules, beside the way.
const PULL: Duration = Duration::from_millis(20);

/// The bytes of such a fetch: a question and a delta of one note.
const PULL_BYTES: u64 = 600;

/// The services that each node holds slots for.
const SERVICES: [&str; 4] = ["shifts", "sign-ups", "wage-advances", "roster"];

/// What one node has spent.
#[derive(Clone, Copy, Default)]
pub struct Spent {
    pub messages: u64,
    pub sent: u64,
    pub received: u64,
    /// The sent bytes by kind: heartbeats, greetings, summaries, rules.
    pub kinds: [u64; 4],
}

pub struct Node {
    pub members: Option<Members>,
    pub spent: Spent,
    pub version: u64,
    incarnation: u64,
    /// The version that is being fetched.
    pulling: u64,
}

/// Which nodes can't reach each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cut {
    None,
    /// One domain from all others.
    Domain(usize),
    /// Two regions from each other.
    Regions(usize, usize),
}

pub struct Sim {
    pub layout: Layout,
    pub now: Time,
    pub nodes: Vec<Node>,
    /// The share of messages that are lost, in percent.
    pub loss: f64,
    pub cut: Cut,
    /// The wall time spent in the cores, codecs included.
    pub work: Duration,
    /// When a node declared another one dead: (time, by, whom).
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
            cut: Cut::None,
            work: Duration::ZERO,
            deaths: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            queue: Queue::default(),
        };
        for node in 0..layout.nodes {
            sim.nodes.push(Node {
                members: None,
                spent: Spent::default(),
                version: 0,
                incarnation: 0,
                pulling: 0,
            });
            sim.start(node);
            let offset = Duration::from_micros(sim.rng.random_range(0..100_000));
            sim.queue.put(Time::ZERO + offset, Event::Tick(node));
        }
        sim
    }

    /// Starts a node's process, or starts it again.
    pub fn start(&mut self, node: usize) {
        let info = self.layout.info(node, self.nodes[node].incarnation);
        let config = Config::new(info, self.layout.seeds());
        let mut members = Members::new(config, self.now, self.rng.random());
        members.set_load(self.loads());
        members.set_version(self.nodes[node].version);
        self.nodes[node].incarnation += 1;
        self.nodes[node].members = Some(members);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].members = None;
    }

    /// Puts rules of a version in force at one node.
    pub fn release(&mut self, node: usize, version: u64) {
        self.nodes[node].version = version;
        if let Some(members) = &mut self.nodes[node].members {
            members.set_version(version);
        }
    }

    /// Clears what was counted.
    pub fn reset(&mut self) {
        self.work = Duration::ZERO;
        self.deaths.clear();
        for node in &mut self.nodes {
            node.spent = Spent::default();
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((at, event)) = self.queue.next(end) {
            self.now = at;
            match event {
                Event::Tick(node) => self.tick(node),
                Event::Message(node, bytes) => self.receive(node, &bytes),
                Event::Pulled(node, version) => self.pulled(node, version),
            }
        }
        self.now = end;
    }

    /// Runs until something holds; the time that it took, if it did in time.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if holds(self) {
                return Some(self.now.since(start));
            }
            self.run(TICK);
        }
        None
    }

    fn tick(&mut self, node: usize) {
        self.queue.put(self.now + TICK, Event::Tick(node));
        // Loads change all the time; half of the ticks bring new numbers.
        let loads = self.rng.random_bool(0.5).then(|| self.loads());
        let now = self.now;
        let Some(members) = self.nodes[node].members.as_mut() else {
            return;
        };
        let start = Instant::now();
        if let Some(loads) = loads {
            members.set_load(loads);
        }
        let effects = members.tick(now);
        self.work += start.elapsed();
        self.apply(node, effects);
    }

    fn receive(&mut self, node: usize, bytes: &[u8]) {
        let now = self.now;
        let node_ = &mut self.nodes[node];
        let Some(members) = node_.members.as_mut() else {
            return;
        };
        node_.spent.received += bytes.len() as u64 + FRAMING;
        let start = Instant::now();
        let message = Message::decode(bytes).expect("encoded here");
        let effects = members.receive(now, message);
        self.work += start.elapsed();
        self.apply(node, effects);
    }

    fn pulled(&mut self, node: usize, version: u64) {
        let node = &mut self.nodes[node];
        node.version = node.version.max(version);
        if let Some(members) = &mut node.members {
            members.set_version(version);
        }
    }

    fn apply(&mut self, from: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(from, layout::node(to), &message),
                Effect::NewerRules { version, link, .. } => {
                    self.pull(from, layout::node(link), version);
                }
                Effect::Dead(vm) => self.deaths.push((self.now, from, vm.to_string())),
                Effect::Alive(_) | Effect::Left(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let start = Instant::now();
        let bytes = message.encode_to_vec();
        self.work += start.elapsed();
        let spent = &mut self.nodes[from].spent;
        spent.messages += 1;
        let size = bytes.len() as u64 + FRAMING;
        spent.sent += size;
        spent.kinds[kind(message)] += size;
        if to >= self.nodes.len() || self.is_cut(from, to) || self.is_lost() {
            return;
        }
        let delay = self.layout.delay(from, to);
        let delay = delay * self.rng.random_range(100..130) / 100;
        self.queue.put(self.now + delay, Event::Message(to, bytes));
    }

    /// Fetches rules from a peer that has them.
    fn pull(&mut self, node: usize, from: usize, version: u64) {
        if self.nodes[node].pulling >= version || self.is_cut(node, from) {
            return;
        }
        // A lost fetch is tried again on the next message that shows a version.
        if self.is_lost() {
            return;
        }
        self.nodes[node].pulling = version;
        self.nodes[node].spent.received += PULL_BYTES;
        self.nodes[from].spent.sent += PULL_BYTES;
        self.nodes[from].spent.kinds[RULES] += PULL_BYTES;
        let way = self.layout.delay(node, from) * 2;
        self.queue
            .put(self.now + way + PULL, Event::Pulled(node, version));
    }

    fn is_lost(&mut self) -> bool {
        self.loss > 0.0 && self.rng.random_bool(self.loss / 100.0)
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let layout = &self.layout;
        match self.cut {
            Cut::None => false,
            Cut::Domain(d) => (layout.domain(a) == d) != (layout.domain(b) == d),
            Cut::Regions(x, y) => {
                let pair = (layout.region(a), layout.region(b));
                pair == (x, y) || pair == (y, x)
            }
        }
    }

    fn loads(&mut self) -> Vec<ServiceLoad> {
        let load = |name: &&str| ServiceLoad {
            service: name.parse().expect("good name"),
            slots: 6,
            free: self.rng.random_range(0..=6),
            queued: self.rng.random_range(0..20),
            latency: self.rng.random_range(5_000..300_000),
            cold: 0,
        };
        SERVICES.iter().map(load).collect()
    }

    /// Whether each running node counts all running ones of its domain live,
    /// and has summaries of all other domains.
    pub fn is_whole(&self) -> bool {
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

    /// Whether all running nodes have a version.
    pub fn has_all(&self, version: u64) -> bool {
        let running = self.nodes.iter().filter(|n| n.members.is_some());
        running.into_iter().all(|n| n.version >= version)
    }
}

/// The kind of a fetch of rules.
const RULES: usize = 3;

/// The kind of a message in [`Spent::kinds`].
fn kind(message: &Message) -> usize {
    match message.body {
        Some(Body::Heartbeat(_)) => 0,
        Some(Body::Summary(_)) => 2,
        Some(Body::Hello(_) | Body::Leave(_)) | None => 1,
    }
}

/// The resident memory of this process in bytes.
pub fn resident() -> u64 {
    /// The size of a page of memory on the machines that this runs on.
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages.and_then(|p| p.parse::<u64>().ok()).unwrap_or(0) * PAGE
}
