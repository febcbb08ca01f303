//! Summaries between failure domains.

mod common;

use common::Network;
use pimento_members::{Body, Effect, EncodedContact, Members, Message, ServiceLoad, Summary};

fn load(service: &str, slots: u32, free: u32) -> ServiceLoad {
    ServiceLoad {
        service: service.parse().expect("good name"),
        slots,
        free,
        queued: 1,
        latency: 20_000,
        cold: 0,
    }
}

#[test]
fn all_covered() {
    let mut net = Network::new(&[3, 3, 3, 3, 3, 3], 1);
    net.run_until(15, |net| net.knows_domains(5, 5));
    net.run_until(5, |net| {
        let domain = net.members(0).domain("d4").expect("known");
        (domain.live, domain.total) == (3, 3)
    });
    let domain = net.members(0).domain("d4").expect("known");
    assert_eq!(domain.region.as_deref(), Some("r2"));
}

#[test]
fn load_reaches_other_domains() {
    let mut net = Network::new(&[3, 3], 2);
    for (node, free) in [(3, 2), (4, 5)] {
        let members = net.nodes[node].members.as_mut().expect("running");
        members.set_load(vec![load("sign-ups", 6, free), load("roster", 4, 0)]);
    }
    net.run_for(15);
    let domain = net.members(0).domain("d1").expect("known");
    let names: Vec<&str> = domain.services.iter().map(|s| &*s.load.service).collect();
    assert_eq!(names, ["roster", "sign-ups"]);
    let sign_ups = &domain.services[1];
    assert_eq!(
        (
            sign_ups.load.slots,
            sign_ups.load.free,
            sign_ups.load.queued
        ),
        (12, 7, 2)
    );
    assert_eq!(sign_ups.load.latency, 20_000);
    let best: Vec<&str> = sign_ups.best.iter().map(|vm| &**vm).collect();
    assert_eq!(best, ["d1-vm1", "d1-vm0"]);
    assert!(
        domain.services[0].best.is_empty(),
        "a service without free slots has no best VM"
    );
    let contact = domain.contacts.iter().find(|c| &*c.vm == "d1-vm1");
    assert_eq!(contact.expect("named").forwards, net.nodes[4].info.forwards);
}

#[test]
fn peer_loads() {
    let mut net = Network::new(&[3], 3);
    let set = |net: &mut Network, loads| {
        net.nodes[1]
            .members
            .as_mut()
            .expect("running")
            .set_load(loads);
    };
    set(&mut net, vec![load("sign-ups", 6, 4)]);
    net.run_for(5);
    let received = |net: &Network| net.members(0).peer("d0-vm1").expect("known").loads.clone();
    assert_eq!(received(&net), [load("sign-ups", 6, 4)]);
    set(&mut net, vec![load("sign-ups", 6, 1)]);
    net.run_for(1);
    assert_eq!(received(&net), [load("sign-ups", 6, 1)]);
    set(&mut net, vec![]);
    net.run_for(1);
    assert_eq!(received(&net), []);
}

#[test]
fn version_spreads() {
    let mut net = Network::new(&[3, 3, 3], 4);
    net.run_until(15, |net| net.knows_domains(2, 5));
    net.nodes[0]
        .members
        .as_mut()
        .expect("running")
        .set_version(7);
    // A VM that learns of newer rules fetches them within a second.
    for _ in 0..8 {
        net.run_for(1);
        for node in &mut net.nodes {
            let newer = |e: &Effect| match e {
                Effect::NewerRules { version, .. } => Some(*version),
                _ => None,
            };
            let version = node.events.iter().filter_map(|(_, e)| newer(e)).max();
            let members = node.members.as_mut().expect("running");
            members.set_version(version.unwrap_or(0));
        }
    }
    let version_ranges = net
        .members(0)
        .domains()
        .iter()
        .map(|d| (d.min_version, d.max_version));
    assert!(
        version_ranges.eq([(7, 7), (7, 7)]),
        "all domains have the new version"
    );
    let peers = net.members(8).peers().iter();
    assert!(peers.map(|p| p.version).eq([7, 7]));
}

#[test]
fn domain_cut() {
    let mut net = Network::new(&[3, 3, 3], 5);
    net.run_until(15, |net| net.knows_domains(2, 5));
    (0..3).for_each(|node| net.nodes[node].partition = 1);
    net.run_for(30);
    assert_eq!(
        net.death_reports(),
        0,
        "a cut between domains causes no failures within them"
    );
    let domain = net.members(0).domain("d1").expect("known");
    assert!(
        domain.age(net.now).as_secs() >= 25,
        "the age of the last summary grows"
    );
    (0..3).for_each(|node| net.nodes[node].partition = 0);
    net.run_until(10, |net| net.knows_domains(2, 5));
}

#[test]
fn delegate_dies() {
    let mut net = Network::new(&[3, 1], 6);
    net.run_until(15, |net| net.knows_domains(1, 5));
    for node in 0..2 {
        net.kill(node);
        net.run_until(10, |net| net.views_agree() && net.knows_domains(1, 3));
    }
}

#[test]
fn late_domain() {
    let mut net = Network::new(&[3, 3, 2], 7);
    (6..8).for_each(|node| net.kill(node));
    net.run_until(15, |net| net.knows_domains(1, 5));
    (6..8).for_each(|node| net.restart(node));
    net.run_until(15, |net| net.knows_domains(2, 5));
}

#[test]
fn lossy_summaries() {
    let mut net = Network::new(&[4, 4, 4, 4], 8);
    net.loss_percent = 5;
    net.run_until(30, |net| net.knows_domains(3, 5));
    net.run_for(60);
    assert!(net.knows_domains(3, 15));
}

#[test]
fn foreign_leave() {
    let mut net = Network::new(&[3, 3], 9);
    net.run_for(15);
    let is_routable = |net: &Network, node: usize| {
        let domain = net.members(node).domain("d1").expect("known");
        let contact = domain.contacts.iter().find(|c| &*c.vm == "d1-vm1");
        contact.is_some_and(|c| c.callers.is_some())
    };
    assert!((0..3).all(|node| is_routable(&net, node)));
    net.leave(4);
    net.step();
    net.step();
    assert!((0..3).all(|node| !is_routable(&net, node)));
}

#[test]
fn summary_age() {
    let mut net = Network::new(&[1], 9);
    let summary = Summary {
        domain: "d7".into(),
        region: "r7".into(),
        age_ms: 5_000,
        contacts: vec![EncodedContact {
            vm: "d7-vm0".into(),
            link: vec![10, 9, 9, 9, 1, 1],
            ..EncodedContact::default()
        }],
        ..Summary::default()
    };
    net.run_for(1);
    let now = net.now;
    let members = net.nodes[0].members.as_mut().expect("running");
    let receive = |members: &mut Members, age| {
        let summary = Summary {
            age_ms: age,
            ..summary.clone()
        };
        let body = Some(Body::Summary(summary));
        members.receive(now, Message { body });
        members.domain("d7").expect("known").age(now).as_secs()
    };
    assert_eq!(receive(members, 5_000), 5, "the age at receipt counts");
    assert_eq!(receive(members, 9_000), 5, "an older summary is ignored");
    assert_eq!(receive(members, 2_000), 2);
}
