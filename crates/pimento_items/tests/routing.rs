//! Which route and which service a request gets.

mod support;

use pimento_items::{Catalog, Changeset, RouteTable, WeightedRoundRobin, WeightedService};
use support::{route_at, service};

#[test]
fn longest_prefix() {
    let mut held = Catalog::default();
    let items = vec![
        service("a", 1),
        route_at("root", 1, "/", "a"),
        route_at("deep", 1, "/x/y/", "a"),
        route_at("flat", 1, "/x/", "a"),
    ];
    held.apply_changeset(1, &Changeset { items }).unwrap();
    let table = RouteTable::new(&held);
    let name = |path| table.find("h.example", path).map(|(name, _)| &**name);
    assert_eq!(name("/x/y/z"), Some("deep"));
    assert_eq!(name("/x/yz"), Some("flat"));
    assert_eq!(name("/"), Some("root"));
    assert!(table.find("other.example", "/").is_none());
}

fn part(service: &str, weight: u64) -> WeightedService {
    WeightedService {
        service: service.into(),
        weight,
    }
}

#[test]
fn exact_shares() {
    let parts = [part("a", 90), part("b", 10), part("none", 0)];
    let mut split = WeightedRoundRobin::default();
    let mut counts = [0; 3];
    for i in 1..=1_000 {
        counts[split.pick(&parts, 0.37).unwrap()] += 1;
        let owed = f64::from(i) * 0.9;
        assert!((f64::from(counts[0]) - owed).abs() <= 1.0, "after {i}");
    }
    assert_eq!(counts[2], 0);
}

#[test]
fn no_weights() {
    assert_eq!(
        WeightedRoundRobin::default().pick(&[part("a", 0)], 0.0),
        None
    );
    assert_eq!(WeightedRoundRobin::default().pick(&[], 0.0), None);
}
