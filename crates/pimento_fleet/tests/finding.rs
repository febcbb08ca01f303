//! Processes must discover each other from three seeds.

mod world;

use pimento_fleet::Role;
use std::time::Duration;
use world::{address, world};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn all_become_ready() {
    let mut world = world(6, 10, 1);
    world.set_items(1);
    let entries = world.with_role(Role::Entry);
    let ready = world.run_until(2 * SECOND, |w| {
        entries.iter().all(|i| w.processes[*i].fleet.view().ready)
    });
    assert!(ready);
    // Control VMs that are not seeds are discovered too, and discover all
    // others.
    world.run(2 * SECOND);
    let now = world.now;
    for i in world.with_role(Role::Control) {
        assert_eq!(world.processes[i].fleet.nodes(now).len(), 15);
    }
}

#[test]
fn not_ready_without_items() {
    let mut world = world(3, 2, 1);
    world.run(3 * SECOND);
    for i in world.with_role(Role::Entry) {
        assert!(
            !world.processes[i].fleet.view().ready,
            "ready without items"
        );
    }
}

#[test]
fn entry_list_falls_back_to_region() {
    let mut world = world(3, 6, 1);
    world.set_items(1);
    world.run(3 * SECOND);
    let entry_list = |w: &world::World| w.processes[0].fleet.entry_addresses(w.now, "a");
    assert_eq!(
        entry_list(&world).len(),
        3,
        "entry VMs of the caller's domain"
    );
    // All entry VMs of the domain die: others of the region replace them.
    for i in world.with_role(Role::Entry) {
        let host = world.processes[i].address.ip().to_string();
        let last: u8 = host.rsplit('.').next().unwrap().parse().unwrap();
        world.processes[i].alive = !last.is_multiple_of(2);
    }
    world.run(3 * SECOND);
    let others = entry_list(&world);
    assert_eq!(others.len(), 3);
    assert!(others.iter().all(|a| a.ip() != address(100).ip()));
}

#[test]
fn lagging_control_is_bypassed() {
    let mut world = world(6, 6, 1);
    world.set_items(1);
    world.run(3 * SECOND);
    // One control VM lags behind; its followers get the items from others.
    for i in 1..6 {
        world.set_items_at(i, 2);
    }
    let entries = world.with_role(Role::Entry);
    let current = world.run_until(SECOND, |w| {
        let revision = |i: &usize| w.processes[*i].fleet.view().catalog.revision();
        entries.iter().all(|i| revision(i) == 2)
    });
    assert!(current);
}

#[test]
fn entries_survive_control_loss() {
    let mut world = world(3, 4, 1);
    world.set_items(1);
    world.run(3 * SECOND);
    for i in world.with_role(Role::Control) {
        world.processes[i].alive = false;
    }
    world.run(30 * SECOND);
    for i in world.with_role(Role::Entry) {
        let view = world.processes[i].fleet.view();
        assert!(view.ready, "entry VMs must keep serving what they know");
        assert_eq!(view.catalog.revision(), 1);
    }
}

/// Control VMs that an entry VM doesn't follow don't reply to its heartbeats, but
/// must keep receiving them.
#[test]
fn members_stay_known() {
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
