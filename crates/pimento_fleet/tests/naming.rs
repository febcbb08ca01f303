//! Callers must be sent to entry VMs whose links have capacity.

mod world;

use pimento_fleet::Role;
use std::{net::SocketAddr, time::Duration};
use world::{World, address, world};

const SECOND: Duration = Duration::from_secs(1);

/// Eight entry VMs in two failure domains of one region.
fn settled_world() -> World {
    let mut world = world(3, 8, 1);
    world.set_items(1);
    world.run(3 * SECOND);
    world
}

/// Sets the link load of all entry VMs in a failure domain, in percent.
fn set_load(world: &mut World, domain: usize, percent: u32) {
    for i in world
        .with_role(Role::Entry)
        .into_iter()
        .skip(domain)
        .step_by(2)
    {
        world.processes[i].fleet.set_load(percent);
    }
}

/// How often entry VMs of the first and of the second failure domain are
/// selected for callers in the first one.
fn selection_counts(world: &mut World) -> (usize, usize) {
    let mut counts = (0, 0);
    for _ in 0..100 {
        let now = world.now;
        for entry in world.processes[0].fleet.entry_addresses(now, "a") {
            let near = (0..8).step_by(2).any(|i| is_caller_address(entry, i));
            counts.0 += usize::from(near);
            counts.1 += usize::from(!near);
        }
    }
    counts
}

fn is_caller_address(entry: SocketAddr, number: u8) -> bool {
    entry.ip() == address(100 + number).ip()
}

#[test]
fn local_domain_only_at_low_load() {
    let mut world = settled_world();
    set_load(&mut world, 0, 25);
    world.run(SECOND);
    assert_eq!(selection_counts(&mut world), (400, 0));
}

#[test]
fn busy_domain_overflows_to_region() {
    let mut world = settled_world();
    set_load(&mut world, 0, 80);
    set_load(&mut world, 1, 20);
    world.run(SECOND);
    let (near, far) = selection_counts(&mut world);
    let share = far as f64 / (near + far) as f64;
    // Half of the difference is 30 of 80.
    assert!((0.3..0.45).contains(&share), "{share}");
}

#[test]
fn no_overflow_to_busier_domain() {
    let mut world = settled_world();
    set_load(&mut world, 0, 80);
    set_load(&mut world, 1, 90);
    world.run(SECOND);
    assert_eq!(selection_counts(&mut world), (400, 0));
}
