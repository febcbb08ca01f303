//! The faults and load of a schedule.

use super::{INITIAL_MEMBERS, Sim, name};
use pimento_consensus::{MemberChange, Raft};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// The probability of each fault and request, per message or per step.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    /// A message is lost.
    pub message_loss: f64,
    /// A message arrives twice.
    pub duplicate: f64,
    /// The maximum delay of a message.
    pub delay_ms: u64,
    /// A disk makes no progress in a step.
    pub disk_stall: f64,
    /// A replica crashes in a step; twice as likely for the leader.
    pub crash: f64,
    /// A replica is disconnected from the others, possibly in one direction only.
    pub disconnect: f64,
    /// A crashed replica restarts, or a disconnected link recovers, in a step.
    pub recovery: f64,
    /// A disk is lost and replaced by an empty one.
    pub disk_loss: f64,
    /// A write fails, and the replica writes its whole state again.
    pub disk_failure: f64,
    /// The members are changed.
    pub membership_change: f64,
    /// A replica is asked to transfer its leadership.
    pub leader_transfer: f64,
    /// A command is proposed.
    pub propose: f64,
    /// A read is requested.
    pub read: f64,
    /// The number of entries after which a snapshot is taken.
    pub compact_every: u64,
    /// Whether replicas have the default configuration rather than short timeouts
    /// and small limits.
    pub production: bool,
}

impl FaultPlan {
    /// No faults and no requests.
    pub fn calm() -> Self {
        Self {
            message_loss: 0.0,
            duplicate: 0.0,
            delay_ms: 5,
            disk_stall: 0.0,
            crash: 0.0,
            disconnect: 0.0,
            recovery: 0.0,
            disk_loss: 0.0,
            disk_failure: 0.0,
            membership_change: 0.0,
            leader_transfer: 0.0,
            propose: 0.0,
            read: 0.0,
            compact_every: 1_000,
            production: false,
        }
    }

    /// No faults and no requests, with the default configuration and a maximum
    /// message delay as between regions.
    pub fn production(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            production: true,
            ..Self::calm()
        }
    }

    /// Random probabilities; some types of fault may not occur at all.
    pub fn random(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
        let mut up_to = |max: f64| {
            let enabled = rng.random_bool(0.7);
            if enabled {
                rng.random_range(0.0..max)
            } else {
                0.0
            }
        };
        Self {
            message_loss: up_to(0.2),
            duplicate: up_to(0.2),
            disk_stall: up_to(0.97),
            crash: up_to(0.02),
            disconnect: up_to(0.03),
            recovery: 0.03,
            disk_loss: up_to(0.01),
            disk_failure: 0.0,
            membership_change: up_to(0.05),
            leader_transfer: up_to(0.02),
            propose: 0.1 + up_to(0.8),
            read: up_to(0.3),
            delay_ms: rng.random_range(2..80),
            compact_every: rng.random_range(5..60),
            production: false,
        }
    }
}

impl Sim {
    /// Runs a whole schedule of faults, then ends them and checks that the group
    /// recovers without loss of acknowledged commands.
    pub fn run_schedule(seed: u64) -> Self {
        Self::run_plan(FaultPlan::random(seed), seed)
    }

    /// The same with disks whose writes fail at times.
    pub fn run_failing_disks(seed: u64) -> Self {
        let plan = FaultPlan {
            disk_failure: 0.02,
            ..FaultPlan::random(seed)
        };
        Self::run_plan(plan, seed)
    }

    fn run_plan(plan: FaultPlan, seed: u64) -> Self {
        let size = 3 + (seed % 3) as usize;
        let mut sim = Self::new(size, plan, seed);
        sim.run_for(Duration::from_secs(4));
        sim.heal();
        sim.assert_recovers();
        sim
    }

