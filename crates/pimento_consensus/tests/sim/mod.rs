//! A group of replicas under a seeded schedule of faults, in virtual time.

#![allow(dead_code, reason = "each test file and the bench use a part of it")]

mod faults;
mod node;
mod oracle;

pub use faults::FaultPlan;
pub use node::Node;
pub use oracle::Oracle;

use bytes::Bytes;
use pimento_consensus::{Change, Effect, Member, Message, Raft, RejectReason, Role};
use pimento_core::{Time, VmId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// The step of virtual time.
pub const STEP: Duration = Duration::from_millis(5);
/// The shortest election timeout of the replicas.
pub const ELECTION: Duration = Duration::from_millis(100);
/// The replicas that found the group; the others are spare.
pub const FOUNDERS: usize = 3;

/// A message under way.
#[derive(Debug)]
struct Flight {
    at: Time,
    from: usize,
    to: usize,
    message: Message,
}

/// A group of replicas and all that is between them.
#[derive(Debug)]
pub struct Sim {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub oracle: Oracle,
    pub plan: FaultPlan,
    rng: SmallRng,
    flights: Vec<Flight>,
    /// Whether a replica's messages reach another one, by place.
    pub open: Vec<Vec<bool>>,
    serial: u64,
    /// The replica whose disk was replaced and that doesn't vote yet.
    pub wiped: Option<usize>,
    /// The bytes of all messages to each replica.
    pub received_bytes: Vec<usize>,
}

impl Sim {
    /// Starts some replicas with empty disks.
    pub fn new(size: usize, plan: FaultPlan, seed: u64) -> Self {
        let names: Vec<VmId> = (0..size).map(name).collect();
        let founders = names.iter().take(FOUNDERS.min(size));
        let peers: Vec<Member> = founders.map(|vm| Member::learner(vm, "")).collect();
        let mut sim = Self {
            now: Time::ZERO,
            nodes: Vec::new(),
            oracle: Oracle::default(),
            plan,
            rng: SmallRng::seed_from_u64(seed),
            flights: Vec::new(),
            open: vec![vec![true; size]; size],
            serial: 0,
            wiped: None,
            received_bytes: vec![0; size],
        };
        for vm in names {
            let folder_id = sim.rng.random_range(1..u64::MAX);
            sim.nodes.push(Node::new(vm, folder_id, peers.clone()));
        }
        for i in 0..size {
            sim.start(i);
        }
        sim
    }

    /// Starts a replica from what is durable.
    pub fn start(&mut self, i: usize) {
        let seed = self.rng.random();
        let effects = self.nodes[i].start(self.now, seed, self.plan.production);
        self.run(i, effects);
    }

    /// Stops a replica; some of its unsynced writes may have become durable.
    pub fn crash(&mut self, i: usize) {
        let writes = self.nodes[i].pending.len();
        let kept = self.rng.random_range(0..=writes);
        self.nodes[i].crash(kept);
        self.oracle.forget(i);
    }

    /// Replaces the disk of a replica by an empty one.
    pub fn wipe(&mut self, i: usize) {
        self.nodes[i].crash(0);
        self.oracle.forget(i);
        let folder_id = self.rng.random_range(1..u64::MAX);
        self.nodes[i].wipe(folder_id);
        self.wiped = Some(i);
        self.start(i);
    }

    /// Cuts a replica off from all others, or joins it again.
    pub fn cut(&mut self, i: usize, open: bool) {
        for other in (0..self.nodes.len()).filter(|other| *other != i) {
            self.open[i][other] = open;
            self.open[other][i] = open;
        }
    }

    /// Ends all faults and starts all replicas.
    pub fn heal(&mut self) {
        self.plan = FaultPlan::calm();
        for row in &mut self.open {
            row.fill(true);
        }
        for i in 0..self.nodes.len() {
            if self.nodes[i].raft.is_none() {
                self.start(i);
            }
        }
    }

    /// Lets virtual time pass.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Lets time pass until something holds; false if it never did.
    pub fn run_until(&mut self, limit: Duration, mut done: impl FnMut(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.step();
        }
        done(self)
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for i in 0..self.nodes.len() {
            self.sync(i);
            let now = self.now;
            let Some(raft) = &mut self.nodes[i].raft else {
                continue;
            };
            let effects = raft.tick(now);
            self.run(i, effects);
        }
        self.inject();
        self.note_repair();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = |flight: &mut Flight| flight.at <= now;
        let mut due: Vec<Flight> = self.flights.extract_if(.., due).collect();
        while !due.is_empty() {
            let next = self.rng.random_range(0..due.len());
            let flight = due.swap_remove(next);
            let from = name(flight.from);
            let Some(raft) = &mut self.nodes[flight.to].raft else {
                continue;
            };
            let effects = raft.receive(now, &from, flight.message);
            self.run(flight.to, effects);
        }
    }

    /// Ends some of the writes under way.
    fn sync(&mut self, i: usize) {
        let pending = self.nodes[i].pending.len();
        let stalled = self.rng.random_bool(self.plan.stall);
        if pending == 0 || stalled || self.nodes[i].raft.is_none() {
            return;
        }
        let count = self.rng.random_range(1..=pending);
        let seq = self.nodes[i].sync(count);
        let now = self.now;
        let Some(raft) = &mut self.nodes[i].raft else {
            return;
        };
        let effects = raft.record_synced(now, seq);
        self.run(i, effects);
    }

    /// Carries out what a replica asks for.
    pub fn run(&mut self, i: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.oracle.check(i, &self.nodes[i], &effect);
            match effect {
                Effect::Persist(write) => self.nodes[i].pending.push_back(write),
                Effect::Send { to, message } => self.send(i, &to, &message),
                Effect::Apply(entry) => self.nodes[i].apply(&entry),
                Effect::Restore { index, data } => self.nodes[i].restore(index, &data),
                _ => {}
            }
        }
        self.compact(i);
    }

    fn compact(&mut self, i: usize) {
        let (applied, data) = self.nodes[i].state();
        let now = self.now;
        let every = self.plan.compact_every;
        let Some(raft) = &mut self.nodes[i].raft else {
            return;
        };
        let taken = raft.snapshot().map_or(0, |s| s.index);
        if applied >= taken + every {
            let effects = raft.compact(now, applied, data);
            self.run(i, effects);
        }
    }

    fn send(&mut self, from: usize, to: &VmId, message: &Message) {
        let Some(to) = self.nodes.iter().position(|n| n.vm == *to) else {
            return;
        };
        self.received_bytes[to] += prost::Message::encoded_len(message);
        let copies = 1 + usize::from(self.rng.random_bool(self.plan.duplicate));
        for _ in 0..copies {
            let lost = self.rng.random_bool(self.plan.loss);
            if lost || !self.open[from][to] {
                continue;
            }
            let delay = self.rng.random_range(1..=self.plan.delay);
            self.flights.push(Flight {
                at: self.now + Duration::from_millis(delay),
                from,
                to,
                message: message.clone(),
            });
        }
    }

    /// Proposes a new command at a replica; its number.
    pub fn propose(&mut self, i: usize) -> u64 {
        self.propose_size(i, 8)
    }

    /// Proposes a new command with some bytes.
    pub fn propose_size(&mut self, i: usize, size: usize) -> u64 {
        self.serial += 1;
        let id = self.serial;
        let mut payload = id.to_le_bytes().to_vec();
        payload.resize(size.max(8), 0);
        let now = self.now;
        if let Some(raft) = &mut self.nodes[i].raft {
            let effects = raft.propose(now, id, Bytes::from(payload));
            self.run(i, effects);
        }
        id
    }

    /// Asks a replica for a confirmed read; its number.
    pub fn read(&mut self, i: usize) -> u64 {
        self.serial += 1;
        let id = self.serial;
        let now = self.now;
        if let Some(raft) = &mut self.nodes[i].raft {
            self.oracle.begin_read(i, id);
            let effects = raft.read_index(now, id);
            self.run(i, effects);
        }
        id
    }

    /// Changes the members at a replica; whether it was accepted.
    pub fn change(&mut self, i: usize, change: Change) -> Result<(), RejectReason> {
        self.serial += 1;
        let id = self.serial;
        let now = self.now;
        let Some(raft) = &mut self.nodes[i].raft else {
            return Err(RejectReason::TooManyUncommitted);
        };
        let effects = raft.change_members(now, id, change);
        let refused = effects.iter().find_map(|e| match e {
            Effect::Rejected { reason, .. } => Some(reason.clone()),
            _ => None,
        });
        self.run(i, effects);
        refused.map_or(Ok(()), Err)
    }

    /// Asks a replica to hand over, if it leads.
    pub fn hand_over(&mut self, i: usize) {
        let now = self.now;
        if let Some(raft) = &mut self.nodes[i].raft {
            let effects = raft.transfer_leadership(now);
            self.run(i, effects);
        }
    }

    /// The leader with the newest term, if any replica leads.
    pub fn leader(&self) -> Option<usize> {
        let leads = |i: &usize| {
            let raft = self.nodes[*i].raft.as_ref();
            raft.is_some_and(|r| r.status().role == Role::Leader)
        };
        let term = |i: &usize| self.nodes[*i].raft.as_ref().map(|r| r.status().term);
        (0..self.nodes.len()).filter(leads).max_by_key(term)
    }

    /// The core of that leader.
    pub fn leading(&self) -> Option<&Raft> {
        self.leader().and_then(|i| self.nodes[i].raft.as_ref())
    }

    /// The number of voters by the newest leader.
    pub fn voters(&self) -> usize {
        self.leading().map_or(0, |r| r.members().voters().count())
    }

    /// A random choice of the schedule.
    pub fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    /// A random replica of the schedule.
    pub fn pick(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }
}

/// The name of a replica.
pub fn name(i: usize) -> VmId {
    VmId::new(format!("vm{i}")).expect("a good name")
}
