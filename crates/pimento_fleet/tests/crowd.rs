//! What the processes of a large installation tell each other stays a small
//! part of their links.

mod world;

use pimento_fleet::Role;
use pimento_registry::{Stage, Target};
use std::time::Duration;
use world::{World, crowd};

const SECOND: Duration = Duration::from_secs(1);
const DOMAINS: usize = 9;
const TARGETS: usize = 564;

fn reported(i: usize, born: u64, stage: Stage, seq: u64) -> Target {
    Target {
        id: format!("i-{:08x}", i as u64 * 1_000_000 + born),
        born,
        seq,
        stage: stage as i32,
        address: format!("10.{}.{}.{}:8080", 64 + born, i / 200, i % 200),
        service: format!("service{}", i % 4),
        domain: world::domain(i % DOMAINS),
        slots: 3,
        cold_ms: 0,
    }
}

fn settled() -> World {
    let mut world = crowd(9, 111, DOMAINS, 1);
    world.set_items(1);
    for i in 0..TARGETS {
        world.report(i % 9, &reported(i, 1, Stage::Ready, 1));
        if i % 60 == 0 {
            world.run(Duration::from_millis(100));
        }
    }
    world.run(8 * SECOND);
    world
}

#[test]
fn explore() {
    let mut world = settled();
    world.traffic.clear();
    world.run(4 * SECOND);
    println!("calm, 4 s");
    world.print();
    world.traffic.clear();
    for round in 0..50 {
        for k in 0..3 {
            let i = round * 3 + k;
            let by = (i + 5) % 9;
            world.report(by, &reported(i, 1, Stage::Draining, 2));
        }
        world.run(Duration::from_millis(50));
        for k in 0..3 {
            let i = round * 3 + k;
            let by = (i + 2) % 9;
            world.report(by, &reported(i, 2, Stage::Ready, 1));
        }
        world.run(Duration::from_millis(50));
    }
    println!("churn 5 s");
    world.print();
    world.traffic.clear();
    let entries = world.of(Role::Entry);
    for e in entries.iter().take(40) {
        world.stage(*e, pimento_fleet::Stage::Stopping);
        world.run(Duration::from_millis(100));
        world.stage(*e, pimento_fleet::Stage::Gone);
        world.run(Duration::from_millis(50));
    }
    println!("40 stops in 6 s");
    world.print();
}
