//! Followers go forward only, whatever the network does to pushes.

use bolero::check;
use ipnet::IpNet;
use pimento_rules::{
    Block, Domain, Follower, Items, Note, NoteLog, OfferOutcome, PushOutcome, Region, Rules,
    RulesPull, RulesPush,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use std::net::Ipv4Addr;

/// Schedules in the fixed set.
const SEEDS: u64 = 200;

/// The notes that the compaction of a book surely has passed.
const MANY: u64 = 1_100;

fn region(n: u64) -> Region {
    Region {
        name: format!("region-{n}").parse().expect("a valid name"),
        reserve: 20,
    }
}

/// A note that adds one region.
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

fn grow(book: &mut NoteLog, upto: u64) {
    for number in book.version() + 1..=upto {
        let offer = book.offer(number, &note(number).encode());
        assert!(matches!(offer, OfferOutcome::Accepted(_)), "{offer:?}");
    }
}

/// The rules after the first notes, one at a time.
fn expected(version: u64) -> Rules {
    (1..=version).fold(Rules::default(), |rules, number| {
        rules.apply(&note(number)).expect("the notes are valid")
    })
}

/// Pulls until nothing is missing; the number of pulls.
fn catch_up(follower: &mut Follower, book: &NoteLog) -> usize {
    follower.observe_version(book.version());
    let mut pulls = 0;
    while let Some(pull) = follower.pull_if_behind() {
        pulls += 1;
        assert!(pulls < 100, "the follower does not catch up");
        let push = book.answer_pull(&pull);
        let step = follower.receive(&push).expect("the push is whole");
        assert_ne!(step, PushOutcome::Unchanged);
    }
    pulls
}

#[test]
fn lossy_network() {
    let mut book = NoteLog::default();
    let mut sent: Vec<RulesPush> = Vec::new();
    grow(&mut book, 1);
    for have in 0..12 {
        grow(&mut book, have + 1);
        sent.push(book.push_since(have));
        sent.push(book.push_since(have / 2));
    }
    let pushes = |seed: u64| {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut follower = Follower::default();
        for _ in 0..rng.random_range(0..30) {
            let before = follower.version();
            let push = &sent[rng.random_range(0..sent.len())];
            follower.receive(push).expect("the push is whole");
            let now = follower.version();
            assert!(now >= before, "{before} went back to {now}");
            assert_eq!(*follower.rules(), expected(now));
            assert!(follower.newest_version() >= push.version);
        }
        catch_up(&mut follower, &book);
        assert_eq!(follower.rules(), *book.rules());
    };
    (0..SEEDS).for_each(pushes);
    let check = check!().with_type::<u64>();
    check.with_iterations(50).for_each(|seed| pushes(*seed));
}

#[test]
fn far_behind() {
    let mut book = NoteLog::default();
    grow(&mut book, MANY);
    let mut follower = Follower::default();
    let pulls = catch_up(&mut follower, &book);
    assert!(pulls > 1, "a full copy and notes are needed");
    assert_eq!(follower.rules(), *book.rules());
    grow(&mut book, MANY + 7);
    assert_eq!(catch_up(&mut follower, &book), 1);
}

#[test]
fn peer_answers() {
    let mut book = NoteLog::default();
    grow(&mut book, MANY);
    let mut peer = Follower::default();
    catch_up(&mut peer, &book);
    let mut follower = Follower::default();
    follower.observe_version(peer.version());
    while let Some(pull) = follower.pull_if_behind() {
        let push = peer.answer_pull(&pull);
        follower.receive(&push).expect("the push is whole");
    }
    assert_eq!(follower.rules(), *book.rules());
}

#[test]
fn damaged_push() {
    let mut book = NoteLog::default();
    grow(&mut book, 3);
    let mut push = book.push_since(0);
    push.notes[1].truncate(5);
    let mut follower = Follower::default();
    follower.receive(&push).expect_err("a note is cut short");
    assert_eq!(*follower.rules(), expected(1));
}

/// Rules with enough blocks for several pages.
fn large(version: u64) -> Rules {
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
fn pages_in_any_order() {
    let older = NoteLog::from_base(large(7));
    let newer = NoteLog::from_base(large(9));
    let page = |book: &NoteLog, next_page| {
        let copy_version = book.version();
        let version = 0;
        book.answer_pull(&RulesPull {
            version,
            copy_version,
            next_page,
        })
    };
    let count = page(&newer, 0).page.expect("a page").count;
    assert!(count > 2, "only {count} pages");
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut follower = Follower::default();
        for _ in 0..12 {
            let book = if rng.random_bool(0.5) { &older } else { &newer };
            let push = page(book, rng.random_range(0..count));
            let before = follower.version();
            follower.receive(&push).expect("the page is whole");
            let now = follower.version();
            assert!(now >= before, "{before} went back to {now}");
        }
        catch_up(&mut follower, &newer);
        assert_eq!(follower.rules(), *newer.rules());
        for index in 0..count {
            follower.receive(&page(&older, index)).expect("a late page");
        }
        assert_eq!(follower.version(), 9);
    }
}
