//! Entry VMs must get new items in time although the control VM that they
//! follow gets them late, however often items change.

mod world;

use pimento_core::Time;
use pimento_fleet::Role;
use std::{collections::VecDeque, time::Duration};
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
    let mut world = world_with_domains(6, 12, 6, 1);
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

/// How long ago the oldest change was made that some entry VM lacks.
fn current_lag(world: &World, applied: &[(Time, u64)]) -> Duration {
    let entries = world.with_role(Role::Entry);
    let revision = |i: &usize| world.processes[*i].fleet.view().catalog.revision();
    let oldest = entries.iter().map(revision).min().unwrap_or(0);
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
