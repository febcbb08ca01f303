//! Refused notes name the path of the field at fault.

use pimento_rules::{MAX_NOTE_BYTES, Note, NoteError, Rules};

const FIRST: &str = "
number: 1
added:
  regions:
    - {name: sapporo}
    - {name: kushiro, reserve: 30}
  domains:
    - {name: sapporo-a, region: sapporo}
    - {name: kushiro-a, region: kushiro}
  links:
    - {a: kushiro, b: sapporo, mbit: 4000, latency: 12}
  services:
    - {name: sign-ups, repeatable: false, cap: {segment: 1, limit: 5}}
    - {name: shifts, repeatable: true}
  blocks:
    - {net: 10.1.0.0/16, domain: sapporo-a}
    - {net: 10.2.0.0/16, domain: kushiro-a}
    - {net: '2001:db8::/48', domain: kushiro-a}
";

fn first() -> Rules {
    let note = Note::parse(FIRST).expect("the note is well formed");
    Rules::default().apply(&note).expect("the note is valid")
}

fn fault(yaml: &str) -> NoteError {
    let text = format!("number: 2\n{yaml}");
    match Note::parse(&text) {
        Err(e) => e,
        Ok(note) => first().apply(&note).expect_err(yaml),
    }
}

#[test]
fn faulty_fields() {
    let cases = [
        ("added: {regions: [{name: sapporo}]}", "added.regions[0]"),
        ("changed: {regions: [{name: x}]}", "changed.regions[0]"),
        ("withdrawn: {services: [x]}", "withdrawn.services[0]"),
        ("withdrawn: {regions: [sapporo]}", "withdrawn.regions[0]"),
        ("withdrawn: {domains: [sapporo-a]}", "withdrawn.domains[0]"),
        (
            "added: {domains: [{name: x, region: y}]}",
            "added.domains[0].region",
        ),
        (
            "added: {links: [{a: sapporo, b: kushiro, mbit: 1, latency: 1}]}",
            "added.links[0].b",
        ),
        (
            "added: {links: [{a: kushiro, b: x, mbit: 1, latency: 1}]}",
            "added.links[0].b",
        ),
        (
            "changed: {links: [{a: kushiro, b: sapporo, mbit: 0, latency: 1}]}",
            "changed.links[0].mbit",
        ),
        (
            "added: {blocks: [{net: 10.3.0.0/16, domain: x}]}",
            "added.blocks[0].domain",
        ),
        (
            "added: {blocks: [{net: 10.3.0.1/16, domain: sapporo-a}]}",
            "added.blocks[0].net",
        ),
        (
            "added: {blocks: [{net: 10.1.0.0/16, domain: sapporo-a}]}",
            "added.blocks[0]",
        ),
        ("withdrawn: {blocks: [10.3.0.0/16]}", "withdrawn.blocks[0]"),
        (
            "changed: {regions: [{name: sapporo, reserve: 101}]}",
            "changed.regions[0].reserve",
        ),
        (
            "added: {services: [{name: x, repeatable: true, cap: {segment: 0, limit: 1}}]}",
            "added.services[0].cap",
        ),
        (
            "added: {services: [{name: x, repeatable: false, retry: {hedge: 5}}]}",
            "added.services[0].retry.hedge",
        ),
        (
            "added: {services: [{name: x, repeatable: true}, \
             {name: y, repeatable: false, cap: {segment: 0, limit: 0}}]}",
            "added.services[1].cap.limit",
        ),
        (
            "added: {services: [{name: x, repeatable: true, timeout: 0}]}",
            "added.services[0].timeout",
        ),
        (
            "added: {services: [{name: x, repeatable: true, tenants: [a, b, a]}]}",
            "added.services[0].tenants[2]",
        ),
        (
            "added: {services: [{name: x, repeatable: true}, {name: x, repeatable: true}]}",
            "added.services[1]",
        ),
        (
            "changed: {services: [{name: shifts, repeatable: true}]}\n\
             withdrawn: {services: [shifts]}",
            "withdrawn.services[0]",
        ),
        ("added: {services: [{name: x}]}", "added.services[0]"),
        (
            "added: {services: [{name: x, repeatable: 7}]}",
            "added.services[0].repeatable",
        ),
        (
            "added: {services: [{name: x, repeatable: true, retries: 7}]}",
            "added.services[0].retries",
        ),
        (
            "added: {regions: [{name: Sapporo}]}",
            "added.regions[0].name",
        ),
        ("removed: {}", "removed"),
    ];
    for (yaml, field) in cases {
        let error = fault(yaml);
        assert_eq!(error.field(), field, "{yaml}: {error}");
    }
}

#[test]
fn wrong_number() {
    let note = Note::parse("number: 3").expect("the note is well formed");
    let error = first().apply(&note).expect_err("a gap");
    let (found, expected) = (3, 2);
    assert_eq!(error, NoteError::Number { found, expected });
}

#[test]
fn line_and_column() {
    let text = "number: 2\nadded:\n  regions:\n    - name: x\n      reserve: many\n";
    let Err(NoteError::Parse { field, place, .. }) = Note::parse(text) else {
        panic!("the reserve is no number");
    };
    assert_eq!(field, "added.regions[0].reserve");
    let place = place.expect("the parser knows the place");
    assert_eq!((place.line, place.column), (5, 16));
}

#[test]
fn large_text() {
    let text = format!("number: 1 #{}", "x".repeat(MAX_NOTE_BYTES));
    assert!(matches!(Note::parse(&text), Err(NoteError::TooLarge(_))));
}

#[test]
fn withdrawal_in_order() {
    let text = "
number: 2
changed:
  blocks: [{net: 10.2.0.0/16, domain: sapporo-a}]
withdrawn:
  regions: [kushiro]
  domains: [kushiro-a]
  links: [[kushiro, sapporo]]
  blocks: ['2001:db8::/48']
";
    let note = Note::parse(text).expect("the note is well formed");
    let rules = first().apply(&note).expect("nothing refers to kushiro");
    assert_eq!(rules.blocks.len(), 2);
    assert!(rules.domain("kushiro-a").is_none());
    assert!(rules.link("sapporo", "kushiro").is_none());
}

#[test]
fn formatting_is_no_content() {
    let block = "number: 1\nadded:\n  regions:\n    - name: b\n    - {reserve: 20, name: a}\n";
    let flow = "{added: {regions: [{name: a}, {name: b}]}, number: 1, withdrawn: {}} # a comment";
    let digest = |text| Note::parse(text).expect("the note is well formed").digest();
    assert_eq!(digest(block), digest(flow));
    let other = flow.replace("name: b", "name: c");
    assert_ne!(digest(flow), digest(&other));
}
