//! Full disks, and data folders that can't be opened.

mod support;

use pimento_control::{
    Control, ControlClient, ControlConfig, ControlError, Fault, GetRules, MembershipMode, Propose,
};
use pimento_core::VmId;
use pimento_state::Command;
use std::sync::atomic::Ordering;
use support::Cluster;

fn propose() -> Propose {
    Propose {
        command: Command::default(),
    }
}

/// Proposes a command until it is accepted, as operators do, since an election drops
/// commands; returns its index.
async fn propose_repeatedly(client: &ControlClient) -> u64 {
    const MAX_ATTEMPTS: usize = 5;
    for _ in 0..MAX_ATTEMPTS {
        if let Ok(outcome) = client.propose(&Command::default()).await {
            return outcome.index;
        }
    }
    panic!("no command was accepted");
}

#[actix_rt::test]
async fn leader_with_full_disk_is_replaced() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let old_leader = cluster.wait_for_leader(3).await;
    let addr = cluster.vms[old_leader].clone().unwrap();
    let last_index = addr.send(propose()).await.unwrap().unwrap().index;
    cluster.disk_full[old_leader].store(true, Ordering::Relaxed);
    // The followers may commit it without the leader's disk, or it may be lost.
    let unknown = addr.send(propose()).await.unwrap();
    cluster
        .wait_for_status(old_leader, |status| status.role == "failed")
        .await;
    let new_leader = cluster.wait_for_leader(3).await;
    assert_ne!(new_leader, old_leader);
    // The VM still forwards requests to the new leader.
    let next_index = addr.send(propose()).await.unwrap().unwrap().index;
    assert!(next_index > unknown.map_or(last_index, |outcome| outcome.index));
    let error = addr.send(GetRules).await.unwrap().unwrap_err();
    assert_eq!(error, ControlError::not_run(Fault::DiskFailed));
    // With free disk space and after a restart it catches up.
    cluster.stop(old_leader).await;
    cluster.disk_full[old_leader].store(false, Ordering::Relaxed);
    cluster.start(old_leader);
    cluster
        .wait_for_status(old_leader, |status| status.applied >= next_index)
        .await;
}

// After the disks of four VMs had been full in turn, the group had no majority any more.
#[actix_rt::test]
async fn disks_full_in_turn() {
    const VMS: usize = 6;
    const FULL_DISKS: usize = 4;
    let mut cluster = Cluster::new(VMS);
    for i in 0..VMS {
        cluster.start_dynamic(i, true);
    }
    cluster.wait_for_leader(VMS).await;
    let client = cluster.client();
    for i in 0..FULL_DISKS {
        cluster.disk_full[i].store(true, Ordering::Relaxed);
        // If the VM leads, the command may be lost with its disk.
        drop(client.propose(&Command::default()).await);
        cluster
            .wait_for_status(i, |status| status.role == "failed")
            .await;
        propose_repeatedly(&client).await;
        cluster.disk_full[i].store(false, Ordering::Relaxed);
        cluster
            .wait_for_status(i, |status| status.role != "failed")
            .await;
        cluster.wait_for_leader(VMS).await;
    }
    let last_index = propose_repeatedly(&client).await;
    for i in 0..VMS {
        cluster
            .wait_for_status(i, |status| status.applied >= last_index)
            .await;
        let addr = cluster.vms[i].clone().unwrap();
        addr.send(GetRules).await.unwrap().unwrap();
    }
}

// What was acknowledged after a full disk has to be in the log that is written again.
#[actix_rt::test]
async fn rebuilt_log_survives_restart() {
    let mut cluster = Cluster::new(1);
    cluster.start(0);
    cluster.wait_for_leader(1).await;
    let addr = cluster.vms[0].clone().unwrap();
    addr.send(propose()).await.unwrap().unwrap();
    cluster.disk_full[0].store(true, Ordering::Relaxed);
    let error = addr.send(propose()).await.unwrap().unwrap_err();
    assert_eq!(error, ControlError::may_have_run(Fault::DiskFailed));
    cluster.disk_full[0].store(false, Ordering::Relaxed);
    cluster.wait_for_leader(1).await;
    let last_index = addr.send(propose()).await.unwrap().unwrap().index;
    cluster.stop(0).await;
    cluster.start(0);
    cluster
        .wait_for_status(0, |status| status.applied >= last_index)
        .await;
}

#[actix_rt::test]
async fn locked_or_foreign_folder_is_refused() {
    let mut cluster = Cluster::new(1);
    cluster.start(0);
    cluster.wait_for_leader(1).await;
    let links = support::client_links();
    let config = ControlConfig {
        vm: VmId::new("other").unwrap(),
        peers: cluster.peers.clone(),
        membership: MembershipMode::Fixed,
        advertise_address: None,
        data: cluster.folders[0].path().to_owned(),
        seed: 0,
    };
    let start = || Control::start(config.clone(), links.clone(), pimento_log::discard());
    let locked = start().unwrap_err().to_string();
    assert!(locked.contains("another process"), "{locked}");
    let addr = cluster.vms[0].take().unwrap();
    addr.send(pimento_control::Shutdown).await.unwrap();
    let foreign = start().unwrap_err().to_string();
    assert!(foreign.contains("belongs to c0"), "{foreign}");
}

#[actix_rt::test]
async fn damaged_folder_is_refused() {
    let mut cluster = Cluster::new(1);
    cluster.start(0);
    cluster.wait_for_leader(1).await;
    let addr = cluster.vms[0].clone().unwrap();
    addr.send(propose()).await.unwrap().unwrap();
    cluster.stop(0).await;
    let log = cluster.folders[0].path().join("log");
    let mut bytes = std::fs::read(&log).unwrap();
    bytes[30] ^= 1;
    std::fs::write(&log, bytes).unwrap();
    let config = ControlConfig {
        vm: cluster.peers[0].vm.clone(),
        peers: cluster.peers.clone(),
        membership: MembershipMode::Fixed,
        advertise_address: None,
        data: cluster.folders[0].path().to_owned(),
        seed: 0,
    };
    let links = cluster.links(0);
    let started = Control::start(config, links, pimento_log::discard());
    let damaged = started.unwrap_err().to_string();
    assert!(damaged.contains("log: damaged at byte"), "{damaged}");
}
