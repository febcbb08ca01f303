//! Callers are named entry VMs that have room.

mod world;

use pimento_fleet::Role;
use std::{net::SocketAddr, time::Duration};
use world::{World, address, world};

const SECOND: Duration = Duration::from_secs(1);

/// Eight entry VMs over two failure domains of a region.
fn settled() -> World {
    let mut world = world(3, 8, 1);
    world.set_items(1);
    world.run(3 * SECOND);
    world
}

/// Sets what requests take of the links in a failure domain.
fn set_load(world: &mut World, domain: usize, percent: u32) {
    for i in world.of(Role::Entry).into_iter().skip(domain).step_by(2) {
        world.processes[i].fleet.set_load(percent);
    }
}

/// How often each failure domain is named to callers of the first one.
fn named(world: &mut World) -> (usize, usize) {
    let mut counts = (0, 0);
    for _ in 0..100 {
        let now = world.now;
        for entry in world.processes[0].fleet.entries(now, "a") {
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
fn own_domain_only() {
    let mut world = settled();
    set_load(&mut world, 0, 25);
    world.run(SECOND);
    assert_eq!(named(&mut world), (400, 0));
}

#[test]
fn full_links_shared() {
    let mut world = settled();
    set_load(&mut world, 0, 80);
    set_load(&mut world, 1, 20);
    world.run(SECOND);
    let (near, far) = named(&mut world);
    let part = far as f64 / (near + far) as f64;
    // Half of the difference is 30 of 80.
    assert!((0.3..0.45).contains(&part), "{part}");
}

#[test]
fn full_everywhere() {
    let mut world = settled();
    set_load(&mut world, 0, 80);
    set_load(&mut world, 1, 90);
    world.run(SECOND);
    assert_eq!(named(&mut world), (400, 0));
}
