//! Three control VMs over loopback links.

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
async fn founding_and_forwarding() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    cluster.leader(3).await;
    for addr in cluster.addrs() {
        let first = addr.send(propose()).await.unwrap().unwrap();
        let next = addr.send(propose()).await.unwrap().unwrap();
        assert!(first.index < next.index);
        addr.send(GetRules).await.unwrap().unwrap();
        let view = View::new(|state| state.rules().version);
        assert_eq!(addr.send(view).await.unwrap(), Ok(0));
    }
}

#[actix_rt::test]
async fn leader_loss() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let old = cluster.leader(3).await;
    cluster.stop(old).await;
    let client = cluster.client();
    let new = cluster.leader(3).await;
    assert_ne!(old, new);
    client.propose(&Command::default()).await.unwrap();
    // The old leader comes back with its folder and catches up.
    cluster.start(old);
    let last = client.propose(&Command::default()).await.unwrap().index;
    cluster.until(old, |status| status.applied >= last).await;
}

#[actix_rt::test]
async fn no_quorum() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.leader(3).await;
    for i in (0..3).filter(|i| *i != leader) {
        cluster.stop(i).await;
    }
    let addr = cluster.vms[leader].clone().unwrap();
    let failed = addr.send(propose()).await.unwrap().unwrap_err();
    assert_eq!(failed.verdict, Verdict::MayHaveRun);
    let failed = addr.send(GetRules).await.unwrap().unwrap_err();
    assert_eq!(failed.verdict, Verdict::NotRun);
    assert_eq!(cluster.status(leader).await.leader, None);
    let failed = addr.send(propose()).await.unwrap().unwrap_err();
    assert_eq!(failed.verdict, Verdict::NotRun);
    assert_eq!(failed.fault, Fault::NoLeader);
}

#[actix_rt::test]
async fn whole_restart() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    cluster.leader(3).await;
    let addr = cluster.vms[0].clone().unwrap();
    let last = addr.send(propose()).await.unwrap().unwrap().index;
    for i in 0..3 {
        cluster.stop(i).await;
    }
    cluster.start_all();
    let leader = cluster.leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    let next = addr.send(propose()).await.unwrap().unwrap().index;
    assert!(next > last);
}

#[actix_rt::test]
async fn backup_restore() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    let last = addr.send(propose()).await.unwrap().unwrap().index;
    let backup = addr.send(Backup).await.unwrap().unwrap();
    for i in 0..3 {
        cluster.stop(i).await;
        cluster.folders[i] = tempfile::tempdir().unwrap();
    }
    let (vm, data) = (&cluster.peers[1].vm, cluster.folders[1].path());
    let mut damaged = backup.to_vec();
    let end = damaged.len() - 1;
    damaged[end] ^= 1;
    restore_backup(&damaged, data, vm, &cluster.peers).unwrap_err();
    let restored = restore_backup(&backup, data, vm, &cluster.peers).unwrap();
    assert_eq!(restored.index, last);
    restore_backup(&backup, data, vm, &cluster.peers).unwrap_err();
    cluster.start_all();
    let leader = cluster.leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    let next = addr.send(propose()).await.unwrap().unwrap().index;
    assert!(next > last);
}

#[actix_rt::test]
async fn replaced_vm() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    let lost = (leader + 1) % 3;
    cluster.stop(lost).await;
    cluster.folders[lost] = tempfile::tempdir().unwrap();
    cluster.start(lost);
    let last = addr.send(propose()).await.unwrap().unwrap().index;
    let ControlPeer { vm, address } = cluster.peers[lost].clone();
    let address = address.to_string();
    let remove = MemberChange::Remove { vm: vm.clone() };
    addr.send(ChangeMembers(remove)).await.unwrap().unwrap();
    let add = MemberChange::Add { vm, address };
    addr.send(ChangeMembers(add)).await.unwrap().unwrap();
    let caught_up = |s: &ControlStatus| s.applied > last && s.members.len() == 3;
    cluster.until(lost, caught_up).await;
    // A second VM is lost right after the repair, and the group goes on.
    let second = (leader + 2) % 3;
    cluster.stop(second).await;
    let next = addr.send(propose()).await.unwrap().unwrap().index;
    cluster.until(lost, |s| s.applied >= next).await;
}

#[actix_rt::test]
async fn full_majority() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let leader = cluster.leader(3).await;
    let addr = cluster.vms[leader].clone().unwrap();
    for i in (0..3).filter(|i| *i != leader) {
        cluster.full[i].store(true, Ordering::Relaxed);
    }
    addr.send(propose()).await.unwrap().unwrap_err();
    addr.send(GetRules).await.unwrap().unwrap_err();
}
