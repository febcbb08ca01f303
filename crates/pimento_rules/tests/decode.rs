//! Decoders refuse whatever is not theirs, and never panic.

use bolero::check;
use pimento_rules::{Follower, Note, NoteBook, Page, Rules, RulesPush};

const NOTE: &str = "
number: 1
added:
  regions: [{name: a}, {name: b}]
  domains: [{name: a-1, region: a}]
  links: [{a: a, b: b, mbit: 280, latency: 20}]
  services: [{name: s, repeatable: false, tenants: [t], cap: {segment: 0, limit: 3}}]
  blocks: [{net: 10.0.0.0/8, domain: a-1}, {net: '2001:db8::/32', domain: a-1}]
";

fn book() -> NoteBook {
    let mut book = NoteBook::default();
    let note = Note::parse(NOTE).expect("the note is well formed");
    book.offer(7, &note.encode());
    book
}

#[test]
fn any_text() {
    check!().with_type::<String>().for_each(|text| {
        let noted = format!("number: 1\nadded: {text}");
        drop(Note::parse(text));
        drop(Note::parse(&noted));
    });
}

#[test]
fn any_bytes() {
    check!().with_type::<Vec<u8>>().for_each(|bytes| {
        drop(Note::decode(bytes));
        drop(NoteBook::restore(bytes));
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
    check!().with_type::<(usize, u8)>().for_each(|(at, byte)| {
        if let Ok(note) = Note::decode(&damage(&note, *at, *byte)) {
            drop(Rules::default().apply(&note));
        }
        if let Ok(book) = NoteBook::restore(&damage(&snapshot, *at, *byte)) {
            let again = NoteBook::restore(&book.snapshot());
            assert_eq!(again.as_ref(), Ok(&book));
        }
    });
}

#[test]
fn whole_bytes() {
    let note = Note::parse(NOTE).expect("the note is well formed");
    assert_eq!(Note::decode(&note.encode()), Ok(note));
    let book = book();
    assert_eq!(NoteBook::restore(&book.snapshot()), Ok(book));
}
