//! A storm of changes must leave room on the smallest link.

mod world;

use pimento_fleet::Role;
use pimento_items::{Body, Catalog, Changeset, Item, Route, WeightedService};
use std::{sync::Arc, time::Duration};
use world::{catalog, world_with_domains};

const SECOND: Duration = Duration::from_secs(1);
/// The time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(150);
/// The routes that one change touches.
const ROUTES_PER_CHANGE: u64 = 12;
/// What an entry VM may receive: half of a link of 1.4 Mbit/s.
const MAX_BYTES_PER_SECOND: usize = 1_400_000 / 8 / 2;

fn route(number: u64, version: u64) -> Item {
    let body = Body::Route(Route {
        host: format!("host-{number}.example"),
        prefix: format!("/prefix-{number}/"),
        retry_safety: 0,
        timeout_ms: 800,
        objective_ms: 250,
        priority: 1,
        services: vec![WeightedService {
            service: "s".into(),
            weight: 1,
        }],
        max_attempts: 2,
        sticky: true,
        allowed_regions: Vec::new(),
    });
    Item::new(format!("route-{number}"), version, body)
}

/// Changes routes in quick succession. One control VM gets none of the changes
/// if it is `stuck`. Returns the most bytes that an entry VM got in a second.
fn storm(stuck: bool) -> usize {
    let mut world = world_with_domains(6, 12, 6, 1);
    world.set_items(1);
    world.run(3 * SECOND);
    let mut items: Catalog = (*catalog(1)).clone();
    world.traffic.clear();
    for version in 2..42 {
        let routes = (0..ROUTES_PER_CHANGE).map(|i| route((version * 5 + i) % 60, version));
        let changeset = Changeset {
            items: routes.collect(),
        };
        items.apply_changeset(version, &changeset).unwrap();
        for i in usize::from(stuck)..6 {
            let newest = Arc::new(items.clone());
            world.set_catalog_at(i, newest);
        }
        world.run(CHANGE_INTERVAL);
    }
    world.busiest_second(Role::Entry)
}

#[test]
fn storm_fits_smallest_link() {
    let bytes = storm(false);
    println!("{bytes} bytes a second");
    assert!(bytes < MAX_BYTES_PER_SECOND, "{bytes} bytes a second");
}

#[test]
fn storm_past_stuck_control_fits_smallest_link() {
    let bytes = storm(true);
    println!("{bytes} bytes a second");
    assert!(bytes < MAX_BYTES_PER_SECOND, "{bytes} bytes a second");
}
