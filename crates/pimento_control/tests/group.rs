//! A group of three control VMs over loopback links.

mod support;

use pimento_control::{
    Backup, ChangeMembers, ControlStatus, Fault, GetRules, MemberChange, Propose, View,
    restore_backup,
};
use pimento_core::Verdict;
use pimento_settings::ControlPeer;
use pimento_state::Command;
use std::sync::atomic::Ordering;
use support::Cluster;

fn propose() -> Propose {
    Propose {
        command: Command::default(),
    }
}

#[actix_rt::test]
async fn bootstrap_and_forwarding() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    cluster.wait_for_leader(3).await;
    for addr in cluster.addrs() {
        let first = addr.send(propose()).await.unwrap().unwrap();
        let second = addr.send(propose()).await.unwrap().unwrap();
        assert!(first.index < second.index);
        addr.send(GetRules).await.unwrap().unwrap();
        let view = View::new(|state| state.rules().version);
        assert_eq!(addr.send(view).await.unwrap(), Ok(0));
    }
}

#[actix_rt::test]
async fn group_continues_after_leader_stops() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let old_leader = cluster.wait_for_leader(3).await;
    cluster.stop(old_leader).await;
    let client = cluster.client();
    let new_leader = cluster.wait_for_leader(3).await;
    assert_ne!(old_leader, new_leader);
    client.propose(&Command::default()).await.unwrap();
    // The old leader restarts with its data folder and catches up.
    cluster.start(old_leader);
    let last_index = client.propose(&Command::default()).await.unwrap().index;
    cluster
        .wait_for_status(old_leader, |status| status.applied >= last_index)
        .await;
}

#[actix_rt::test]
async fn requests_fail_without_quorum() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.wait_for_leader(3).await;
    for i in (0..3).filter(|i| *i != leader) {
        cluster.stop(i).await;
    }
    let addr = cluster.vms[leader].clone().unwrap();
    let error = addr.send(propose()).await.unwrap().unwrap_err();
    assert_eq!(error.verdict, Verdict::MayHaveRun);
    let error = addr.send(GetRules).await.unwrap().unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(cluster.status(leader).await.leader, None);
    let error = addr.send(propose()).await.unwrap().unwrap_err();
    assert_eq!(error.verdict, Verdict::NotRun);
    assert_eq!(error.fault, Fault::NoLeader);
}

#[actix_rt::test]
async fn log_survives_restart_of_all_vms() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    cluster.wait_for_leader(3).await;
    let addr = cluster.vms[0].clone().unwrap();
    let last_index = addr.send(propose()).await.unwrap().unwrap().index;
    for i in 0..3 {
        cluster.stop(i).await;
    }
    cluster.start_all();
    let leader = cluster.wait_for_leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    let next_index = addr.send(propose()).await.unwrap().unwrap().index;
    assert!(next_index > last_index);
}

#[actix_rt::test]
async fn backup_restores_into_new_group() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.wait_for_leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    let last_index = addr.send(propose()).await.unwrap().unwrap().index;
    let backup = addr.send(Backup).await.unwrap().unwrap();
    for i in 0..3 {
        cluster.stop(i).await;
        cluster.folders[i] = tempfile::tempdir().unwrap();
    }
    let (vm, data) = (&cluster.peers[1].vm, cluster.folders[1].path());
    let mut damaged = backup.to_vec();
    let last_byte = damaged.len() - 1;
    damaged[last_byte] ^= 1;
    restore_backup(&damaged, data, vm, &cluster.peers).unwrap_err();
    let restored = restore_backup(&backup, data, vm, &cluster.peers).unwrap();
    assert_eq!(restored.index, last_index);
    restore_backup(&backup, data, vm, &cluster.peers).unwrap_err();
    cluster.start_all();
    let leader = cluster.wait_for_leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    let next_index = addr.send(propose()).await.unwrap().unwrap().index;
    assert!(next_index > last_index);
}

#[actix_rt::test]
async fn vm_with_lost_disk_is_replaced() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.wait_for_leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    let replaced = (leader + 1) % 3;
    cluster.stop(replaced).await;
    cluster.folders[replaced] = tempfile::tempdir().unwrap();
    cluster.start(replaced);
    let last_index = addr.send(propose()).await.unwrap().unwrap().index;
    let ControlPeer { vm, address } = cluster.peers[replaced].clone();
    let address = address.to_string();
    let remove = MemberChange::Remove { vm: vm.clone() };
    addr.send(ChangeMembers(remove)).await.unwrap().unwrap();
    let add = MemberChange::Add { vm, address };
    addr.send(ChangeMembers(add)).await.unwrap().unwrap();
    let has_caught_up = |s: &ControlStatus| s.applied > last_index && s.members.len() == 3;
    cluster.wait_for_status(replaced, has_caught_up).await;
    // The group keeps a quorum if a second VM stops right after the replacement.
    let stopped = (leader + 2) % 3;
    cluster.stop(stopped).await;
    let next_index = addr.send(propose()).await.unwrap().unwrap().index;
    cluster
        .wait_for_status(replaced, |s| s.applied >= next_index)
        .await;
}

#[actix_rt::test]
async fn requests_fail_when_followers_disks_are_full() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.wait_for_leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    for i in (0..3).filter(|i| *i != leader) {
        cluster.disk_full[i].store(true, Ordering::Relaxed);
    }
    addr.send(propose()).await.unwrap().unwrap_err();
    addr.send(GetRules).await.unwrap().unwrap_err();
}
