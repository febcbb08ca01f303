//! Drains, slow start, shed requests, ejection and unreliable load reports.

mod common;

use common::*;
use pimento_admit::{Admission, AdmissionConfig, Completion, LoadReport, TargetView};
use pimento_core::prelude::*;
use pimento_lease::TargetState;

fn completed(millis: u64) -> Completion {
    Completion::Ok {
        latency: Duration::from_millis(millis),
    }
}

fn offered_slots(admission: &Admission, millis: u64) -> u32 {
    admission.headroom(at(millis), "shifts").slots
}

fn view_with_state(n: u32, state: TargetState) -> TargetView {
    let mut view = view(n, 3);
    view.state = state;
    view
}

fn view_with_report(n: u32, load: u32, millis: u64) -> TargetView {
    let mut view = view(n, 3);
    let received_at = at(millis);
    view.report = Some(LoadReport { load, received_at });
    view
}

/// Starts one request and ends it at once.
fn run_request(admission: &mut Admission, id: u64, millis: u64, completion: Completion) {
    let effects = admission.submit(at(millis), request(id, millis + 60_000));
    assert_eq!(started(&effects), [id]);
    admission.finish(at(millis), id, completion);
}

#[test]
fn draining_target_gets_no_requests() {
    let mut admission = admission(1);
    for id in 0..4 {
        admission.submit(at(0), request(id, 5_000));
    }
    let effects = admission.set_target(at(10), view_with_state(0, TargetState::Draining));
    assert_eq!(refused(&effects), [3], "a queued request may go elsewhere");
    assert!(started(&admission.finish(at(20), 0, completed(20))).is_empty());
    assert_eq!(refused(&admission.submit(at(20), request(9, 5_000))), [9]);
    assert_eq!(offered_slots(&admission, 20), 0);
}

#[test]
fn slow_start_adds_slots() {
    let mut admission = Admission::new(AdmissionConfig::default(), 1);
    admission.set_target(at(0), view_with_state(0, TargetState::Cold));
    assert_eq!(offered_slots(&admission, 0), 1);
    admission.set_target(at(1_000), view_with_state(0, TargetState::Ready));
    assert_eq!(offered_slots(&admission, 1_999), 1);
    assert_eq!(offered_slots(&admission, 2_000), 2);
    assert_eq!(offered_slots(&admission, 4_000), 3);
}

#[test]
fn shed_lowers_limit() {
    let mut admission = admission(1);
    for id in 0..3 {
        admission.submit(at(0), request(id, 5_000));
    }
    admission.finish(at(10), 0, Completion::Shed);
    assert_eq!(offered_slots(&admission, 10), 2);
    // The second shed request of the same burst is not counted.
    admission.finish(at(11), 1, Completion::Shed);
    assert_eq!(offered_slots(&admission, 11), 2);
    for step in 0..4 {
        run_request(&mut admission, 10 + step, 200 + step, completed(5));
    }
    assert_eq!(offered_slots(&admission, 300), 3);
}

#[test]
fn repeated_shed_pauses_target() {
    let mut admission = admission(1);
    for step in 0..4 {
        admission.submit(at(step * 200), request(step, 60_000));
        admission.finish(at(step * 200), step, Completion::Shed);
    }
    assert_eq!(offered_slots(&admission, 610), 0);
    assert!(offered_slots(&admission, 5_000) >= 1);
}

#[test]
fn failing_target_is_ejected() {
    let mut admission = admission(3);
    let mut failures = 0;
    for id in 0..60 {
        let now = id * 50;
        let effects = admission.submit(at(now), request(id, now + 5_000));
        let failing = format!("{effects:?}").contains("t1");
        failures += u32::from(failing);
        admission.finish(
            at(now),
            id,
            if failing {
                Completion::Failed
            } else {
                completed(20)
            },
        );
        admission.tick(at(now + 40));
    }
    assert!(
        failures <= 12,
        "{failures} requests went to the failing target"
    );
}

#[test]
fn slow_target_is_ejected() {
    let mut admission = admission(3);
    let mut slow_count = 0;
    for id in 0..90 {
        let now = id * 300;
        let effects = admission.submit(at(now), request(id, now + 5_000));
        let slow = format!("{effects:?}").contains("t1");
        slow_count += u32::from(slow && id > 40);
        admission.finish(at(now + 1), id, completed(if slow { 200 } else { 20 }));
    }
    assert!(
        slow_count <= 15,
        "{slow_count} requests went to the slow target"
    );
}

#[test]
fn half_remain_when_all_fail() {
    let mut admission = admission(4);
    for id in 0..80 {
        let now = id * 30;
        admission.submit(at(now), request(id, now + 5_000));
        admission.finish(at(now), id, Completion::Failed);
        admission.tick(at(now + 25));
    }
    assert!(
        offered_slots(&admission, 2_400) >= 6,
        "at most half are ejected"
    );
}

#[test]
fn reports_lower_offered_slots() {
    let mut admission = admission(2);
    admission.set_target(at(0), view_with_report(0, 2, 0));
    assert_eq!(offered_slots(&admission, 0), 4);
    // A report of less load than was counted here frees no slots.
    admission.set_target(at(10), view_with_report(0, 0, 10));
    for id in 0..7 {
        admission.submit(at(10), request(id, 5_000));
    }
    admission.set_target(at(20), view_with_report(0, 0, 20));
    assert_eq!(admission.headroom(at(20), "shifts").free, 0);
}

#[test]
fn old_report_is_ignored() {
    let mut admission = admission(2);
    admission.set_target(at(0), view_with_report(0, 3, 0));
    assert_eq!(offered_slots(&admission, 3_000), 4);
    assert_eq!(offered_slots(&admission, 3_001), 6);
}

#[test]
fn implausible_reports_are_ignored() {
    let mut admission = admission(3);
    admission.set_target(at(0), view_with_report(0, 3, 0));
    assert_eq!(offered_slots(&admission, 0), 7);
    admission.set_target(at(0), view_with_report(1, 3, 0));
    assert_eq!(
        offered_slots(&admission, 0),
        9,
        "most targets look full, so the reports are ignored"
    );
}

#[test]
fn lagging_report_costs_no_slots() {
    let mut admission = admission(2);
    for id in 0..6 {
        admission.submit(at(0), request(id, 5_000));
    }
    for id in 0..6 {
        admission.finish(at(10), id, completed(10));
    }
    // The report still counts requests that have already ended here.
    admission.set_target(at(11), view_with_report(0, 3, 11));
    assert_eq!(offered_slots(&admission, 11), 6);
}

#[test]
fn region_reserve_is_kept() {
    let mut admission = admission(2);
    let mut remote = Vec::new();
    for id in 0..6 {
        let mut request = request(id, 5_000);
        request.reserve = Some(20);
        remote.extend(started(&admission.submit(at(0), request)));
    }
    assert_eq!(remote, [0, 1, 2, 3], "80% of six slots, rounded down");
    for id in 6..8 {
        assert_eq!(started(&admission.submit(at(0), request(id, 5_000))), [id]);
    }
}

#[test]
fn unreachable_target_is_paused() {
    let mut admission = admission(1);
    let mut tries = 0;
    for id in 0..1_000 {
        let now = id * 10;
        let effects = admission.submit(at(now), request(id, now + 5_000));
        tries += started(&effects).len();
        admission.finish(at(now), id, Completion::Unreachable);
    }
    assert!((5..=20).contains(&tries), "{tries} tries in ten seconds");
    // The target is used again within the longest pause.
    run_request(&mut admission, 5_000, 11_000, completed(20));
    assert_eq!(offered_slots(&admission, 11_001), 3);
}
