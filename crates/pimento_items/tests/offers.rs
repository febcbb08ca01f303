//! Changesets are applied as a whole or not at all.

mod support;

use pimento_items::{Catalog, Changeset, ChangesetError, Item, ItemKind};
use support::{limits, route, sample_catalog, service};

fn changeset(items: impl IntoIterator<Item = Item>) -> Changeset {
    let items = items.into_iter().collect();
    Changeset { items }
}

#[test]
fn highest_version_wins() {
    let mut catalog = sample_catalog();
    catalog
        .apply_changeset(2, &changeset([route("r", 9, "b")]))
        .unwrap();
    catalog
        .apply_changeset(3, &changeset([route("r", 5, "a")]))
        .unwrap();
    let item = catalog.live_items(ItemKind::Route).next().unwrap();
    assert_eq!(item.version, 9);
    assert_eq!(
        catalog.revision(),
        2,
        "an outdated changeset changes nothing"
    );
}

#[test]
fn removal_wins() {
    let mut catalog = sample_catalog();
    catalog
        .apply_changeset(2, &changeset([Item::removal(ItemKind::Route, "r", 7)]))
        .unwrap();
    catalog
        .apply_changeset(3, &changeset([route("r", 6, "a")]))
        .unwrap();
    assert_eq!(catalog.live_items(ItemKind::Route).count(), 0);
    catalog
        .apply_changeset(4, &changeset([route("r", 8, "a")]))
        .unwrap();
    assert_eq!(catalog.live_items(ItemKind::Route).count(), 1);
}

#[test]
fn resubmitted_changeset_is_accepted() {
    let mut catalog = sample_catalog();
    let changed = changeset([route("r", 4, "b")]);
    catalog.apply_changeset(2, &changed).unwrap();
    // The route and its service are removed in the meantime; the changeset is
    // still acknowledged.
    catalog
        .apply_changeset(3, &changeset([Item::removal(ItemKind::Route, "r", 5)]))
        .unwrap();
    catalog
        .apply_changeset(4, &changeset([Item::removal(ItemKind::Service, "b", 5)]))
        .unwrap();
    catalog.apply_changeset(5, &changed).unwrap();
    assert_eq!(catalog.live_items(ItemKind::Route).count(), 0);
}

#[test]
fn version_conflict() {
    let mut catalog = sample_catalog();
    let before = catalog.clone();
    let rejected = catalog.apply_changeset(2, &changeset([service("c", 2), route("r", 1, "b")]));
    assert!(matches!(rejected, Err(ChangesetError::Conflict { name, version: 1 }) if name == "r"));
    assert_eq!(catalog, before, "a rejected changeset leaves no trace");
}

#[test]
fn invalid_fields() {
    type Corrupt = fn(&mut pimento_items::Route);
    let cases: [(Corrupt, &str); 6] = [
        (|r| r.host.clear(), "host"),
        (|r| r.timeout_ms = 0, "timeout"),
        (|r| r.objective_ms = r.timeout_ms + 60_000, "objective"),
        (|r| r.services[0].service = "none".into(), "parts"),
        (|r| r.services.clear(), "parts"),
        (|r| r.prefix = "/a".into(), "prefix"),
    ];
    for (corrupt, field) in cases {
        let mut catalog = sample_catalog();
        let before = catalog.clone();
        let mut item = route("r", 2, "a");
        let Some(pimento_items::Body::Route(body)) = &mut item.body else {
            unreachable!()
        };
        corrupt(body);
        let rejected = catalog
            .apply_changeset(2, &changeset([limits(2), item]))
            .unwrap_err();
        assert!(
            matches!(&rejected, ChangesetError::Invalid { field: reported, .. } if *reported == field),
            "{rejected}"
        );
        assert_eq!(catalog, before);
    }
}

#[test]
fn service_in_use_is_kept() {
    let mut catalog = sample_catalog();
    let removal = Item::removal(ItemKind::Service, "a", 2);
    let rejected = catalog
        .apply_changeset(2, &changeset([removal.clone()]))
        .unwrap_err();
    assert!(matches!(
        rejected,
        ChangesetError::Invalid { field: "name", .. }
    ));
    // The service can be removed together with the last route that uses it.
    catalog
        .apply_changeset(3, &changeset([removal, route("r", 2, "b")]))
        .unwrap();
    assert!(catalog.service("a").is_none());
}

#[test]
fn route_before_its_service() {
    let mut catalog = Catalog::default();
    catalog
        .apply_changeset(1, &changeset([route("r", 1, "a"), service("a", 1)]))
        .unwrap();
    assert_eq!(catalog.live_items(ItemKind::Route).count(), 1);
}

#[test]
fn evacuations() {
    let mut catalog = sample_catalog();
    catalog.set_evacuated(2, "d", true);
    assert!(catalog.is_evacuated("d"));
    catalog.set_evacuated(3, "d", true);
    assert_eq!(catalog.revision(), 2);
    assert_eq!(catalog.evacuation_index("d"), 3);
    catalog.set_evacuated(4, "d", false);
    assert!(!catalog.is_evacuated("d"));
}
