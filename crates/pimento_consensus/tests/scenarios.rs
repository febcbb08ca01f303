//! Individual faults, and how the group handles them.

mod sim;

use pimento_consensus::{MemberChange, RejectReason, Role};
use sim::{FaultPlan, Sim, name};
use std::time::Duration;

/// Long enough for several elections.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Starts a group and waits until all initial members vote; returns its leader.
fn start_group(size: usize, seed: u64) -> (Sim, usize) {
    let mut sim = Sim::new(size, FaultPlan::calm(), seed);
    let complete = sim.run_until(TIMEOUT, |sim| {
        sim.voters() == size.min(sim::INITIAL_MEMBERS)
    });
    assert!(complete, "the group did not bootstrap");
    sim.run_for(Duration::from_millis(100));
    let leader = sim.leader().unwrap();
    (sim, leader)
}

/// The two followers in a group of three.
fn followers(leader: usize) -> (usize, usize) {
    ((leader + 1) % 3, (leader + 2) % 3)
}

fn commit_proposals(sim: &mut Sim, count: usize) {
    for _ in 0..count {
        let leader = sim.leader().expect("the group has a leader");
        let id = sim.propose(leader);
        let acked = sim.run_until(TIMEOUT, |sim| sim.oracle.acked.contains_key(&id));
        assert!(acked, "proposal {id} was not committed");
    }
}

fn term(sim: &Sim, i: usize) -> u64 {
    sim.nodes[i].raft.as_ref().unwrap().status().term
}

#[test]
fn bootstrap_waits_for_all_initial_members() {
    // An unreachable initial member may know of an existing group.
    let mut sim = Sim::new(3, FaultPlan::calm(), 1);
    sim.set_connected(2, false);
    sim.run_for(TIMEOUT);
    assert_eq!(sim.leader(), None);
    sim.heal();
    assert!(sim.run_until(TIMEOUT, |sim| sim.voters() == 3));
}

