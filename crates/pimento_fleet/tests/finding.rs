//! Processes find each other from three seeds.

mod world;

use pimento_fleet::Role;
use std::time::Duration;
use world::{address, world};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn all_ready() {
    let mut world = world(6, 10, 1);
    world.set_items(1);
    let entries = world.of(Role::Entry);
    let ready = world.until(2 * SECOND, |w| {
        entries.iter().all(|i| w.processes[*i].fleet.view().ready)
    });
    assert!(ready);
    // Control VMs that are no seeds are found too, and find all others.
    world.run(2 * SECOND);
    let now = world.now;
    for i in world.of(Role::Control) {
        assert_eq!(world.processes[i].fleet.nodes(now).len(), 15);
    }
}

#[test]
fn nothing_known() {
    let mut world = world(3, 2, 1);
    world.run(3 * SECOND);
    for i in world.of(Role::Entry) {
        assert!(!world.processes[i].fleet.view().ready, "there are no items");
    }
}

#[test]
fn directory() {
    let mut world = world(3, 6, 1);
    world.set_items(1);
    world.run(3 * SECOND);
    let named = |w: &world::World| w.processes[0].fleet.entries(w.now, "a");
    assert_eq!(named(&world).len(), 3, "those of the caller's domain");
    // The domain's entry VMs are lost: others of the region stand in.
    for i in world.of(Role::Entry) {
        let a = world.processes[i].address.ip().to_string();
        let last: u8 = a.rsplit('.').next().unwrap().parse().unwrap();
        world.processes[i].alive = !last.is_multiple_of(2);
    }
    world.run(3 * SECOND);
    let others = named(&world);
    assert_eq!(others.len(), 3);
    assert!(others.iter().all(|a| a.ip() != address(100).ip()));
}

#[test]
fn lagging_control() {
    let mut world = world(6, 6, 1);
    world.set_items(1);
    world.run(3 * SECOND);
    // One control VM stays behind; those that follow it learn from others.
    for i in 1..6 {
        world.set_items_at(i, 2);
    }
    let entries = world.of(Role::Entry);
    let current = world.until(SECOND, |w| {
        let revision = |i: &usize| w.processes[*i].fleet.view().catalog.revision();
        entries.iter().all(|i| revision(i) == 2)
    });
    assert!(current);
}

#[test]
fn all_control_lost() {
    let mut world = world(3, 4, 1);
    world.set_items(1);
    world.run(3 * SECOND);
    for i in world.of(Role::Control) {
        world.processes[i].alive = false;
    }
    world.run(30 * SECOND);
    for i in world.of(Role::Entry) {
        let view = world.processes[i].fleet.view();
        assert!(view.ready, "what is known goes on to be served");
        assert_eq!(view.catalog.revision(), 1);
    }
}

/// An entry VM hears only the control VM that it follows, and must go on
/// telling the others that it lives.
#[test]
fn long_run() {
    let mut world = world(6, 10, 1);
    world.set_items(1);
    world.run(60 * SECOND);
    let now = world.now;
    for i in 0..world.processes.len() {
        if world.processes[i].role == Role::Control {
            assert_eq!(world.processes[i].fleet.nodes(now).len(), 15);
        }
        assert_eq!(world.processes[i].fleet.view().entry_count, 10);
    }
}
