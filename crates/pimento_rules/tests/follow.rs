//! The version of a follower never decreases, even if pushes are lost,
//! duplicated or reordered.

use bolero::check;
use ipnet::IpNet;
use pimento_rules::{
    Block, Domain, Follower, Items, Note, NoteLog, OfferOutcome, PushOutcome, Region, Rules,
    RulesPull, RulesPush,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use std::net::Ipv4Addr;

/// Number of seeds that every run of the tests covers.
const FIXED_SEEDS: u64 = 200;

/// Number of notes after which the log has compacted some of them.
const COMPACTED_NOTES: u64 = 1_100;

fn region(n: u64) -> Region {
    Region {
        name: format!("region-{n}").parse().expect("a valid name"),
        reserve: 20,
    }
}

/// Builds a note that adds one region.
fn note(number: u64) -> Note {
    Note {
        number,
        added: Items {
            regions: vec![region(number)],
            ..Items::default()
        },
        ..Note::default()
    }
}

fn append_notes(log: &mut NoteLog, last: u64) {
    for number in log.version() + 1..=last {
        let offer = log.offer(number, &note(number).encode());
        assert!(matches!(offer, OfferOutcome::Accepted(_)), "{offer:?}");
    }
}

/// Applies the first notes one by one, without a log.
fn rules_after(version: u64) -> Rules {
    (1..=version).fold(Rules::default(), |rules, number| {
        rules.apply(&note(number)).expect("the notes are valid")
    })
}

/// Pulls until nothing is missing, and returns the number of pulls.
fn catch_up(follower: &mut Follower, log: &NoteLog) -> usize {
    follower.observe_version(log.version());
    let mut pulls = 0;
    while let Some(pull) = follower.pull_if_behind() {
        pulls += 1;
        assert!(pulls < 100, "the follower does not catch up");
        let push = log.answer_pull(&pull);
        let outcome = follower.receive(&push).expect("the push is valid");
        assert_ne!(outcome, PushOutcome::Unchanged);
    }
    pulls
}

#[test]
fn version_never_decreases_on_a_lossy_network() {
    let mut log = NoteLog::default();
    let mut sent: Vec<RulesPush> = Vec::new();
    append_notes(&mut log, 1);
    for version in 0..12 {
        append_notes(&mut log, version + 1);
        sent.push(log.push_since(version));
        sent.push(log.push_since(version / 2));
    }
    let replay = |seed: u64| {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut follower = Follower::default();
        for _ in 0..rng.random_range(0..30) {
            let before = follower.version();
            let push = &sent[rng.random_range(0..sent.len())];
            follower.receive(push).expect("the push is valid");
            let now = follower.version();
            assert!(
                now >= before,
                "the version decreased from {before} to {now}"
            );
            assert_eq!(*follower.rules(), rules_after(now));
            assert!(follower.newest_version() >= push.version);
        }
        catch_up(&mut follower, &log);
        assert_eq!(follower.rules(), *log.rules());
    };
    (0..FIXED_SEEDS).for_each(replay);
    let fuzz = check!().with_type::<u64>();
    fuzz.with_iterations(50).for_each(|seed| replay(*seed));
}

#[test]
fn far_behind_follower_gets_a_full_copy() {
    let mut log = NoteLog::default();
    append_notes(&mut log, COMPACTED_NOTES);
    let mut follower = Follower::default();
    let pulls = catch_up(&mut follower, &log);
    assert!(
        pulls > 1,
        "catching up takes a full copy and notes, but took {pulls} pull"
    );
    assert_eq!(follower.rules(), *log.rules());
    append_notes(&mut log, COMPACTED_NOTES + 7);
    assert_eq!(catch_up(&mut follower, &log), 1);
}

#[test]
fn peer_answers_pulls() {
    let mut log = NoteLog::default();
    append_notes(&mut log, COMPACTED_NOTES);
    let mut peer = Follower::default();
    catch_up(&mut peer, &log);
    let mut follower = Follower::default();
    follower.observe_version(peer.version());
    while let Some(pull) = follower.pull_if_behind() {
        let push = peer.answer_pull(&pull);
        follower.receive(&push).expect("the push is valid");
    }
    assert_eq!(follower.rules(), *log.rules());
}

#[test]
fn damaged_push_keeps_the_notes_before_the_damage() {
    let mut log = NoteLog::default();
    append_notes(&mut log, 3);
    let mut push = log.push_since(0);
    push.notes[1].truncate(5);
    let mut follower = Follower::default();
    follower
        .receive(&push)
        .expect_err("the second note is truncated");
    assert_eq!(*follower.rules(), rules_after(1));
}

/// Builds rules with enough blocks for several pages.
fn multi_page_rules(version: u64) -> Rules {
    let domain = Domain {
        name: "d".parse().expect("a valid name"),
        region: "region-1".parse().expect("a valid name"),
    };
    let block = |n: u32| Block {
        net: IpNet::new(Ipv4Addr::from(n << 8).into(), 24).expect("the length fits"),
        domain: domain.name.clone(),
    };
    Rules {
        version,
        regions: vec![region(1)],
        domains: vec![domain.clone()],
        blocks: (0..80_000).map(block).collect(),
        ..Rules::default()
    }
}

#[test]
fn pages_arrive_in_any_order() {
    let older = NoteLog::from_base(multi_page_rules(7));
    let newer = NoteLog::from_base(multi_page_rules(9));
    let page = |log: &NoteLog, next_page| {
        let copy_version = log.version();
        let version = 0;
        log.answer_pull(&RulesPull {
            version,
            copy_version,
            next_page,
        })
    };
    let count = page(&newer, 0).page.expect("the answer has a page").count;
    assert!(count > 2, "only {count} pages");
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut follower = Follower::default();
        for _ in 0..12 {
            let log = if rng.random_bool(0.5) { &older } else { &newer };
            let push = page(log, rng.random_range(0..count));
            let before = follower.version();
            follower.receive(&push).expect("the page is valid");
            let now = follower.version();
            assert!(
                now >= before,
                "the version decreased from {before} to {now}"
            );
        }
        catch_up(&mut follower, &newer);
        assert_eq!(follower.rules(), *newer.rules());
        for index in 0..count {
            follower
                .receive(&page(&older, index))
                .expect("a late page is ignored");
        }
        assert_eq!(follower.version(), 9);
    }
}
