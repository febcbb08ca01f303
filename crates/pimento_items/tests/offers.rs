//! An operator's call takes effect whole or not at all.

mod support;

use pimento_items::{Catalog, Changeset, ChangesetError, Item, ItemKind};
use support::{catalog, limits, route, service};

fn change(items: impl IntoIterator<Item = Item>) -> Changeset {
    let items = items.into_iter().collect();
    Changeset { items }
}

#[test]
fn highest_version() {
    let mut held = catalog();
    held.apply_changeset(2, &change([route("r", 9, "b")]))
        .unwrap();
    held.apply_changeset(3, &change([route("r", 5, "a")]))
        .unwrap();
    let item = held.live_items(ItemKind::Route).next().unwrap();
    assert_eq!(item.version, 9);
    assert_eq!(held.revision(), 2, "an overtaken call changes nothing");
}

#[test]
fn removal_wins() {
    let mut held = catalog();
    held.apply_changeset(2, &change([Item::removal(ItemKind::Route, "r", 7)]))
        .unwrap();
    held.apply_changeset(3, &change([route("r", 6, "a")]))
        .unwrap();
    assert_eq!(held.live_items(ItemKind::Route).count(), 0);
    held.apply_changeset(4, &change([route("r", 8, "a")]))
        .unwrap();
    assert_eq!(held.live_items(ItemKind::Route).count(), 1);
}

#[test]
fn same_call_again() {
    let mut held = catalog();
    let call = change([route("r", 4, "b")]);
    held.apply_changeset(2, &call).unwrap();
    // What the call names is removed meanwhile; it is acknowledged all the same.
    held.apply_changeset(3, &change([Item::removal(ItemKind::Route, "r", 5)]))
        .unwrap();
    held.apply_changeset(4, &change([Item::removal(ItemKind::Service, "b", 5)]))
        .unwrap();
    held.apply_changeset(5, &call).unwrap();
    assert_eq!(held.live_items(ItemKind::Route).count(), 0);
}

#[test]
fn version_conflict() {
    let mut held = catalog();
    let before = held.clone();
    let refused = held.apply_changeset(2, &change([service("c", 2), route("r", 1, "b")]));
    assert!(matches!(refused, Err(ChangesetError::Conflict { name, version: 1 }) if name == "r"));
    assert_eq!(held, before, "nothing of a refused call stays");
}

#[test]
fn invalid_fields() {
    type Spoil = fn(&mut pimento_items::Route);
    let cases: [(Spoil, &str); 6] = [
        (|r| r.host.clear(), "host"),
        (|r| r.timeout_ms = 0, "timeout"),
        (|r| r.objective_ms = r.timeout_ms + 60_000, "objective"),
        (|r| r.parts[0].service = "none".into(), "parts"),
        (|r| r.parts.clear(), "parts"),
        (|r| r.prefix = "/a".into(), "prefix"),
    ];
    for (spoil, field) in cases {
        let mut held = catalog();
        let before = held.clone();
        let mut item = route("r", 2, "a");
        let Some(pimento_items::Body::Route(body)) = &mut item.body else {
            unreachable!()
        };
        spoil(body);
        let refused = held
            .apply_changeset(2, &change([limits(2), item]))
            .unwrap_err();
        assert!(
            matches!(&refused, ChangesetError::Invalid { field: named, .. } if *named == field),
            "{refused}"
        );
        assert_eq!(held, before);
    }
}

#[test]
fn service_in_use() {
    let mut held = catalog();
    let removal = Item::removal(ItemKind::Service, "a", 2);
    let refused = held
        .apply_changeset(2, &change([removal.clone()]))
        .unwrap_err();
    assert!(matches!(
        refused,
        ChangesetError::Invalid { field: "name", .. }
    ));
    // With the last route that uses it the service may go.
    held.apply_changeset(3, &change([removal, route("r", 2, "b")]))
        .unwrap();
    assert!(held.service("a").is_none());
}

#[test]
fn new_service_and_route() {
    let mut held = Catalog::default();
    held.apply_changeset(1, &change([route("r", 1, "a"), service("a", 1)]))
        .unwrap();
    assert_eq!(held.live_items(ItemKind::Route).count(), 1);
}

#[test]
fn evacuations() {
    let mut held = catalog();
    held.set_evacuated(2, "d", true);
    assert!(held.is_evacuated("d"));
    held.set_evacuated(3, "d", true);
    assert_eq!(held.revision(), 2);
    held.set_evacuated(4, "d", false);
    assert!(!held.is_evacuated("d"));
}
