//! VMs of one failure domain find, miss and find each other again.

mod common;

use common::Net;
use pimento_members::{Body, Effect, EncodedInfo, Hello, Message, PeerState};

#[test]
fn all_join() {
    let mut net = Net::new(&[6], 1);
    net.run_until(5, Net::agrees);
}

#[test]
fn vm_dies() {
    let mut net = Net::new(&[6], 2);
    net.run_until(5, Net::agrees);
    net.kill(3);
    net.run_until(8, Net::agrees);
    assert_eq!(net.deaths(), 5, "each other VM says so once");
}

#[test]
fn vm_restarts() {
    let mut net = Net::new(&[6], 3);
    net.run_until(5, Net::agrees);
    net.restart(2);
    net.run_until(5, Net::agrees);
    assert_eq!(
        net.members(0)
            .peer("d0-vm2")
            .expect("known")
            .info
            .incarnation,
        2
    );
    net.run(20);
    assert_eq!(net.deaths(), 0, "a quick restart is no death");
}

#[test]
fn address_changes() {
    let mut net = Net::new(&[6], 4);
    net.run_until(5, Net::agrees);
    net.nodes[4].info.link = common::address(99);
    net.restart(4);
    net.run_until(10, Net::agrees);
    let peer = net.members(0).peer("d0-vm4").expect("known");
    assert_eq!(peer.info.link, common::address(99));
}

#[test]
fn vm_leaves() {
    let mut net = Net::new(&[6], 5);
    net.run_until(5, Net::agrees);
    net.leave(1);
    net.run(1);
    let left = net.members(0).peer("d0-vm1").expect("known");
    assert_eq!(left.state, PeerState::Left);
    net.run(20);
    assert_eq!(net.deaths(), 0, "a planned stop is no death");
    net.restart(1);
    net.run_until(5, Net::agrees);
}

#[test]
fn all_restart() {
    let mut net = Net::new(&[6, 6], 6);
    net.run_until(10, Net::agrees);
    (0..12).for_each(|node| net.kill(node));
    net.run(2);
    (0..12).for_each(|node| net.restart(node));
    net.run_until(10, Net::agrees);
    net.run_until(10, |net| net.covers(1, 5));
}

#[test]
fn partition_heals() {
    let mut net = Net::new(&[6], 7);
    net.run_until(5, Net::agrees);
    (3..6).for_each(|node| net.nodes[node].group = 1);
    net.run_until(10, Net::agrees);
    assert_eq!(net.deaths(), 2 * 3 * 3, "both halves go on");
    (3..6).for_each(|node| net.nodes[node].group = 0);
    net.run_until(15, Net::agrees);
}

#[test]
fn lossy_links() {
    for seed in 0..5 {
        let mut net = Net::new(&[12, 3], 100 + seed);
        net.loss = 5;
        net.run_until(10, Net::agrees);
        net.run(120);
        assert_eq!(net.deaths(), 0, "seed {seed}");
    }
}

#[test]
fn refuted_suspicion() {
    let mut net = Net::new(&[3], 8);
    net.run_until(5, Net::agrees);
    // The third VM is cut off for less than suspicion and grace together.
    net.nodes[2].group = 1;
    let suspected =
        |net: &Net| net.members(0).peer("d0-vm2").expect("known").state == PeerState::Suspect;
    net.run_until(5, suspected);
    net.nodes[2].group = 0;
    net.run_until(2, |net| net.agrees() && !suspected(net));
    assert_eq!(net.deaths(), 0);
}

#[test]
fn paused_vm() {
    let mut net = Net::new(&[4], 9);
    net.run_until(5, Net::agrees);
    // The process sleeps; when it wakes, all others seem silent at once.
    let sleeper = net.nodes[0].members.take();
    net.run(20);
    net.nodes[0].members = sleeper;
    net.run_until(10, Net::agrees);
    let dead = |e: &Effect| matches!(e, Effect::Dead(_));
    let own = net.nodes[0].events.iter().filter(|(_, e)| dead(e));
    assert_eq!(own.count(), 0, "the sleeper suspects and waits");
}

#[test]
fn cut_pair() {
    let mut net = Net::new(&[4], 10);
    net.run_until(5, Net::agrees);
    net.pair = Some((0, 1));
    net.run(60);
    assert_eq!(net.deaths(), 0, "the others vouch for both");
    assert!(net.agrees());
}

#[test]
fn late_greeting() {
    let mut net = Net::new(&[2], 11);
    net.run_until(5, Net::agrees);
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
    let text = EncodedInfo {
        vm: old.vm.to_string(),
        region: old.region.to_string(),
        domain: old.domain.to_string(),
        incarnation: old.incarnation,
        link: vec![10, 0, 0, 1, 1, 1],
        ..EncodedInfo::default()
    };
    let hello = Hello {
        info: Some(text),
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
