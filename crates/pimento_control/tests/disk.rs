//! Disks that fill up, and data folders that can't be used.

mod support;

use pimento_control::{
    Control, ControlConfig, ControlError, Fault, GetRules, MembershipMode, Propose,
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

#[actix_rt::test]
async fn full_disk() {
    let mut cluster = Cluster::new(3);
    cluster.start_all();
    let old = cluster.leader(3).await;
    let addr = cluster.vms[old].clone().unwrap();
    let last = addr.send(propose()).await.unwrap().unwrap().index;
    cluster.full[old].store(true, Ordering::Relaxed);
    // The others may commit it without the leader's disk, or it may be lost.
    let unknown = addr.send(propose()).await.unwrap();
    cluster.until(old, |status| status.role == "failed").await;
    let new = cluster.leader(3).await;
    assert_ne!(new, old);
    // The VM still serves by way of the others.
    let next = addr.send(propose()).await.unwrap().unwrap().index;
    assert!(next > unknown.map_or(last, |outcome| outcome.index));
    let stale = addr.send(GetRules).await.unwrap().unwrap_err();
    assert_eq!(stale, ControlError::not_run(Fault::DiskFailed));
    // With room on the disk and a new start it takes part again.
    cluster.stop(old).await;
    cluster.full[old].store(false, Ordering::Relaxed);
    cluster.start(old);
    cluster.until(old, |status| status.applied >= next).await;
}

#[actix_rt::test]
async fn foreign_folder() {
    let mut cluster = Cluster::new(1);
    cluster.start(0);
    cluster.leader(1).await;
    let links = support::spare_links();
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
    assert!(foreign.contains("that of c0"), "{foreign}");
}

#[actix_rt::test]
async fn damaged_folder() {
    let mut cluster = Cluster::new(1);
    cluster.start(0);
    cluster.leader(1).await;
    let addr = cluster.vms[0].clone().unwrap();
    addr.send(propose()).await.unwrap().unwrap();
    cluster.stop(0).await;
    let log = cluster.folders[0].path().join("log");
    let mut data = std::fs::read(&log).unwrap();
    data[30] ^= 1;
    std::fs::write(&log, data).unwrap();
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
