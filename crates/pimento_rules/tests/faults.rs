//! Errors of rejected notes name the path of the invalid field.

use pimento_rules::{MAX_NOTE_BYTES, Note, NoteError, Rules};

const FIRST_NOTE: &str = "
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

fn first_rules() -> Rules {
    let note = Note::parse(FIRST_NOTE).expect("the note is well formed");
    Rules::default().apply(&note).expect("the note is valid")
}

fn rejection(yaml: &str) -> NoteError {
    let text = format!("number: 2\n{yaml}");
    match Note::parse(&text) {
        Err(e) => e,
        Ok(note) => first_rules().apply(&note).expect_err(yaml),
    }
}

#[test]
fn errors_name_the_invalid_field() {
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
        let error = rejection(yaml);
        assert_eq!(error.field(), field, "{yaml}: {error}");
    }
}

#[test]
fn skipped_number_is_rejected() {
    let note = Note::parse("number: 3").expect("the note is well formed");
    let error = first_rules()
        .apply(&note)
        .expect_err("the number skips one");
    let (found, expected) = (3, 2);
    assert_eq!(error, NoteError::Number { found, expected });
}

#[test]
fn parse_errors_have_a_position() {
    let text = "number: 2\nadded:\n  regions:\n    - name: x\n      reserve: many\n";
    let Err(NoteError::Parse {
        field, position, ..
    }) = Note::parse(text)
    else {
        panic!("the reserve is not a number, but the note was parsed");
    };
    assert_eq!(field, "added.regions[0].reserve");
    let position = position.expect("the parser reports a position");
    assert_eq!((position.line, position.column), (5, 16));
}

#[test]
fn oversized_text_is_rejected() {
    let text = format!("number: 1 #{}", "x".repeat(MAX_NOTE_BYTES));
    assert!(matches!(Note::parse(&text), Err(NoteError::TooLarge(_))));
}

#[test]
fn referrers_can_change_in_the_same_note() {
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
    let rules = first_rules()
        .apply(&note)
        .expect("no remaining item refers to kushiro");
    assert_eq!(rules.blocks.len(), 2);
    assert!(rules.domain("kushiro-a").is_none());
    assert!(rules.link("sapporo", "kushiro").is_none());
}

#[test]
fn digest_ignores_formatting() {
    let block = "number: 1\nadded:\n  regions:\n    - name: b\n    - {reserve: 20, name: a}\n";
    let flow = "{added: {regions: [{name: a}, {name: b}]}, number: 1, withdrawn: {}} # a comment";
    let digest = |text| Note::parse(text).expect("the note is well formed").digest();
    assert_eq!(digest(block), digest(flow));
    let other = flow.replace("name: b", "name: c");
    assert_ne!(digest(flow), digest(&other));
}
