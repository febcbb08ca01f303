//! The faults of a schedule.

use super::{FOUNDERS, Sim, name};
use pimento_consensus::{Change, Raft};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// The chances of each fault, for each message or each step and replica.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    /// A message is lost.
    pub loss: f64,
    /// A message arrives twice.
    pub duplicate: f64,
    /// The longest delay of a message, in milliseconds.
    pub delay: u64,
    /// A disk makes no progress in a step.
    pub stall: f64,
    /// A replica crashes, or a crashed one starts, in a step.
    pub crash: f64,
    /// A connection between two replicas breaks or heals, one way.
    pub cut: f64,
    /// A crash or a cut ends in a step.
    pub recovery: f64,
    /// A disk is lost and replaced by an empty one.
    pub wipe: f64,
    /// The members are changed.
    pub change: f64,
    /// A replica is asked to hand over.
    pub handover: f64,
    /// A command is proposed.
    pub propose: f64,
    /// A read is asked for.
    pub read: f64,
    /// The entries after which a snapshot is taken.
    pub compact_every: u64,
    /// Whether replicas have the settings of production rather than short
    /// timeouts and small limits.
    pub production: bool,
}

impl FaultPlan {
    /// No faults and no work.
    pub fn calm() -> Self {
        Self {
            loss: 0.0,
            duplicate: 0.0,
            delay: 5,
            stall: 0.0,
            crash: 0.0,
            cut: 0.0,
            recovery: 0.0,
            wipe: 0.0,
            change: 0.0,
            handover: 0.0,
            propose: 0.0,
            read: 0.0,
            compact_every: 1_000,
            production: false,
        }
    }

    /// No faults and no work at the timeouts and limits of production, with
    /// regions up to some milliseconds apart.
    pub fn production(delay: u64) -> Self {
        Self {
            delay,
            production: true,
            ..Self::calm()
        }
    }

    /// Faults of each kind as the seed has it, none to many.
    pub fn random(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let mut up_to = |most: f64| {
            let some = rng.random_bool(0.7);
            if some {
                rng.random_range(0.0..most)
            } else {
                0.0
            }
        };
        Self {
            loss: up_to(0.2),
            duplicate: up_to(0.2),
            stall: up_to(0.97),
            crash: up_to(0.02),
            cut: up_to(0.03),
            recovery: 0.03,
            wipe: up_to(0.01),
            change: up_to(0.05),
            handover: up_to(0.02),
            propose: 0.1 + up_to(0.8),
            read: up_to(0.3),
            delay: rng.random_range(2..80),
            compact_every: rng.random_range(5..60),
            production: false,
        }
    }
}

impl Sim {
    /// Runs a whole schedule of faults, then heals the group and checks that
    /// it works again with all that was acknowledged.
    pub fn run_schedule(seed: u64) -> Self {
        let size = 3 + (seed % 3) as usize;
        let mut sim = Self::new(size, FaultPlan::random(seed), seed);
        sim.run_for(Duration::from_secs(4));
        sim.heal();
        sim.recovers();
        sim
    }

    /// Checks that a healed group commits a new command and serves a read.
    pub fn recovers(&mut self) {
        const LIMIT: Duration = Duration::from_secs(5);
        let formed = self.run_until(LIMIT, |sim| sim.voters() > 0 && sim.formed());
        assert!(formed, "no group within {LIMIT:?} of the last fault");
        let last = self.acked_index();
        let end = self.now + LIMIT;
        while self.acked_index() <= last {
            assert!(self.now < end, "no progress after the last fault");
            if let Some(leader) = self.leader() {
                self.propose(leader);
                self.read(leader);
            }
            self.run_for(Duration::from_millis(50));
        }
        // A read at a leader that is about to be replaced is rejected.
        let served_reads = self.oracle.served_reads.len();
        while self.oracle.served_reads.len() <= served_reads {
            assert!(self.now < end, "no read after the last fault");
            if let Some(leader) = self.leader() {
                self.read(leader);
            }
            self.run_for(Duration::from_millis(50));
        }
    }

    /// Whether the newest leader takes commands.
    pub fn formed(&self) -> bool {
        self.leading()
            .is_some_and(|r| r.members().has_enough_voters())
    }

