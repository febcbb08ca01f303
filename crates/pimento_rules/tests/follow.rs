//! Followers go forward only, whatever the network does to pushes.

use bolero::check;
use pimento_rules::{Follower, Items, Note, NoteBook, Offer, Region, Rules, RulesPush, Step};

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

fn grow(book: &mut NoteBook, upto: u64) {
    for number in book.version() + 1..=upto {
        let offer = book.offer(number, &note(number).encode());
        assert!(matches!(offer, Offer::Accepted(_)), "{offer:?}");
    }
}

/// The rules after the first notes, one at a time.
fn expected(version: u64) -> Rules {
    (1..=version).fold(Rules::default(), |rules, number| {
        rules.apply(&note(number)).expect("the notes are valid")
    })
}

/// Pulls until nothing is missing; the number of pulls.
fn catch_up(follower: &mut Follower, book: &NoteBook) -> usize {
    follower.heard(book.version());
    let mut pulls = 0;
    while let Some(pull) = follower.pull() {
        pulls += 1;
        assert!(pulls < 100, "the follower does not catch up");
        let push = book.answer(&pull);
        let step = follower.receive(&push).expect("the push is whole");
        assert_ne!(step, Step::Unchanged);
    }
    pulls
}

#[test]
fn lossy_network() {
    let mut book = NoteBook::default();
    let mut sent: Vec<RulesPush> = Vec::new();
    grow(&mut book, 1);
    for have in 0..12 {
        grow(&mut book, have + 1);
        sent.push(book.delta(have));
        sent.push(book.delta(have / 2));
    }
    check!().with_type::<Vec<u8>>().for_each(|order| {
        let mut follower = Follower::default();
        for pick in order {
            let before = follower.version();
            let push = &sent[usize::from(*pick) % sent.len()];
            follower.receive(push).expect("the push is whole");
            let now = follower.version();
            assert!(now >= before, "{before} went back to {now}");
            assert_eq!(*follower.rules(), expected(now));
            assert!(follower.newest() >= push.version);
        }
        catch_up(&mut follower, &book);
        assert_eq!(follower.rules(), *book.rules());
    });
}

#[test]
fn far_behind() {
    let mut book = NoteBook::default();
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
    let mut book = NoteBook::default();
    grow(&mut book, MANY);
    let mut peer = Follower::default();
    catch_up(&mut peer, &book);
    let mut follower = Follower::default();
    follower.heard(peer.version());
    while let Some(pull) = follower.pull() {
        let push = peer.answer(&pull);
        follower.receive(&push).expect("the push is whole");
    }
    assert_eq!(follower.rules(), *book.rules());
}

#[test]
fn damaged_push() {
    let mut book = NoteBook::default();
    grow(&mut book, 3);
    let mut push = book.delta(0);
    push.notes[1].truncate(5);
    let mut follower = Follower::default();
    follower.receive(&push).expect_err("a note is cut short");
    assert_eq!(*follower.rules(), expected(1));
}
