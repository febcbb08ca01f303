//! Discovery and failure detection within one failure domain.

mod common;

use common::Network;
use pimento_members::{Body, Effect, EncodedInfo, Hello, Message, PeerState};

#[test]
fn all_join() {
    let mut net = Network::new(&[6], 1);
    net.run_until(5, Network::views_agree);
}

#[test]
fn vm_dies() {
    let mut net = Network::new(&[6], 2);
    net.run_until(5, Network::views_agree);
    net.kill(3);
    net.run_until(8, Network::views_agree);
    assert_eq!(
        net.death_reports(),
        5,
        "each other VM declares it dead once"
    );
}

#[test]
fn vm_restarts() {
    let mut net = Network::new(&[6], 3);
    net.run_until(5, Network::views_agree);
    net.restart(2);
    net.run_until(5, Network::views_agree);
    assert_eq!(
        net.members(0)
            .peer("d0-vm2")
            .expect("known")
            .info
            .incarnation,
        2
    );
    net.run_for(20);
    assert_eq!(net.death_reports(), 0, "a quick restart is not a failure");
}

#[test]
fn address_changes() {
    let mut net = Network::new(&[6], 4);
    net.run_until(5, Network::views_agree);
    net.nodes[4].info.link = common::address(99);
    net.restart(4);
    net.run_until(10, Network::views_agree);
    let peer = net.members(0).peer("d0-vm4").expect("known");
    assert_eq!(peer.info.link, common::address(99));
}

#[test]
fn vm_leaves() {
    let mut net = Network::new(&[6], 5);
    net.run_until(5, Network::views_agree);
    net.leave(1);
    net.run_for(1);
    let left = net.members(0).peer("d0-vm1").expect("known");
    assert_eq!(left.state, PeerState::Left);
    net.run_for(20);
    assert_eq!(
        net.death_reports(),
        0,
        "a graceful shutdown is not a failure"
    );
    net.restart(1);
    net.run_until(5, Network::views_agree);
}

#[test]
fn all_restart() {
    let mut net = Network::new(&[6, 6], 6);
    net.run_until(10, Network::views_agree);
    (0..12).for_each(|node| net.kill(node));
    net.run_for(2);
    (0..12).for_each(|node| net.restart(node));
    net.run_until(10, Network::views_agree);
    net.run_until(10, |net| net.knows_domains(1, 5));
}

#[test]
fn partition_heals() {
    let mut net = Network::new(&[6], 7);
    net.run_until(5, Network::views_agree);
    (3..6).for_each(|node| net.nodes[node].partition = 1);
    net.run_until(10, Network::views_agree);
    assert_eq!(
        net.death_reports(),
        2 * 3 * 3,
        "each side declares the other one dead"
    );
    (3..6).for_each(|node| net.nodes[node].partition = 0);
    net.run_until(15, Network::views_agree);
}

#[test]
fn lossy_links() {
    for seed in 0..5 {
        let mut net = Network::new(&[12, 3], 100 + seed);
        net.loss_percent = 5;
        net.run_until(10, Network::views_agree);
        net.run_for(120);
        assert_eq!(net.death_reports(), 0, "seed {seed}");
    }
}

#[test]
fn refuted_suspicion() {
    let mut net = Network::new(&[3], 8);
    net.run_until(5, Network::views_agree);
    // The third VM is cut off until it is suspected, but not declared dead.
    net.nodes[2].partition = 1;
    let suspected =
        |net: &Network| net.members(0).peer("d0-vm2").expect("known").state == PeerState::Suspect;
    net.run_until(5, suspected);
    net.nodes[2].partition = 0;
    net.run_until(2, |net| net.views_agree() && !suspected(net));
    assert_eq!(net.death_reports(), 0);
}

#[test]
fn paused_vm() {
    let mut net = Network::new(&[4], 9);
    net.run_until(5, Network::views_agree);
    // After the process was paused, all other VMs seem silent at once.
    let paused = net.nodes[0].members.take();
    net.run_for(20);
    net.nodes[0].members = paused;
    net.run_until(10, Network::views_agree);
    let dead = |e: &Effect| matches!(e, Effect::Dead(_));
    let reports = net.nodes[0].events.iter().filter(|(_, e)| dead(e));
    assert_eq!(reports.count(), 0, "the paused VM only suspects the others");
}

#[test]
fn cut_pair() {
    let mut net = Network::new(&[4], 10);
    net.run_until(5, Network::views_agree);
    net.cut_pair = Some((0, 1));
    net.run_for(60);
    assert_eq!(
        net.death_reports(),
        0,
        "the others confirm that both are alive"
    );
    assert!(net.views_agree());
}

#[test]
fn stale_hello() {
    let mut net = Network::new(&[2], 11);
    net.run_until(5, Network::views_agree);
    let old = net.nodes[1].info.clone();
    net.nodes[1].info.link = common::address(50);
    net.restart(1);
    net.run_until(10, |net| {
        net.members(0)
            .peer("d0-vm1")
            .expect("known")
            .info
            .incarnation
            == 2
    });
    let stale_info = EncodedInfo {
        vm: old.vm.to_string(),
        region: old.region.to_string(),
        domain: old.domain.to_string(),
        incarnation: old.incarnation,
        link: vec![10, 0, 0, 1, 1, 1],
        ..EncodedInfo::default()
    };
    let hello = Hello {
        info: Some(stale_info),
        ..Hello::default()
    };
    let body = Some(Body::Hello(hello));
    let now = net.now;
    let members = net.nodes[0].members.as_mut().expect("running");
    members.receive(now, Message { body });
    let peer = members.peer("d0-vm1").expect("known");
    assert_eq!(
        (peer.info.incarnation, peer.info.link),
        (2, common::address(50))
    );
}
