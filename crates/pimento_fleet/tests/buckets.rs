//! An entry VM that missed an update must get it although other targets of the
//! same bucket keep changing.

mod world;

use pimento_core::Time;
use pimento_fleet::Role;
use pimento_registry::{Registry, Stage};
use std::time::Duration;
use world::{target, world_with_domains};

const SECOND: Duration = Duration::from_secs(1);
/// The time between two changes, less than between two heartbeats.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// How long an entry VM may take to repair what it missed.
const REPAIR_LIMIT: Duration = Duration::from_secs(3);

/// The bucket of a target: the only one whose digest it changes.
fn bucket_of(id: &str) -> usize {
    let mut registry = Registry::default();
    let empty = *registry.bucket_digests();
    registry.merge_report(Time::ZERO, &target(id, Stage::Ready, 1));
    let digests = registry.bucket_digests();
    let changed = digests.iter().zip(empty).position(|(a, b)| *a != b);
    changed.expect("a target has a digest")
}

#[test]
fn missed_target_arrives_among_changes() {
    let mut world = world_with_domains(6, 12, 6, 1);
    world.set_items(1);
    world.run(3 * SECOND);
    let entry = world.with_role(Role::Entry)[0];
    world.processes[entry].cut_from = Some(Role::Control);
    world.report(0, &target("t", Stage::Ready, 1));
    world.run(Duration::from_millis(200));
    world.processes[entry].cut_from = None;

    let names = (0..).map(|i| format!("other-{i}"));
    let same_bucket = names.filter(|name| bucket_of(name) == bucket_of("t"));
    let start = world.now;
    for name in same_bucket {
        if world.processes[entry].fleet.view().target("t").is_some() {
            return;
        }
        let waited = world.now.since(start);
        assert!(waited < REPAIR_LIMIT, "missing for {waited:?}");
        world.report(0, &target(&name, Stage::Ready, 1));
        world.run(CHANGE_INTERVAL);
    }
}
