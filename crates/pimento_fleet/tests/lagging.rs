//! Entry VMs must get new items in time although the control VM that they
//! follow gets them late, however often items change.

mod world;

use pimento_core::Time;
use pimento_fleet::Role;
use pimento_items::{Body, Catalog, Changeset, Item, ItemKind, Limits, Service};
use std::{collections::VecDeque, sync::Arc, time::Duration};
use world::{World, world_with_domains};

const SECOND: Duration = Duration::from_secs(1);
/// The time between two changes of a storm, less than between two heartbeats.
const STORM_INTERVAL: Duration = Duration::from_millis(150);
/// The shortest time within which the targets of a deployment require a change
/// to be in force, see `docs/design/platform.md`.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// How long items change.
const STORM_DURATION: Duration = Duration::from_secs(9);

/// Each entry VM follows the only control VM of its failure domain.
fn one_control_per_domain() -> World {
    settled_world(12, 1)
}

/// The same with any number of entry VMs.
fn settled_world(entries: u8, seed: u64) -> World {
    let mut world = world_with_domains(6, entries, 6, seed);
    world.set_items(1);
    world.run(3 * SECOND);
    world
}

/// Changes the items again and again. All control VMs but the first get each
/// change at once, and the first one gets it after `lag`, if at all. Returns the
/// longest time that an entry VM lacked a change.
fn longest_lag(world: &mut World, interval: Duration, lag: Option<Duration>) -> Duration {
    let mut late = VecDeque::new();
    let mut applied: Vec<(Time, u64)> = Vec::new();
    let mut longest = Duration::ZERO;
    let changes = STORM_DURATION.as_millis() / interval.as_millis();
    for version in 2..2 + changes as u64 {
        for i in 1..6 {
            world.set_items_at(i, version);
        }
        applied.push((world.now, version));
        late.push_back((world.now, version));
        while let Some((at, version)) = late.front().copied()
            && lag.is_some_and(|lag| world.now.since(at) >= lag)
        {
            world.set_items_at(0, version);
            late.pop_front();
        }
        world.run(interval);
        longest = longest.max(current_lag(world, &applied));
    }
    longest
}

/// The items that each entry VM has.
fn entry_catalogs(world: &World) -> impl Iterator<Item = Arc<Catalog>> {
    let entries = world.with_role(Role::Entry).into_iter();
    entries.map(|i| world.processes[i].fleet.view().catalog)
}

/// How long ago the oldest change was made that some entry VM lacks.
fn current_lag(world: &World, applied: &[(Time, u64)]) -> Duration {
    let revisions = entry_catalogs(world).map(|catalog| catalog.revision());
    let oldest = revisions.min().unwrap_or(0);
    let missing = applied.iter().find(|(_, version)| *version > oldest);
    missing.map_or(Duration::ZERO, |(at, _)| world.now.since(*at))
}

#[test]
fn storm_passes_stuck_control() {
    let longest = longest_lag(&mut one_control_per_domain(), STORM_INTERVAL, None);
    assert!(
        longest < APPLY_LIMIT,
        "a change was missing for {longest:?}"
    );
}

/// The followed control VM makes progress, but stays seconds behind.
#[test]
fn storm_passes_slow_control() {
    let longest = longest_lag(
        &mut one_control_per_domain(),
        STORM_INTERVAL,
        Some(4 * SECOND),
    );
    assert!(
        longest < APPLY_LIMIT,
        "a change was missing for {longest:?}"
    );
}

/// Changes at the same moment between two heartbeats each time.
#[test]
fn regular_changes_pass_stuck_control() {
    for offset_ms in (0..500).step_by(50) {
        let mut world = one_control_per_domain();
        world.run(Duration::from_millis(offset_ms));
        let longest = longest_lag(&mut world, SECOND, None);
        assert!(
            longest < APPLY_LIMIT,
            "a change {offset_ms} ms after a heartbeat was missing for {longest:?}"
        );
    }
}

/// The share of datagrams that a crowded link loses.
const CROWDED_LOSS: f64 = 0.15;
/// The number of items of a large change.
const CHANGED_ITEMS: usize = 200;

/// A catalog in which many items have this version.
fn large_catalog(version: u64) -> Arc<Catalog> {
    let body = Service {
        health: "/health".into(),
        max_connections: 100,
        cold_ms: 3_000,
        cold_rate: 4_900,
    };
    let items = (0..CHANGED_ITEMS)
        .map(|i| Item::new(format!("service-{i}"), version, Body::Service(body.clone())));
    let items = items.collect();
    let mut catalog = Catalog::default();
    catalog
        .apply_changeset(version, &Changeset { items })
        .unwrap();
    Arc::new(catalog)
}

/// The number of items that some entry VM lacks in this version.
fn missing_items(world: &World, version: u64) -> usize {
    let current = |catalog: Arc<Catalog>| {
        let items = catalog.live_items(ItemKind::Service);
        items.filter(|item| item.version >= version).count()
    };
    let fewest = entry_catalogs(world).map(current).min().unwrap_or(0);
    CHANGED_ITEMS - fewest
}

