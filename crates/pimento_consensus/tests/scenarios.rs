//! Named faults and what the group makes of them.

mod sim;

use pimento_consensus::{Change, RejectReason, Role};
use sim::{FaultPlan, Sim, name};
use std::time::Duration;

/// Long enough for several elections.
const LONG: Duration = Duration::from_secs(3);

/// A group whose members all vote, and its leader.
fn formed(size: usize, seed: u64) -> (Sim, usize) {
    let mut sim = Sim::new(size, FaultPlan::calm(), seed);
    let whole = sim.run_until(LONG, |sim| sim.voters() == size.min(sim::FOUNDERS));
    assert!(whole, "the group was not founded");
    sim.run_for(Duration::from_millis(100));
    let leader = sim.leader().unwrap();
    (sim, leader)
}

/// The two replicas that don't lead.
fn others(leader: usize) -> (usize, usize) {
    ((leader + 1) % 3, (leader + 2) % 3)
}

fn commit(sim: &mut Sim, count: usize) {
    for _ in 0..count {
        let leader = sim.leader().expect("a leader");
        let id = sim.propose(leader);
        let acked = sim.run_until(LONG, |sim| sim.oracle.acked.contains_key(&id));
        assert!(acked, "proposal {id} was not committed");
    }
}

fn term(sim: &Sim, i: usize) -> u64 {
    sim.nodes[i].raft.as_ref().unwrap().status().term
}

#[test]
fn founding_waits() {
    // A first member that can't be asked may know of a group.
    let mut sim = Sim::new(3, FaultPlan::calm(), 1);
    sim.cut(2, false);
    sim.run_for(LONG);
    assert_eq!(sim.leader(), None);
    sim.heal();
    assert!(sim.run_until(LONG, |sim| sim.voters() == 3));
}

#[test]
fn lost_founder() {
    // The first VM comes back with an empty disk and must not found again.
    let (mut sim, _) = formed(3, 2);
    commit(&mut sim, 5);
    sim.wipe(0);
    sim.run_for(LONG);
    assert!(matches!(sim.leader(), Some(1 | 2)));
    commit(&mut sim, 5);
    assert!(
        !sim.nodes[0]
            .raft
            .as_ref()
            .unwrap()
            .status()
            .members
            .is_voter(&name(0), sim.nodes[0].folder_id)
    );
}

#[test]
fn silent_cut() {
    // A control VM is cut off for long and then comes back.
    let (mut sim, leader) = formed(3, 3);
    let (far, _) = others(leader);
    sim.cut(far, false);
    commit(&mut sim, 100);
    let before = term(&sim, leader);
    sim.run_for(Duration::from_mins(1));
    let served_reads = sim.oracle.served_reads.len();
    let read = sim.read(far);
    let asked = sim.propose(far);
    sim.run_for(LONG);
    assert!(sim.oracle.rejected.contains(&read));
    assert!(sim.oracle.rejected.contains(&asked));
    assert_eq!(sim.oracle.served_reads.len(), served_reads);
    sim.heal();
    sim.run_for(LONG);
    // Pre-votes changed no term, so the group kept its leader.
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(term(&sim, leader), before);
    assert_eq!(sim.nodes[far].applied, sim.nodes[leader].applied);
}

#[test]
fn cut_leader() {
    // A leader that is cut off steps down and serves no read.
    let (mut sim, leader) = formed(3, 4);
    commit(&mut sim, 5);
    sim.cut(leader, false);
    let read = sim.read(leader);
    let asked = sim.propose(leader);
    sim.run_for(LONG);
    let status = sim.nodes[leader].raft.as_ref().unwrap().status();
    assert_ne!(status.role, Role::Leader);
    assert_eq!(status.leader, None);
    assert!(sim.oracle.rejected.contains(&read));
    commit(&mut sim, 5);
    sim.heal();
    sim.recovers();
    sim.run_for(LONG);
    // The entry that only the old leader had gave way to the new leader's.
    assert!(!sim.oracle.acked.contains_key(&asked));
    assert_eq!(sim.nodes[leader].applied, sim.oracle.committed());
}

#[test]
fn replaced_disk() {
    // The only other replica with an entry loses its disk; its vote for a
    // replica without the entry would lose what was acknowledged.
    let (mut sim, leader) = formed(3, 5);
    let (wiped, stale) = others(leader);
    sim.cut(stale, false);
    commit(&mut sim, 20);
    sim.wipe(wiped);
    sim.crash(leader);
    sim.cut(stale, true);
    sim.run_for(LONG);
    assert_eq!(sim.leader(), None);
    sim.start(leader);
    assert!(sim.run_until(LONG, |sim| sim.leader() == Some(leader)));
    commit(&mut sim, 5);
}

