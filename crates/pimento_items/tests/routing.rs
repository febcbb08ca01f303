//! Route look-up and weighted choice of a service.

mod support;

use pimento_items::{Catalog, Changeset, RouteTable, WeightedRoundRobin, WeightedService};
use support::{route_at, service};

#[test]
fn longest_prefix_wins() {
    let mut catalog = Catalog::default();
    let items = vec![
        service("a", 1),
        route_at("root", 1, "/", "a"),
        route_at("deep", 1, "/x/y/", "a"),
        route_at("flat", 1, "/x/", "a"),
    ];
    catalog.apply_changeset(1, &Changeset { items }).unwrap();
    let table = RouteTable::new(&catalog);
    let name = |path| table.find("h.example", path).map(|(name, _)| &**name);
    assert_eq!(name("/x/y/z"), Some("deep"));
    assert_eq!(name("/x/yz"), Some("flat"));
    assert_eq!(name("/"), Some("root"));
    assert!(table.find("other.example", "/").is_none());
}

fn weighted(service: &str, weight: u64) -> WeightedService {
    WeightedService {
        service: service.into(),
        weight,
    }
}

#[test]
fn shares_are_exact() {
    let services = [weighted("a", 90), weighted("b", 10), weighted("none", 0)];
    let mut round_robin = WeightedRoundRobin::default();
    let mut counts = [0; 3];
    for i in 1..=1_000 {
        counts[round_robin.pick(&services, 0.37).unwrap()] += 1;
        let expected = f64::from(i) * 0.9;
        assert!((f64::from(counts[0]) - expected).abs() <= 1.0, "after {i}");
    }
    assert_eq!(counts[2], 0);
}

#[test]
fn no_service_without_weight() {
    assert_eq!(
        WeightedRoundRobin::default().pick(&[weighted("a", 0)], 0.0),
        None
    );
    assert_eq!(WeightedRoundRobin::default().pick(&[], 0.0), None);
}
