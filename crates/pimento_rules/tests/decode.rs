//! Decoders reject invalid input and never panic.

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

fn one_note_log() -> NoteLog {
    let mut log = NoteLog::default();
    let note = Note::parse(NOTE).expect("the note is well formed");
    log.offer(7, &note.encode());
    log
}

#[test]
fn parsing_arbitrary_text_never_panics() {
    let check = check!().with_type::<String>().with_iterations(500);
    check.for_each(|text| {
        let nested = format!("number: 1\nadded: {text}");
        drop(Note::parse(text));
        drop(Note::parse(&nested));
    });
}

#[test]
fn decoding_arbitrary_bytes_never_panics() {
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

/// Flips bits of one byte, or truncates the bytes there if `byte` is zero.
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
fn damaged_encodings_never_panic() {
    let note = Note::parse(NOTE).expect("the note is well formed").encode();
    let snapshot = one_note_log().snapshot();
    let check = |at: usize, byte: u8| {
        if let Ok(note) = Note::decode(&damage(&note, at, byte)) {
            drop(Rules::default().apply(&note));
        }
        if let Ok(log) = NoteLog::restore(&damage(&snapshot, at, byte)) {
            let restored = NoteLog::restore(&log.snapshot());
            assert_eq!(restored.as_ref(), Ok(&log));
        }
    };
    for at in 0..snapshot.len() {
        (0..=u8::MAX).step_by(5).for_each(|byte| check(at, byte));
    }
    let fuzz = check!().with_type::<(usize, u8)>().with_iterations(500);
    fuzz.for_each(|(at, byte)| check(*at, *byte));
}

/// A snapshot with numbers that no log produces; the tags are those of a real
/// snapshot.
#[derive(Clone, PartialEq, prost::Message)]
struct ForgedSnapshot {
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
fn largest_numbers_do_not_overflow() {
    let forged = ForgedSnapshot {
        base: u64::MAX,
        oldest: u64::MAX,
        digests: vec![0; 32],
        times: vec![0],
    };
    NoteLog::restore(&forged.encode_to_vec()).expect_err("no number follows the largest");
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
    let outcome = follower.receive(&push);
    assert_eq!(outcome, Ok(PushOutcome::Applied(u64::MAX)));
}

#[test]
fn encodings_round_trip() {
    let note = Note::parse(NOTE).expect("the note is well formed");
    assert_eq!(Note::decode(&note.encode()), Ok(note));
    let log = one_note_log();
    assert_eq!(NoteLog::restore(&log.snapshot()), Ok(log));
}