#[test]
fn loss_after_repair() {
    // A replaced VM votes again, and then a second VM is lost for good.
    let (mut sim, leader) = formed(3, 6);
    let (first, second) = others(leader);
    commit(&mut sim, 200);
    sim.wipe(first);
    while sim.wiped.is_some() {
        sim.repair();
        sim.run_for(Duration::from_millis(20));
    }
    sim.wipe(second);
    sim.run_for(Duration::from_millis(500));
    commit(&mut sim, 20);
    sim.crash(leader);
    sim.run_for(LONG);
    // The repaired replica alone is no quorum, and holds all the same.
    assert_eq!(sim.leader(), None);
    sim.start(leader);
    assert!(sim.run_until(LONG, |sim| sim.leader().is_some()));
    while sim.wiped.is_some() {
        sim.repair();
        sim.run_for(Duration::from_millis(20));
    }
    sim.crash(leader);
    assert!(sim.run_until(LONG, |sim| sim.leader().is_some_and(|i| i != leader)));
    commit(&mut sim, 20);
}

#[test]
fn late_restart() {
    // A VM starts again after 1,000 changes have passed it by.
    let (mut sim, leader) = formed(3, 7);
    let (down, _) = others(leader);
    commit(&mut sim, 10);
    sim.crash(down);
    commit(&mut sim, 1_000);
    sim.start(down);
    let applied = sim.nodes[leader].applied;
    assert!(sim.run_until(LONG, |sim| sim.nodes[down].applied >= applied));
    assert_eq!(sim.leader(), Some(leader));
}

#[test]
fn all_restarted() {
    let (mut sim, _) = formed(3, 8);
    commit(&mut sim, 100);
    let last = sim.acked_index();
    for i in 0..3 {
        sim.crash(i);
    }
    sim.run_for(LONG);
    for i in 0..3 {
        sim.start(i);
    }
    sim.recovers();
    assert!(sim.oracle.committed() > last);
    assert_eq!(sim.nodes[0].applied, sim.nodes[1].applied);
}

#[test]
fn one_change() {
    let (mut sim, leader) = formed(5, 9);
    let add = |i: usize| Change::Add {
        vm: name(i),
        address: String::new(),
    };
    assert_eq!(sim.change(leader, add(3)), Ok(()));
    assert_eq!(
        sim.change(leader, add(4)),
        Err(RejectReason::MembershipPending)
    );
    assert!(sim.run_until(LONG, |sim| sim.voters() == 4));
    sim.run_for(Duration::from_millis(100));
    assert_eq!(sim.change(leader, add(3)), Err(RejectReason::AlreadyMember));
    assert_eq!(sim.change(leader, add(4)), Ok(()));
    assert!(sim.run_until(LONG, |sim| sim.voters() == 5));
    sim.run_for(Duration::from_millis(100));
    // A leader that is removed steps down once that is committed.
    let remove = Change::Remove { vm: name(leader) };
    assert_eq!(sim.change(leader, remove), Ok(()));
    assert!(sim.run_until(LONG, |sim| sim.leader().is_some_and(|i| i != leader)));
    assert_eq!(sim.voters(), 4);
    commit(&mut sim, 5);
}

#[test]
fn lagging_learner() {
    // A learner that can't be reached never votes, and blocks nothing.
    let (mut sim, leader) = formed(4, 10);
    sim.cut(3, false);
    commit(&mut sim, 50);
    let add = Change::Add {
        vm: name(3),
        address: String::new(),
    };
    assert_eq!(sim.change(leader, add), Ok(()));
    sim.run_for(LONG);
    assert_eq!(sim.voters(), 3);
    commit(&mut sim, 50);
    sim.heal();
    assert!(sim.run_until(LONG, |sim| sim.voters() == 4));
    assert!(sim.nodes[3].applied > 0);
}

#[test]
fn lost_majority() {
    // Alone, a leader commits nothing and answers no read.
    let (mut sim, leader) = formed(3, 11);
    let (one, two) = others(leader);
    sim.crash(one);
    sim.crash(two);
    let asked = sim.propose(leader);
    let read = sim.read(leader);
    sim.run_for(LONG);
    assert!(!sim.oracle.acked.contains_key(&asked));
    assert!(sim.oracle.rejected.contains(&read));
    sim.start(one);
    assert!(sim.run_until(LONG, |sim| sim.leader().is_some()));
    commit(&mut sim, 5);
}

#[test]
fn full_backlog() {
    // A leader takes a bounded number of entries that wait for a quorum.
    let (mut sim, leader) = formed(3, 12);
    sim.plan.stall = 1.0;
    let asked: Vec<u64> = (0..3_000).map(|_| sim.propose(leader)).collect();
    let rejected = |id: &&u64| sim.oracle.rejected.contains(id);
    assert_eq!(asked.iter().filter(rejected).count(), 1_000);
    sim.plan.stall = 0.0;
    assert!(sim.run_until(LONG, |sim| sim.oracle.acked.len() == 2_000));
}

#[test]
fn planned_stop() {
    // A leader that hands over before it stops leaves no gap of an election
    // timeout, although the others have just heard from it.
    let (mut sim, leader) = formed(3, 13);
    commit(&mut sim, 10);
    sim.hand_over(leader);
    let moved = |sim: &Sim| sim.leader().is_some_and(|i| i != leader);
    assert!(sim.run_until(sim::ELECTION / 2, moved));
    sim.crash(leader);
    commit(&mut sim, 10);
}