    /// The last acknowledged entry.
    pub fn acked_index(&self) -> u64 {
        self.oracle.acked.values().max().copied().unwrap_or(0)
    }

    /// Causes faults and work by the plan.
    pub(super) fn inject(&mut self) {
        let plan = self.plan.clone();
        for i in 0..self.nodes.len() {
            self.inject_crash(i, &plan);
            if self.chance(plan.propose) {
                self.propose(i);
            }
            if self.chance(plan.read) {
                self.read(i);
            }
        }
        self.inject_cut(&plan);
        if self.chance(plan.handover) {
            let i = self.pick();
            self.hand_over(i);
        }
        if self.chance(plan.wipe) {
            self.lose_disk();
        }
        if self.chance(plan.change) {
            self.change_members();
        }
        if self.wiped.is_some() && plan.wipe > 0.0 && self.chance(0.1) {
            self.repair();
        }
    }

    /// Stops a replica now and then, a leader more often; starts it soon.
    fn inject_crash(&mut self, i: usize, plan: &FaultPlan) {
        let leads = self.leader() == Some(i);
        let chance = if leads { plan.crash * 2.0 } else { plan.crash };
        if self.nodes[i].raft.is_none() {
            if self.chance(plan.recovery) {
                self.start(i);
            }
        } else if self.chance(chance) {
            self.crash(i);
        }
    }

    /// Cuts a replica off now and then, also only one way; heals it soon.
    fn inject_cut(&mut self, plan: &FaultPlan) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if !self.open[from][to] && self.chance(plan.recovery) {
                    self.open[from][to] = true;
                }
            }
        }
        if !self.chance(plan.cut) {
            return;
        }
        let leader = if self.chance(0.5) {
            self.leader()
        } else {
            None
        };
        let i = leader.unwrap_or_else(|| self.pick());
        let (out, back) = (self.chance(0.7), self.chance(0.7));
        for other in (0..self.nodes.len()).filter(|other| *other != i) {
            self.open[i][other] &= !out;
            self.open[other][i] &= !back;
        }
    }

    /// Loses a disk, if the group works and no other disk is lost.
    fn lose_disk(&mut self) {
        let settled = |raft: &Raft| raft.status().members_committed;
        let settled = self.leading().is_some_and(settled);
        let whole = self.wiped.is_none() && self.voters() >= FOUNDERS && settled;
        if whole && !self.oracle.acked.is_empty() {
            let i = self.pick();
            self.wipe(i);
        }
    }

    /// Removes the replica that lost its disk and adds it again.
    pub fn repair(&mut self) {
        let (Some(i), Some(leader)) = (self.wiped, self.leader()) else {
            return;
        };
        let Some(raft) = &self.nodes[leader].raft else {
            return;
        };
        let vm = name(i);
        let members = raft.members();
        let change = match members.get(&vm) {
            Some(m) if m.folder_id != 0 && m.folder_id != self.nodes[i].folder_id => {
                Change::Remove { vm }
            }
            Some(_) => return,
            None => Change::Add {
                vm,
                address: String::new(),
            },
        };
        // A rejection only means that it is tried again.
        self.change(leader, change).unwrap_or_default();
    }

    /// Notes that the replaced disk votes, so that another may be lost.
    pub(super) fn note_repair(&mut self) {
        let (Some(i), Some(leader)) = (self.wiped, self.leader()) else {
            return;
        };
        let folder_id = self.nodes[i].folder_id;
        let Some(raft) = &self.nodes[leader].raft else {
            return;
        };
        if raft.status().members_committed && raft.members().is_voter(&name(i), folder_id) {
            self.wiped = None;
        }
    }

    /// Adds a spare replica or removes one, but for a majority of founders.
    fn change_members(&mut self) {
        let (Some(leader), None) = (self.leader(), self.wiped) else {
            return;
        };
        let Some(raft) = &self.nodes[leader].raft else {
            return;
        };
        let members = raft.members();
        let i = self.pick();
        let vm = name(i);
        let change = if members.get(&vm).is_none() {
            Change::Add {
                vm,
                address: String::new(),
            }
        } else if members.voters().count() > FOUNDERS {
            Change::Remove { vm }
        } else {
            return;
        };
        // A rejection only means that nothing changes this time.
        self.change(leader, change).unwrap_or_default();
    }
}