// A change of many datagrams was lost as a whole each time that one of them was, so that
// entry VMs with crowded links lacked it for seconds.
#[test]
fn large_change_passes_crowded_links() {
    for seed in 0..20 {
        let mut world = settled_world(60, seed);
        world.loss = CROWDED_LOSS;
        for version in 2..6 {
            for i in world.with_role(Role::Control) {
                world.set_catalog_at(i, large_catalog(version));
            }
            world.run(APPLY_LIMIT);
            assert_eq!(missing_items(&world, version), 0, "seed {seed}");
        }
        world.loss = 0.0;
        world.run(SECOND);
        for catalog in entry_catalogs(&world) {
            assert_eq!(catalog.revision(), 5, "seed {seed}");
        }
    }
}

/// The share of datagrams that a network with a slight disruption loses.
const SLIGHT_LOSS: f64 = 0.05;

// A control VM that was cut off from the others had followers that got each change only with
// a heartbeat, so that a single lost datagram made it late.
#[test]
fn storm_passes_stuck_control_despite_losses() {
    for seed in 0..20 {
        let mut world = settled_world(60, seed);
        world.loss = SLIGHT_LOSS;
        let longest = longest_lag(&mut world, STORM_INTERVAL, None);
        assert!(
            longest < APPLY_LIMIT,
            "seed {seed}: a change was missing for {longest:?}"
        );
    }
}

/// How long a control group needs to elect a leader, which only then learns what the
/// previous one had committed.
const ELECTION_TIME: Duration = Duration::from_millis(1_100);

// The leader acknowledged a change and failed. The others learned only from the next leader
// that it was committed, and waited as long as for a change that was new then.
#[test]
fn change_outlives_acknowledging_control() {
    for offset_ms in (0..500).step_by(50) {
        let mut world = one_control_per_domain();
        world.run(Duration::from_millis(offset_ms));
        let acknowledged = world.now;
        world.set_items_at(5, 2);
        world.processes[5].alive = false;
        world.run(ELECTION_TIME);
        for i in 1..5 {
            world.set_items_at(i, 2);
        }
        let applied = |world: &World| current_lag(world, &[(acknowledged, 2)]).is_zero();
        assert!(
            world.run_until(APPLY_LIMIT.saturating_sub(ELECTION_TIME), applied),
            "{offset_ms} ms after a heartbeat"
        );
    }
}

// Nothing that an entry VM sent arrived, since its link was full of answers to callers. The
// control VM that it follows had restarted and did not know it; the others waited for a heartbeat.
#[test]
fn storm_reaches_vm_with_full_uplink() {
    let mut world = one_control_per_domain();
    for i in world.with_role(Role::Entry) {
        world.processes[i].mute = true;
    }
    world.restart(0);
    let longest = longest_lag(&mut world, STORM_INTERVAL, Some(Duration::ZERO));
    assert!(
        longest < APPLY_LIMIT,
        "a change was missing for {longest:?}"
    );
}

// Parts of different sets must not complete each other: the revision would claim items that
// never came.
#[test]
fn revision_claims_no_missing_items() {
    for seed in 0..20 {
        let mut world = settled_world(12, seed);
        world.loss = 0.5;
        for version in 2..12 {
            for i in world.with_role(Role::Control) {
                world.set_catalog_at(i, large_catalog(version));
                world.run(Duration::from_millis(50));
                assert_items_of_revision(&world, seed);
            }
        }
    }
}

/// Each version of [`large_catalog`] replaces all items, so an entry VM with this
/// revision must have them in this version.
fn assert_items_of_revision(world: &World, seed: u64) {
    for catalog in entry_catalogs(world) {
        let revision = catalog.revision();
        let items = catalog.live_items(ItemKind::Service);
        let current = items.filter(|item| item.version >= revision);
        if revision > 1 {
            assert_eq!(current.count(), CHANGED_ITEMS, "seed {seed}");
        }
    }
}

/// A catalog to which each version has added one item.
fn growing_catalog(newest: u64) -> Arc<Catalog> {
    let mut growing = Catalog::default();
    for version in 1..=newest {
        let body = Body::Limits(Limits::default());
        let items = vec![Item::new(format!("item-{version}"), version, body)];
        growing
            .apply_changeset(version, &Changeset { items })
            .unwrap();
    }
    Arc::new(growing)
}

// A lost change must not be passed over when a later one arrives.
#[test]
fn revision_waits_for_lost_change() {
    for seed in 0..20 {
        let mut world = settled_world(12, seed);
        world.loss = 0.5;
        for version in 2..30 {
            for i in world.with_role(Role::Control) {
                world.set_catalog_at(i, growing_catalog(version));
            }
            world.run(Duration::from_millis(50));
            for catalog in entry_catalogs(&world) {
                // The first version is of another item.
                let count = 1 + catalog.live_items(ItemKind::Limits).count() as u64;
                assert!(count >= catalog.revision(), "seed {seed}");
            }
        }
    }
}
