//! Drains, slow start, shed answers, ejection and doubtful reports.

mod common;

use common::*;
use pimento_admit::{Admission, AdmissionConfig, Completion, LoadReport, TargetView};
use pimento_core::prelude::*;
use pimento_lease::TargetState;

fn ok(millis: u64) -> Completion {
    Completion::Ok {
        latency: Duration::from_millis(millis),
    }
}

fn slots(admit: &Admission, millis: u64) -> u32 {
    admit.headroom(at(millis), "shifts").slots
}

fn with_state(n: u32, state: TargetState) -> TargetView {
    let mut view = view(n, 3);
    view.state = state;
    view
}

fn with_report(n: u32, load: u32, millis: u64) -> TargetView {
    let mut view = view(n, 3);
    let received_at = at(millis);
    view.report = Some(LoadReport { load, received_at });
    view
}

/// Runs one request to its ending.
fn run(admit: &mut Admission, id: u64, millis: u64, ending: Completion) {
    let effects = admit.submit(at(millis), request(id, millis + 60_000));
    assert_eq!(started(&effects), [id]);
    admit.finish(at(millis), id, ending);
}

#[test]
fn drain_stops() {
    let mut admit = admit(1);
    for id in 0..4 {
        admit.submit(at(0), request(id, 5_000));
    }
    let effects = admit.set_target(at(10), with_state(0, TargetState::Draining));
    assert_eq!(refused(&effects), [3], "a waiting request may go elsewhere");
    assert!(started(&admit.finish(at(20), 0, ok(20))).is_empty());
    assert_eq!(refused(&admit.submit(at(20), request(9, 5_000))), [9]);
    assert_eq!(slots(&admit, 20), 0);
}

#[test]
fn slow_start() {
    let mut admit = Admission::new(AdmissionConfig::default(), 1);
    admit.set_target(at(0), with_state(0, TargetState::Cold));
    assert_eq!(slots(&admit, 0), 1);
    admit.set_target(at(1_000), with_state(0, TargetState::Ready));
    assert_eq!(slots(&admit, 1_999), 1);
    assert_eq!(slots(&admit, 2_000), 2);
    assert_eq!(slots(&admit, 4_000), 3);
}

#[test]
fn shed_cuts() {
    let mut admit = admit(1);
    for id in 0..3 {
        admit.submit(at(0), request(id, 5_000));
    }
    admit.finish(at(10), 0, Completion::Shed);
    assert_eq!(slots(&admit, 10), 2);
    // The second shed answer of the same burst counts no more.
    admit.finish(at(11), 1, Completion::Shed);
    assert_eq!(slots(&admit, 11), 2);
    for step in 0..4 {
        run(&mut admit, 10 + step, 200 + step, ok(5));
    }
    assert_eq!(slots(&admit, 300), 3);
}

#[test]
fn shed_pauses() {
    let mut admit = admit(1);
    for step in 0..4 {
        admit.submit(at(step * 200), request(step, 60_000));
        admit.finish(at(step * 200), step, Completion::Shed);
    }
    assert_eq!(slots(&admit, 610), 0);
    assert!(slots(&admit, 5_000) >= 1);
}

#[test]
fn failing_target() {
    let mut admit = admit(3);
    let mut fails = 0;
    for id in 0..60 {
        let now = id * 50;
        let effects = admit.submit(at(now), request(id, now + 5_000));
        let bad = format!("{effects:?}").contains("t1");
        fails += u32::from(bad);
        admit.finish(at(now), id, if bad { Completion::Failed } else { ok(20) });
        admit.tick(at(now + 40));
    }
    assert!(fails <= 12, "{fails} requests went to the failing target");
}

#[test]
fn slow_target() {
    let mut admit = admit(3);
    let mut late = 0;
    for id in 0..90 {
        let now = id * 300;
        let effects = admit.submit(at(now), request(id, now + 5_000));
        let slow = format!("{effects:?}").contains("t1");
        late += u32::from(slow && id > 40);
        admit.finish(at(now + 1), id, ok(if slow { 200 } else { 20 }));
    }
    assert!(late <= 15, "{late} requests went to the slow target");
}

#[test]
fn all_ill() {
    let mut admit = admit(4);
    for id in 0..80 {
        let now = id * 30;
        admit.submit(at(now), request(id, now + 5_000));
        admit.finish(at(now), id, Completion::Failed);
        admit.tick(at(now + 25));
    }
    assert!(slots(&admit, 2_400) >= 6, "at most half are ejected");
}

#[test]
fn reports_lower() {
    let mut admit = admit(2);
    admit.set_target(at(0), with_report(0, 2, 0));
    assert_eq!(slots(&admit, 0), 4);
    // A report that says less than was counted frees nothing.
    admit.set_target(at(10), with_report(0, 0, 10));
    for id in 0..7 {
        admit.submit(at(10), request(id, 5_000));
    }
    admit.set_target(at(20), with_report(0, 0, 20));
    assert_eq!(admit.headroom(at(20), "shifts").free, 0);
}

#[test]
fn old_report() {
    let mut admit = admit(2);
    admit.set_target(at(0), with_report(0, 3, 0));
    assert_eq!(slots(&admit, 3_000), 4);
    assert_eq!(slots(&admit, 3_001), 6);
}

#[test]
fn doubtful_reports() {
    let mut admit = admit(3);
    admit.set_target(at(0), with_report(0, 3, 0));
    assert_eq!(slots(&admit, 0), 7);
    admit.set_target(at(0), with_report(1, 3, 0));
    assert_eq!(
        slots(&admit, 0),
        9,
        "most look full, so the reports are doubted"
    );
}

#[test]
fn lagging_report() {
    let mut admit = admit(2);
    for id in 0..6 {
        admit.submit(at(0), request(id, 5_000));
    }
    for id in 0..6 {
        admit.finish(at(10), id, ok(10));
    }
    // The report still counts requests that have ended here.
    admit.set_target(at(11), with_report(0, 3, 11));
    assert_eq!(slots(&admit, 11), 6);
}

#[test]
fn region_reserve() {
    let mut admit = admit(2);
    let mut moved = Vec::new();
    for id in 0..6 {
        let mut request = request(id, 5_000);
        request.reserve = Some(20);
        moved.extend(started(&admit.submit(at(0), request)));
    }
    assert_eq!(moved, [0, 1, 2, 3], "80% of six slots are four whole ones");
    for id in 6..8 {
        assert_eq!(started(&admit.submit(at(0), request(id, 5_000))), [id]);
    }
}

#[test]
fn unreachable_target() {
    let mut admit = admit(1);
    let mut tries = 0;
    for id in 0..1_000 {
        let now = id * 10;
        let effects = admit.submit(at(now), request(id, now + 5_000));
        tries += started(&effects).len();
        admit.finish(at(now), id, Completion::Unreachable);
    }
    assert!((5..=20).contains(&tries), "{tries} tries in ten seconds");
    // It is found again within the longest pause.
    run(&mut admit, 5_000, 11_000, ok(20));
    assert_eq!(slots(&admit, 11_001), 3);
}