#[test]
fn no_second_bootstrap_after_disk_loss() {
    // The VM that bootstrapped the group comes back with an empty disk and must
    // not bootstrap another one.
    let (mut sim, _) = start_group(3, 2);
    commit_proposals(&mut sim, 5);
    sim.replace_disk(0);
    sim.run_for(TIMEOUT);
    assert!(matches!(sim.leader(), Some(1 | 2)));
    commit_proposals(&mut sim, 5);
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
fn isolated_follower() {
    // A follower is isolated from the group for a minute and then reconnected.
    let (mut sim, leader) = start_group(3, 3);
    let (isolated, _) = followers(leader);
    sim.set_connected(isolated, false);
    commit_proposals(&mut sim, 100);
    let term_before = term(&sim, leader);
    sim.run_for(Duration::from_mins(1));
    let served_reads = sim.oracle.served_reads.len();
    let read = sim.read(isolated);
    let proposal = sim.propose(isolated);
    sim.run_for(TIMEOUT);
    assert!(sim.oracle.rejected.contains(&read));
    assert!(sim.oracle.rejected.contains(&proposal));
    assert_eq!(sim.oracle.served_reads.len(), served_reads);
    sim.heal();
    sim.run_for(TIMEOUT);
    // Pre-votes change no term, so the group kept its leader.
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(term(&sim, leader), term_before);
    assert_eq!(sim.nodes[isolated].applied, sim.nodes[leader].applied);
}

#[test]
fn isolated_leader() {
    // An isolated leader steps down and serves no read.
    let (mut sim, leader) = start_group(3, 4);
    commit_proposals(&mut sim, 5);
    sim.set_connected(leader, false);
    let read = sim.read(leader);
    let proposal = sim.propose(leader);
    sim.run_for(TIMEOUT);
    let status = sim.nodes[leader].raft.as_ref().unwrap().status();
    assert_ne!(status.role, Role::Leader);
    assert_eq!(status.leader, None);
    assert!(sim.oracle.rejected.contains(&read));
    commit_proposals(&mut sim, 5);
    sim.heal();
    sim.assert_recovers();
    sim.run_for(TIMEOUT);
    // The new leader's entries replaced the one that only the old leader had.
    assert!(!sim.oracle.acked.contains_key(&proposal));
    assert_eq!(sim.nodes[leader].applied, sim.oracle.commit_index());
}

#[test]
fn no_vote_from_replaced_disk() {
    // The only other replica with an entry loses its disk. Its vote for a
    // replica without the entry would lose an acknowledged command.
    let (mut sim, leader) = start_group(3, 5);
    let (replaced, stale) = followers(leader);
    sim.set_connected(stale, false);
    commit_proposals(&mut sim, 20);
    sim.replace_disk(replaced);
    sim.crash(leader);
    sim.set_connected(stale, true);
    sim.run_for(TIMEOUT);
    assert_eq!(sim.leader(), None);
    sim.start(leader);
    assert!(sim.run_until(TIMEOUT, |sim| sim.leader() == Some(leader)));
    commit_proposals(&mut sim, 5);
}

#[test]
fn second_loss_after_rejoin() {
    // A replica with a replaced disk rejoins as a voter, then a second disk is
    // lost.
    let (mut sim, leader) = start_group(3, 6);
    let (first, second) = followers(leader);
    commit_proposals(&mut sim, 200);
    sim.replace_disk(first);
    while sim.replaced_disk.is_some() {
        sim.rejoin_replaced();
        sim.run_for(Duration::from_millis(20));
    }
    sim.replace_disk(second);
    sim.run_for(Duration::from_millis(500));
    commit_proposals(&mut sim, 20);
    sim.crash(leader);
    sim.run_for(TIMEOUT);
    // The rejoined replica alone is no quorum, although it has all entries.
    assert_eq!(sim.leader(), None);
    sim.start(leader);
    assert!(sim.run_until(TIMEOUT, |sim| sim.leader().is_some()));
    while sim.replaced_disk.is_some() {
        sim.rejoin_replaced();
        sim.run_for(Duration::from_millis(20));
    }
    sim.crash(leader);
    assert!(sim.run_until(TIMEOUT, |sim| sim.leader().is_some_and(|i| i != leader)));
    commit_proposals(&mut sim, 20);
}

#[test]
fn restart_after_many_commits() {
    // A replica restarts after it missed 1,000 commits.
    let (mut sim, leader) = start_group(3, 7);
    let (down, _) = followers(leader);
    commit_proposals(&mut sim, 10);
    sim.crash(down);
    commit_proposals(&mut sim, 1_000);
    sim.start(down);
    let applied = sim.nodes[leader].applied;
    assert!(sim.run_until(TIMEOUT, |sim| sim.nodes[down].applied >= applied));
    assert_eq!(sim.leader(), Some(leader));
}

#[test]
fn restart_of_all_replicas() {
    let (mut sim, _) = start_group(3, 8);
    commit_proposals(&mut sim, 100);
    let last = sim.last_acked_index();
    for i in 0..3 {
        sim.crash(i);
    }
    sim.run_for(TIMEOUT);
    for i in 0..3 {
        sim.start(i);
    }
    sim.assert_recovers();
    assert!(sim.oracle.commit_index() > last);
    assert_eq!(sim.nodes[0].applied, sim.nodes[1].applied);
}

#[test]
fn one_membership_change_at_a_time() {
    let (mut sim, leader) = start_group(5, 9);
    let add = |i: usize| MemberChange::Add {
        vm: name(i),
        address: String::new(),
    };
    assert_eq!(sim.change_members(leader, add(3)), Ok(()));
    assert_eq!(
        sim.change_members(leader, add(4)),
        Err(RejectReason::MembershipPending)
    );
    assert!(sim.run_until(TIMEOUT, |sim| sim.voters() == 4));
    sim.run_for(Duration::from_millis(100));
    assert_eq!(
        sim.change_members(leader, add(3)),
        Err(RejectReason::AlreadyMember)
    );
    assert_eq!(sim.change_members(leader, add(4)), Ok(()));
    assert!(sim.run_until(TIMEOUT, |sim| sim.voters() == 5));
    sim.run_for(Duration::from_millis(100));
    // A leader that is removed steps down once its removal is committed.
    let remove = MemberChange::Remove { vm: name(leader) };
    assert_eq!(sim.change_members(leader, remove), Ok(()));
    assert!(sim.run_until(TIMEOUT, |sim| sim.leader().is_some_and(|i| i != leader)));
    assert_eq!(sim.voters(), 4);
    commit_proposals(&mut sim, 5);
}

#[test]
fn unreachable_learner() {
    // An unreachable learner is not promoted and blocks no commits.
    let (mut sim, leader) = start_group(4, 10);
    sim.set_connected(3, false);
    commit_proposals(&mut sim, 50);
    let add = MemberChange::Add {
        vm: name(3),
        address: String::new(),
    };
    assert_eq!(sim.change_members(leader, add), Ok(()));
    sim.run_for(TIMEOUT);
    assert_eq!(sim.voters(), 3);
    commit_proposals(&mut sim, 50);
    sim.heal();
    assert!(sim.run_until(TIMEOUT, |sim| sim.voters() == 4));
    assert!(sim.nodes[3].applied > 0);
}

#[test]
fn loss_of_majority() {
    // A leader alone commits nothing and serves no read.
    let (mut sim, leader) = start_group(3, 11);
    let (one, two) = followers(leader);
    sim.crash(one);
    sim.crash(two);
    let proposal = sim.propose(leader);
    let read = sim.read(leader);
    sim.run_for(TIMEOUT);
    assert!(!sim.oracle.acked.contains_key(&proposal));
    assert!(sim.oracle.rejected.contains(&read));
    sim.start(one);
    assert!(sim.run_until(TIMEOUT, |sim| sim.leader().is_some()));
    commit_proposals(&mut sim, 5);
}

#[test]
fn bounded_uncommitted_entries() {
    // A leader accepts a bounded number of entries that wait for a quorum.
    let (mut sim, leader) = start_group(3, 12);
    sim.plan.disk_stall = 1.0;
    let proposals: Vec<u64> = (0..3_000).map(|_| sim.propose(leader)).collect();
    let rejected = |id: &&u64| sim.oracle.rejected.contains(id);
    assert_eq!(proposals.iter().filter(rejected).count(), 1_000);
    sim.plan.disk_stall = 0.0;
    assert!(sim.run_until(TIMEOUT, |sim| sim.oracle.acked.len() == 2_000));
}

#[test]
fn leadership_transfer_before_stop() {
    // A leader that transfers its leadership before it stops causes no wait for
    // an election timeout, although the followers have just heard from it.
    let (mut sim, leader) = start_group(3, 13);
    commit_proposals(&mut sim, 10);
    sim.transfer_leadership(leader);
    let is_transferred = |sim: &Sim| sim.leader().is_some_and(|i| i != leader);
    assert!(sim.run_until(sim::ELECTION_TIMEOUT / 2, is_transferred));
    sim.crash(leader);
    commit_proposals(&mut sim, 10);
}
