//! Entry VMs take accepted items in any order and end alike.

mod support;

use pimento_items::{Catalog, Changeset, Item, ItemKind};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use support::{catalog, route, service};

/// A random call about a few items.
fn call(rng: &mut SmallRng) -> Changeset {
    let item = |rng: &mut SmallRng| {
        let (name, version) = (
            format!("r{}", rng.random_range(0..4)),
            rng.random_range(1..40),
        );
        if rng.random_bool(0.3) {
            Item::removal(ItemKind::Route, name, version)
        } else {
            let service = if rng.random_bool(0.5) { "a" } else { "b" };
            route(&name, version, service)
        }
    };
    let count = rng.random_range(1..4);
    let items = (0..count).map(|_| item(rng)).collect();
    Changeset { items }
}

#[test]
fn any_order() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut leader = catalog();
        let mut sent = vec![leader.changes_since(0).cloned().collect::<Vec<_>>()];
        for at in 2..30 {
            let before = leader.revision();
            // Some calls conflict and change nothing.
            drop(leader.apply_changeset(at, &call(&mut rng)));
            sent.push(leader.changes_since(before).cloned().collect());
        }
        sent.extend(sent.clone());
        sent.shuffle(&mut rng);
        let mut follower = Catalog::default();
        for items in sent {
            follower.merge(items);
        }
        follower.advance_revision(leader.revision());
        assert_eq!(follower, leader, "seed {seed}");
    }
}

#[test]
fn never_back() {
    let mut follower = catalog();
    let old: Vec<_> = follower.changes_since(0).cloned().collect();
    let mut leader = follower.clone();
    let items = vec![route("r", 3, "b")];
    leader.apply_changeset(2, &Changeset { items }).unwrap();
    assert!(follower.merge(leader.changes_since(1).cloned()));
    let newest = follower.clone();
    assert!(!follower.merge(old));
    assert_eq!(follower, newest);
}

#[test]
fn stored_and_read() {
    let mut held = catalog();
    held.set_evacuated(2, "d", true);
    let items = vec![service("c", 4), Item::removal(ItemKind::Route, "r", 4)];
    held.apply_changeset(3, &Changeset { items }).unwrap();
    assert_eq!(Catalog::decode(&held.encode()).unwrap(), held);
}
