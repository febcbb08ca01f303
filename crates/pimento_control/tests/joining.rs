//! A group whose members come together by themselves.

mod support;

use pimento_control::{Fault, Propose};
use pimento_state::Command;
use std::time::Duration;
use support::Cluster;

fn propose() -> Propose {
    Propose {
        command: Command::default(),
    }
}

fn open_cluster() -> Cluster {
    let mut cluster = Cluster::new(6);
    for i in 0..6 {
        cluster.start_dynamic(i, true);
    }
    cluster
}

#[actix_rt::test]
async fn all_join() {
    let cluster = open_cluster();
    let leader = cluster.leader(6).await;
    let addr = cluster.vms[leader].as_ref().unwrap();
    addr.send(propose()).await.unwrap().unwrap();
}

#[actix_rt::test]
async fn too_few_voters() {
    let mut cluster = Cluster::new(4);
    for i in 0..4 {
        cluster.start_dynamic(i, true);
    }
    let leader = cluster.leader(4).await;
    let addr = cluster.vms[leader].as_ref().unwrap();
    // Two of four disks could be all that hold what is acknowledged.
    let refused = addr.send(propose()).await.unwrap().unwrap_err();
    assert_eq!(refused.fault, Fault::MembershipPending);
}

/// A VM that lost its disk knows only the control VMs of its settings, and the
/// leader may be none of them.
#[actix_rt::test]
async fn wiped_member() {
    let mut cluster = open_cluster();
    cluster.leader(6).await;
    // VMs of the settings stop until one of the others leads.
    let mut leader = cluster.leader(6).await;
    for _ in 0..10 {
        if leader >= 3 {
            break;
        }
        cluster.stop(leader).await;
        let next = cluster.leader(6).await;
        cluster.start_dynamic(leader, false);
        leader = next;
    }
    assert!(
        leader >= 3,
        "no VM beside those of the settings came to lead"
    );
    let wiped = (leader + 1) % 3;
    cluster.stop(wiped).await;
    cluster.wipe(wiped);
    cluster.start_dynamic(wiped, false);
    let client = cluster.client();
    let last = client.propose(&Command::default()).await.unwrap().index;
    cluster.until(wiped, |status| status.applied >= last).await;
    assert_eq!(cluster.leader(6).await, leader);
}

#[actix_rt::test]
async fn empty_never_founds() {
    let mut cluster = Cluster::new(3);
    for i in 0..3 {
        cluster.start_dynamic(i, false);
    }
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    for i in 0..3 {
        assert_ne!(cluster.status(i).await.role, "leader");
    }
}
