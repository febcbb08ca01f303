//! Decoders refuse whatever is not theirs, and never panic.

use bolero::check;
use pimento_rules::{Follower, Note, NoteLog, Page, PushOutcome, Rules, RulesPush};
use prost::Message as _;

const NOTE: &str = "
number: 1
added:
  regions: [{name: a}, {name: b}]
  domains: [{name: a-1, region: a}]
  links: [{a: a, b: b, mbit: 280, latency: 20}]
  services: [{name: s, repeatable: false, tenants: [t], cap: {segment: 0, limit: 3}}]
  blocks: [{net: 10.0.0.0/8, domain: a-1}, {net: '2001:db8::/32', domain: a-1}]
";

fn book() -> NoteLog {
    let mut book = NoteLog::default();
    let note = Note::parse(NOTE).expect("the note is well formed");
    book.offer(7, &note.encode());
    book
}

#[test]
fn any_text() {
    let check = check!().with_type::<String>().with_iterations(500);
    check.for_each(|text| {
        let noted = format!("number: 1\nadded: {text}");
        drop(Note::parse(text));
        drop(Note::parse(&noted));
    });
}

#[test]
fn any_bytes() {
    let check = check!().with_type::<Vec<u8>>().with_iterations(500);
    check.for_each(|bytes| {
        drop(Note::decode(bytes));
        drop(NoteLog::restore(bytes));
        let page = Page {
            version: 3,
            index: 0,
            count: 1,
            body: bytes.clone(),
        };
        let push = RulesPush {
            version: 3,
            notes: vec![bytes.clone()],
            page: Some(page),
        };
        drop(Follower::default().receive(&push));
    });
}

/// Damages one byte, or cuts the rest off.
fn damage(whole: &[u8], at: usize, byte: u8) -> Vec<u8> {
    let at = at % whole.len();
    let mut bytes = whole.to_vec();
    if byte == 0 {
        bytes.truncate(at);
    } else {
        bytes[at] ^= byte;
    }
    bytes
}

#[test]
fn damaged_bytes() {
    let note = Note::parse(NOTE).expect("the note is well formed").encode();
    let snapshot = book().snapshot();
    let check = |at: usize, byte: u8| {
        if let Ok(note) = Note::decode(&damage(&note, at, byte)) {
            drop(Rules::default().apply(&note));
        }
        if let Ok(book) = NoteLog::restore(&damage(&snapshot, at, byte)) {
            let again = NoteLog::restore(&book.snapshot());
            assert_eq!(again.as_ref(), Ok(&book));
        }
    };
    for at in 0..snapshot.len() {
        (0..=u8::MAX).step_by(5).for_each(|byte| check(at, byte));
    }
    let any = check!().with_type::<(usize, u8)>().with_iterations(500);
    any.for_each(|(at, byte)| check(*at, *byte));
}

/// The numbers of a snapshot that no book has made.
#[derive(Clone, PartialEq, prost::Message)]
struct Forged {
    #[prost(uint64, tag = "1")]
    base: u64,
    #[prost(uint64, tag = "4")]
    oldest: u64,
    #[prost(bytes = "vec", tag = "5")]
    digests: Vec<u8>,
    #[prost(uint64, repeated, tag = "6")]
    times: Vec<u64>,
}

#[test]
fn largest_numbers() {
    let forged = Forged {
        base: u64::MAX,
        oldest: u64::MAX,
        digests: vec![0; 32],
        times: vec![0],
    };
    NoteLog::restore(&forged.encode_to_vec()).expect_err("no number follows the last");
    let page = Page {
        version: u64::MAX,
        index: 0,
        count: 1,
        body: Vec::new(),
    };
    let note = Note {
        number: u64::MAX,
        ..Note::default()
    };
    let push = RulesPush {
        version: u64::MAX,
        notes: vec![note.encode()],
        page: Some(page),
    };
    let mut follower = Follower::default();
    let step = follower.receive(&push);
    assert_eq!(step, Ok(PushOutcome::Applied(u64::MAX)));
}

#[test]
fn whole_bytes() {
    let note = Note::parse(NOTE).expect("the note is well formed");
    assert_eq!(Note::decode(&note.encode()), Ok(note));
    let book = book();
    assert_eq!(NoteLog::restore(&book.snapshot()), Ok(book));
}
