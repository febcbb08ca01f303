//! Entry VMs converge to the same catalog, in whatever order they merge items.

mod support;

use pimento_items::{Catalog, Changeset, Item, ItemKind};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use support::{route, sample_catalog, service};

/// A random changeset of up to three items.
fn random_changeset(rng: &mut SmallRng) -> Changeset {
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
fn merge_is_commutative_and_idempotent() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut leader = sample_catalog();
        let mut batches = vec![leader.changes_since(0).cloned().collect::<Vec<_>>()];
        for log_index in 2..30 {
            let before = leader.revision();
            // Some changesets conflict and are rejected.
            drop(leader.apply_changeset(log_index, &random_changeset(&mut rng)));
            batches.push(leader.changes_since(before).cloned().collect());
        }
        batches.extend(batches.clone());
        batches.shuffle(&mut rng);
        let mut follower = Catalog::default();
        for items in batches {
            follower.merge(items);
        }
        follower.advance_revision(leader.revision());
        assert_eq!(follower, leader, "seed {seed}");
    }
}

#[test]
fn older_items_are_ignored() {
    let mut follower = sample_catalog();
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
fn encode_and_decode() {
    let mut catalog = sample_catalog();
    catalog.set_evacuated(2, "d", true);
    let items = vec![service("c", 4), Item::removal(ItemKind::Route, "r", 4)];
    catalog.apply_changeset(3, &Changeset { items }).unwrap();
    assert_eq!(Catalog::decode(&catalog.encode()).unwrap(), catalog);
}