    /// Checks that a group without faults commits a new command and serves a read.
    pub fn assert_recovers(&mut self) {
        const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);
        let has_group = self.run_until(RECOVERY_TIMEOUT, |sim| {
            sim.voters() > 0 && sim.accepts_commands()
        });
        assert!(
            has_group,
            "no group with enough voters {RECOVERY_TIMEOUT:?} after the last fault"
        );
        let last_acked = self.last_acked_index();
        let end = self.now + RECOVERY_TIMEOUT;
        while self.last_acked_index() <= last_acked {
            assert!(self.now < end, "no commit after the last fault");
            if let Some(leader) = self.leader() {
                self.propose(leader);
                self.read(leader);
            }
            self.run_for(Duration::from_millis(50));
        }
        // A read at a leader that is about to be replaced is rejected.
        let served_reads = self.oracle.served_reads.len();
        while self.oracle.served_reads.len() <= served_reads {
            assert!(self.now < end, "no read was served after the last fault");
            if let Some(leader) = self.leader() {
                self.read(leader);
            }
            self.run_for(Duration::from_millis(50));
        }
    }

    /// Whether the newest leader has enough voters to accept commands.
    pub fn accepts_commands(&self) -> bool {
        self.leading_raft()
            .is_some_and(|r| r.members().has_enough_voters())
    }

    /// The index of the last acknowledged entry.
    pub fn last_acked_index(&self) -> u64 {
        self.oracle.acked.values().max().copied().unwrap_or(0)
    }

    /// Causes faults and requests with the probabilities of the plan.
    pub(super) fn inject_faults(&mut self) {
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
        if plan.disk_failure > 0.0 && self.chance(plan.disk_failure) {
            let i = self.pick();
            self.fail_disk(i);
        }
        self.inject_disconnect(&plan);
        if self.chance(plan.leader_transfer) {
            let i = self.pick();
            self.transfer_leadership(i);
        }
        if self.chance(plan.disk_loss) {
            self.replace_random_disk();
        }
        if self.chance(plan.membership_change) {
            self.change_random_member();
        }
        if self.replaced_disk.is_some() && plan.disk_loss > 0.0 && self.chance(0.1) {
            self.rejoin_replaced();
        }
    }

    /// Crashes a replica at random, the leader more often, or restarts it.
    fn inject_crash(&mut self, i: usize, plan: &FaultPlan) {
        let is_leader = self.leader() == Some(i);
        let chance = if is_leader {
            plan.crash * 2.0
        } else {
            plan.crash
        };
        if self.nodes[i].raft.is_none() {
            if self.chance(plan.recovery) {
                self.start(i);
            }
        } else if self.chance(chance) {
            self.crash(i);
        }
    }

    /// Disconnects a random replica, possibly in one direction only, and
    /// reconnects links.
    fn inject_disconnect(&mut self, plan: &FaultPlan) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if !self.reachable[from][to] && self.chance(plan.recovery) {
                    self.reachable[from][to] = true;
                }
            }
        }
        if !self.chance(plan.disconnect) {
            return;
        }
        let leader = if self.chance(0.5) {
            self.leader()
        } else {
            None
        };
        let i = leader.unwrap_or_else(|| self.pick());
        let (outgoing, incoming) = (self.chance(0.7), self.chance(0.7));
        for other in (0..self.nodes.len()).filter(|other| *other != i) {
            self.reachable[i][other] &= !outgoing;
            self.reachable[other][i] &= !incoming;
        }
    }

    /// Replaces a random disk, if the group has a quorum and no other disk is
    /// being replaced.
    fn replace_random_disk(&mut self) {
        let members_committed = |raft: &Raft| raft.status().members_committed;
        let members_committed = self.leading_raft().is_some_and(members_committed);
        let is_complete =
            self.replaced_disk.is_none() && self.voters() >= INITIAL_MEMBERS && members_committed;
        if is_complete && !self.oracle.acked.is_empty() {
            let i = self.pick();
            self.replace_disk(i);
        }
    }

    /// Removes the replica whose disk was replaced, or adds it again.
    pub fn rejoin_replaced(&mut self) {
        let (Some(i), Some(leader)) = (self.replaced_disk, self.leader()) else {
            return;
        };
        let Some(raft) = &self.nodes[leader].raft else {
            return;
        };
        let vm = name(i);
        let members = raft.members();
        let change = match members.get(&vm) {
            Some(m) if m.folder_id != 0 && m.folder_id != self.nodes[i].folder_id => {
                MemberChange::Remove { vm }
            }
            Some(_) => return,
            None => MemberChange::Add {
                vm,
                address: String::new(),
            },
        };
        // After a rejection the next call tries again.
        self.change_members(leader, change).unwrap_or_default();
    }

    /// Allows the next disk loss once the replica with the replaced disk votes.
    pub(super) fn clear_rejoined(&mut self) {
        let (Some(i), Some(leader)) = (self.replaced_disk, self.leader()) else {
            return;
        };
        let folder_id = self.nodes[i].folder_id;
        let Some(raft) = &self.nodes[leader].raft else {
            return;
        };
        if raft.status().members_committed && raft.members().is_voter(&name(i), folder_id) {
            self.replaced_disk = None;
        }
    }

    /// Adds or removes a random replica; keeps at least the initial number of
    /// voters.
    fn change_random_member(&mut self) {
        let (Some(leader), None) = (self.leader(), self.replaced_disk) else {
            return;
        };
        let Some(raft) = &self.nodes[leader].raft else {
            return;
        };
        let members = raft.members();
        let i = self.pick();
        let vm = name(i);
        let change = if members.get(&vm).is_none() {
            MemberChange::Add {
                vm,
                address: String::new(),
            }
        } else if members.voters().count() > INITIAL_MEMBERS {
            MemberChange::Remove { vm }
        } else {
            return;
        };
        // A rejection only means that nothing changes in this step.
        self.change_members(leader, change).unwrap_or_default();
    }
}
