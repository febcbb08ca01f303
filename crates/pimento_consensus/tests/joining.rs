//! Replicas that join, are removed and are replaced without an operator.

mod sim;

use pimento_consensus::{Body, Config, Effect, HardState, Member, PersistentState, Raft};
use pimento_core::{Time, VmId};
use sim::{
    FaultPlan, Sim, TIME_STEP,
    group::{CATCH_UP, RECOVERY_TIMEOUT},
};
use std::time::Duration;

/// Starts a group of six voters; returns its leader.
fn start_group(seed: u64) -> (Sim, usize) {
    let sim = Sim::start_dynamic(FaultPlan::calm(), seed);
    let leader = sim.leader().unwrap();
    (sim, leader)
}

#[test]
fn removed_voter_rejoins() {
    // A voter that was cut off for long was removed meanwhile, which it can't
    // see in its own log.
    let (mut sim, leader) = start_group(1);
    let cut_off = (leader + 1) % 6;
    sim.set_connected(cut_off, false);
    let is_removed = sim.run_until(RECOVERY_TIMEOUT, |sim| sim.voters() == 5);
    assert!(is_removed, "the silent voter was not removed");
    sim.heal();
    assert!(sim.run_until(RECOVERY_TIMEOUT, Sim::all_vote));
    let applied = sim.nodes[leader].applied;
    assert!(sim.run_until(CATCH_UP, |sim| sim.nodes[cut_off].applied >= applied));
}

#[test]
fn removed_voter_rejoins_under_commands() {
    // Commands are committed faster than one reaches the learner and is
    // acknowledged.
    for seed in 0..10 {
        let (mut sim, leader) = start_group(seed);
        let cut_off = (leader + 1) % 6;
        sim.set_connected(cut_off, false);
        let is_removed = sim.run_until(RECOVERY_TIMEOUT, |sim| sim.voters() == 5);
        assert!(is_removed, "seed {seed}: the silent voter was not removed");
        sim.heal();
        let start = sim.now;
        while !sim.all_vote() {
            let waited = sim.now.since(start);
            assert!(
                waited < RECOVERY_TIMEOUT,
                "seed {seed}: no voter after {waited:?}"
            );
            sim.propose(leader);
            sim.run_for(TIME_STEP);
        }
    }
}

#[test]
fn disk_losses_after_replacements() {
    // Two machines were replaced, each with the time to catch up. Then two disks
    // are lost while all others lose power. If the removed machines still counted
    // as voters, four of eight would be left, which is no majority.
    let (mut sim, leader) = start_group(2);
    let followers: Vec<usize> = (0..6).filter(|i| *i != leader).collect();
    for removed in &followers[..2] {
        sim.replace(*removed);
        let has_started = |sim: &Sim| sim.nodes.iter().all(|n| n.removed || n.raft.is_some());
        assert!(sim.run_until(RECOVERY_TIMEOUT, has_started));
        sim.run_for(CATCH_UP);
    }
    sim.wipe_during_power_loss(&followers[2..4]);
    sim.assert_recovers();
    assert!(sim.run_until(RECOVERY_TIMEOUT, Sim::all_vote));
}

#[test]
fn frozen_leader_removes_no_voter() {
    // All processes are frozen for longer than a voter may be silent. The leader
    // runs on first, and has heard from nobody.
    let (mut sim, leader) = start_group(3);
    sim.run_for(CATCH_UP);
    for i in 0..6 {
        let span = Duration::from_secs(if i == leader { 3 } else { 4 });
        sim.pause(i, span, false);
    }
    sim.run_for(Duration::from_secs(3).saturating_sub(TIME_STEP));
    let now = sim.clock(leader) + TIME_STEP;
    let raft = sim.nodes[leader].raft.as_ref().unwrap();
    assert_eq!(raft.member_to_remove(now), None);
    sim.run_for(Duration::from_secs(2));
    assert!(sim.all_vote());
}

#[test]
fn silent_learner_is_removed() {
    // A machine that was added and removed before it could vote doesn't stay a
    // member.
    let (mut sim, leader) = start_group(4);
    let added = sim.replace((leader + 1) % 6);
    let is_learner = |sim: &Sim| {
        let members = sim.leading_raft().unwrap().members();
        members
            .get(sim.nodes[added].vm.as_str())
            .is_some_and(|m| !m.voter)
    };
    assert!(sim.run_until(RECOVERY_TIMEOUT, is_learner));
    sim.replace(added);
    assert!(sim.run_until(RECOVERY_TIMEOUT, Sim::is_complete));
}

#[test]
fn torn_founding_is_repeated() {
    // Power was lost while the founder wrote its first vote and the first entry,
    // and only the vote is on the disk. Nobody has heard of the group yet.
    let vm = VmId::new("vm0").unwrap();
    let other = VmId::new("vm1").unwrap();
    let founders = vec![Member::learner(&vm, ""), Member::learner(&other, "")];
    let config = Config::new(vm, 1, founders);
    let start = |vote: &str| {
        let vote = vote.to_owned();
        let saved = PersistentState {
            hard_state: HardState { term: 1, vote },
            ..PersistentState::default()
        };
        let (mut raft, _) = Raft::new(config.clone(), saved, Time::ZERO, 1);
        raft.tick(Time::from_millis(200))
    };
    let probes = |effects: &[Effect]| {
        effects.iter().any(|effect| match effect {
            Effect::Send { message, .. } => matches!(message.body, Some(Body::BootstrapProbe(_))),
            _ => false,
        })
    };
    assert!(probes(&start("vm0")));
    // Any other vote or term comes from a group that exists.
    assert!(!probes(&start("")));
}
