//! A lifetime only moves forward, whatever comes late.

use pimento_core::Time;
use pimento_registry::{MergeOutcome, Registry, Stage, Target};
use rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::time::Duration;

fn target(id: &str, incarnation: u64, seq: u64, stage: Stage) -> Target {
    Target {
        id: id.into(),
        incarnation,
        seq,
        stage: stage as i32,
        address: "10.0.0.1:80".into(),
        service: "s".into(),
        domain: "d".into(),
        slots: 3,
        cold_ms: 0,
    }
}

fn at(address: &str, target: Target) -> Target {
    let address = address.to_owned();
    Target { address, ..target }
}

const NOW: Time = Time::from_millis(1_000);

#[test]
fn late_beat() {
    let mut registry = Registry::default();
    registry.merge_report(NOW, &target("t", 5, 3, Stage::Draining));
    let taken = registry.merge_report(NOW, &target("t", 5, 2, Stage::Ready));
    assert_eq!(taken, MergeOutcome::Unchanged);
    assert_eq!(registry.get("t").unwrap().stage, Stage::Draining as i32);
}

#[test]
fn drain_is_kept() {
    let mut registry = Registry::default();
    registry.merge_report(NOW, &target("t", 5, 3, Stage::Draining));
    // A newer beat of the same lifetime doesn't take the drain back.
    registry.merge_report(NOW, &target("t", 5, 9, Stage::Ready));
    assert_eq!(registry.get("t").unwrap().stage, Stage::Draining as i32);
    // A new lifetime under the same name begins anew, counts included.
    registry.merge_report(NOW, &target("t", 6, 1, Stage::Ready));
    assert_eq!(registry.get("t").unwrap().stage, Stage::Ready as i32);
}

#[test]
fn address_taken_over() {
    let mut registry = Registry::default();
    registry.merge_report(NOW, &target("old", 5, 3, Stage::Ready));
    registry.merge_report(NOW, &target("new", 8, 1, Stage::Ready));
    let living: Vec<_> = registry.live_targets().map(|t| t.id.as_str()).collect();
    assert_eq!(living, ["new"]);
    // A beat of the old one that was held up doesn't bring it back.
    registry.merge_report(NOW, &target("old", 5, 4, Stage::Ready));
    assert_eq!(registry.live_targets().count(), 1);
}

#[test]
fn farewell() {
    let mut registry = Registry::default();
    assert!(registry.mark_gone(NOW, "t", Some(5)).is_none());
    registry.merge_report(NOW, &target("t", 5, 3, Stage::Ready));
    // The farewell of an earlier lifetime is late.
    registry.mark_gone(NOW, "t", Some(4));
    assert_eq!(registry.live_targets().count(), 1);
    registry.mark_gone(NOW, "t", Some(5));
    assert_eq!(registry.live_targets().count(), 0);
}

#[test]
fn cold_again() {
    let mut registry = Registry::default();
    registry.merge_report(NOW, &target("t", 5, 1, Stage::Ready));
    let mut colder = target("t", 5, 2, Stage::Ready);
    colder.cold_ms = 3_000;
    assert_eq!(registry.merge_report(NOW, &colder), MergeOutcome::Changed);
    assert_eq!(registry.cold_until("t"), NOW + Duration::from_secs(3));
    // The same span as another report tells it a little later is no news.
    let later = NOW + Duration::from_millis(500);
    let mut same = target("t", 5, 3, Stage::Ready);
    same.cold_ms = 2_600;
    assert_eq!(registry.merge_report(later, &same), MergeOutcome::Unchanged);
}

#[test]
fn any_order() {
    let reports = [
        target("a", 1, 1, Stage::Ready),
        target("a", 1, 2, Stage::Draining),
        target("a", 1, 3, Stage::Gone),
        target("a", 4, 1, Stage::Ready),
        target("b", 3, 1, Stage::Ready),
        at("10.0.0.2:80", target("c", 2, 1, Stage::Ready)),
        at("10.0.0.2:80", target("d", 6, 1, Stage::Ready)),
    ];
    let mut expected = None;
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut order = reports.to_vec();
        order.extend(reports.clone());
        order.shuffle(&mut rng);
        let mut registry = Registry::default();
        for report in &order {
            registry.merge_report(NOW, report);
        }
        let living: Vec<_> = registry.live_targets().cloned().collect();
        let found = (living, *registry.bucket_digests());
        let first = expected.get_or_insert_with(|| found.clone());
        assert_eq!(*first, found, "seed {seed}");
    }
}

#[test]
fn ends_are_forgotten() {
    let mut registry = Registry::default();
    registry.merge_report(NOW, &target("t", 5, 1, Stage::Gone));
    registry.expire_ended(NOW + Duration::from_mins(11));
    assert!(registry.get("t").is_none());
    assert_eq!(
        registry.bucket_digests(),
        Registry::default().bucket_digests()
    );
}
