//! Individual decisions of a broker.

mod support;

use pimento_broker::{
    Broker, Decision, ExpectedWait, PermitRequest, RequestId, RequestOutcome, RequestReport,
    TargetView,
};
use pimento_core::Time;
use std::time::Duration;
use support::{permit_request, report, view};

const START: Time = Time::from_millis(10_000);
const SECOND: Duration = Duration::from_secs(1);

fn broker(views: Vec<TargetView>) -> Broker {
    let mut broker = Broker::default();
    broker.set_targets(START, views);
    broker
}

fn granted(decisions: &[Decision]) -> Option<String> {
    decisions.iter().find_map(|decision| match decision {
        Decision::Grant { target, .. } => Some(target.to_string()),
        Decision::Refuse { .. } => None,
    })
}

fn id(serial: u64) -> RequestId {
    RequestId { process: 1, serial }
}

#[test]
fn resubmission_is_idempotent() {
    let mut broker = broker(vec![view("a", "d0", 1)]);
    let first = broker.submit(START, permit_request(1, START, SECOND));
    // The decision was lost, so the request is submitted again.
    let second = broker.submit(START, permit_request(1, START, SECOND));
    assert_eq!(first, second);
    assert_eq!(broker.permits_in_use("a"), 1);
}

#[test]
fn release_is_idempotent() {
    let mut broker = broker(vec![view("a", "d0", 2)]);
    for serial in 1..=2 {
        broker.submit(START, permit_request(serial, START, SECOND));
    }
    let answered = report(RequestOutcome::Answered, Duration::from_millis(100));
    broker.release(START, &id(1), &answered);
    broker.release(START, &id(1), &answered);
    assert_eq!(broker.permits_in_use("a"), 1);
}

#[test]
fn lost_release_expires() {
    let mut broker = broker(vec![view("a", "d0", 1)]);
    broker.submit(START, permit_request(1, START, SECOND));
    broker.tick(START + Duration::from_secs(4));
    assert_eq!(broker.permits_in_use("a"), 1, "the request may still run");
    broker.tick(START + Duration::from_secs(5));
    assert_eq!(broker.permits_in_use("a"), 0);
}

#[test]
fn no_targets() {
    let mut broker = broker(Vec::new());
    let decisions = broker.submit(START, permit_request(1, START, SECOND));
    let wait = ExpectedWait::Unknown;
    assert_eq!(decisions, [Decision::Refuse { id: id(1), wait }]);
}

#[test]
fn target_not_accepting() {
    let mut views = vec![view("a", "d0", 1)];
    let mut broker = broker(views.clone());
    views[0].accepting = false;
    broker.set_targets(START, views);
    assert!(granted(&broker.submit(START, permit_request(1, START, SECOND))).is_none());
}

#[test]
fn urgent_request_is_served_first() {
    let mut broker = broker(vec![view("a", "d0", 1)]);
    broker.submit(START, permit_request(1, START, SECOND));
    let mut normal = permit_request(2, START, SECOND);
    normal.priority = 2;
    assert!(broker.submit(START, normal).is_empty());
    let mut urgent = permit_request(3, START, SECOND);
    urgent.priority = 0;
    assert!(broker.submit(START, urgent).is_empty());
    let answered = report(RequestOutcome::Answered, Duration::from_millis(100));
    let decisions = broker.release(START, &id(1), &answered);
    assert!(matches!(decisions.as_slice(), [Decision::Grant { id, .. }] if id.serial == 3));
}

#[test]
fn cancelled_request_leaves_queue() {
    let mut broker = broker(vec![view("a", "d0", 1)]);
    broker.submit(START, permit_request(1, START, SECOND));
    broker.submit(START, permit_request(2, START, SECOND));
    let cancelled = report(RequestOutcome::Cancelled, Duration::ZERO);
    broker.release(START, &id(2), &cancelled);
    assert_eq!(broker.queue_len(), 0);
}

#[test]
fn cold_target_rate() {
    let mut cold = view("a", "d0", 50);
    cold.cold_until = START + Duration::from_secs(10);
    let mut broker = broker(vec![cold]);
    let mut sent = 0;
    for serial in 0..200 {
        let now = START + Duration::from_millis(serial * 10);
        let decisions = broker.submit(now, permit_request(serial, now, Duration::from_millis(5)));
        sent += u32::from(granted(&decisions).is_some());
    }
    // Two seconds at 5 requests per second. Less is granted, since two VMs may
    // grant permits while they disagree on the shard owner.
    assert!((6..=10).contains(&sent), "{sent}");
}

#[test]
fn single_broken_response() {
    let mut broker = broker(vec![view("a", "d0", 4)]);
    broker.submit(START, permit_request(1, START, SECOND));
    let malformed = report(RequestOutcome::Broken, Duration::from_millis(5));
    broker.release(START, &id(1), &malformed);
    // A single broken response costs the target no slots.
    let granted =
        (2..8).filter_map(|i| granted(&broker.submit(START, permit_request(i, START, SECOND))));
    assert_eq!(granted.count(), 4);
}

#[test]
fn unreachable_target_is_ejected() {
    let mut broker = broker(vec![view("a", "d0", 4)]);
    broker.submit(START, permit_request(1, START, SECOND));
    let unreachable = report(RequestOutcome::Unreachable, Duration::from_millis(5));
    broker.release(START, &id(1), &unreachable);
    let refused = broker.submit(START, permit_request(2, START, SECOND));
    assert!(matches!(
        refused.as_slice(),
        [Decision::Refuse {
            wait: ExpectedWait::Unknown,
            ..
        }]
    ));
    // After the ejection, a single request probes the target.
    let later = START + Duration::from_millis(400);
    let granted =
        (3..8).filter_map(|i| granted(&broker.submit(later, permit_request(i, later, SECOND))));
    assert_eq!(granted.count(), 1);
}

#[test]
fn broken_target_is_avoided() {
    let mut broker = broker(vec![view("a", "d0", 4), view("b", "d0", 4)]);
    let mut now = START;
    for serial in 0..20 {
        now += Duration::from_millis(20);
        let target = granted(&broker.submit(now, permit_request(serial, now, SECOND))).unwrap();
        let outcome = if target == "a" {
            RequestOutcome::Broken
        } else {
            RequestOutcome::Answered
        };
        broker.release(
            now,
            &id(serial),
            &report(outcome, Duration::from_millis(10)),
        );
    }
    let target = granted(&broker.submit(now, permit_request(99, now, SECOND)));
    assert_eq!(target.as_deref(), Some("b"));
}

#[test]
fn failing_target_is_avoided() {
    let mut broker = broker(vec![view("a", "d0", 4), view("b", "d0", 4)]);
    let mut now = START;
    let mut to_failing = 0;
    for serial in 0..100 {
        now += Duration::from_millis(200);
        let target = granted(&broker.submit(now, permit_request(serial, now, SECOND))).unwrap();
        let outcome = if target == "a" {
            RequestOutcome::Failed
        } else {
            RequestOutcome::Answered
        };
        to_failing += u32::from(target == "a");
        broker.release(
            now,
            &id(serial),
            &report(outcome, Duration::from_millis(10)),
        );
    }
    assert!(to_failing < 20, "{to_failing}");
}

#[test]
fn full_target_halves_limit() {
    let mut broker = broker(vec![view("a", "d0", 4)]);
    broker.submit(START, permit_request(1, START, SECOND));
    let shed = RequestReport {
        load: Some((4, 2)),
        ..report(RequestOutcome::Shed, Duration::from_millis(5))
    };
    broker.release(START, &id(1), &shed);
    let later = START + SECOND;
    let granted: Vec<_> = (2..8)
        .filter_map(|serial| granted(&broker.submit(later, permit_request(serial, later, SECOND))))
        .collect();
    assert_eq!(
        granted.len(),
        2,
        "other VMs also send requests to it, so the limit is halved"
    );
}

#[test]
fn tried_target_is_skipped() {
    let mut broker = broker(vec![view("a", "d0", 4)]);
    let mut retry = permit_request(1, START, SECOND);
    retry.tried.push("a".into());
    assert!(granted(&broker.submit(START, retry)).is_none());
}

#[test]
fn too_late_to_finish() {
    let mut broker = broker(vec![view("a", "d0", 4)]);
    // Requests run for a second.
    for serial in 1..=2 {
        broker.submit(START, permit_request(serial, START, SECOND));
    }
    let end = START + SECOND;
    broker.release(end, &id(1), &report(RequestOutcome::Answered, SECOND));
    let short = PermitRequest {
        deadline: end + SECOND / 2,
        ..permit_request(4, START, SECOND)
    };
    // Half of the slots are free, so the request may run although it is late.
    assert_eq!(
        granted(&broker.submit(end, short.clone())).as_deref(),
        Some("a")
    );
    let busy = PermitRequest { id: id(5), ..short };
    assert_eq!(granted(&broker.submit(end, busy)), None);
    let long = permit_request(6, end, SECOND);
    assert_eq!(granted(&broker.submit(end, long)).as_deref(), Some("a"));
}

#[test]
fn cold_rate_across_standbys() {
    // Five VMs suspect each other, so all of them grant permits on one cold
    // target. Within a second it can handle 1.5 times its rate plus 8 requests.
    let (mut sent, rate) = (0, 3.9);
    for standby in 0..5 {
        let mut cold = view("a", "d0", 50);
        cold.cold_until = START + 10 * SECOND;
        cold.cold_rate = rate;
        let mut broker = broker(vec![cold]);
        for tick in 0..20 {
            let now = START + SECOND * tick / 20;
            let permit_request = PermitRequest {
                standby,
                ..permit_request(u64::from(tick), now, SECOND / 100)
            };
            sent += u32::from(granted(&broker.submit(now, permit_request)).is_some());
        }
    }
    assert!(f64::from(sent) <= rate * 1.5 + 8.0, "{sent}");
}

/// A standby VM used the whole rate of a cold target, beside the VMs that are
/// ranked before it.
#[test]
fn cold_rate_halves_with_rank() {
    let (seconds, rate) = (10, 5.0);
    for standby in 0..4 {
        let mut cold = view("a", "d0", 100);
        cold.cold_until = START + 2 * seconds * SECOND;
        cold.cold_rate = rate;
        let mut broker = broker(vec![cold]);
        let mut sent = 0;
        for tick in 0..100 * seconds {
            let now = START + SECOND * tick / 100;
            let permit_request = PermitRequest {
                standby,
                ..permit_request(u64::from(tick), now, SECOND / 200)
            };
            sent += u32::from(granted(&broker.submit(now, permit_request)).is_some());
        }
        let share = rate * f64::from(seconds) / f64::from(1 << standby);
        assert!(f64::from(sent) <= share, "rank {standby}: {sent}");
        assert_eq!(sent > 0, standby < 3, "rank {standby}: {sent}");
    }
}

// Both kinds of refusal had the same reason, so logs called a shard full that kept
// half of its slots for other keys.
#[test]
fn foreign_key_is_told() {
    let mut broker = broker(vec![view("a", "d0", 2)]);
    for (serial, took) in [(1, 400), (2, 100)] {
        let request = PermitRequest {
            affinity: Some(7),
            ..permit_request(serial, START, SECOND)
        };
        broker.submit(START, request);
        let answered = report(RequestOutcome::Answered, Duration::from_millis(took));
        broker.release(START, &id(serial), &answered);
    }
    broker.submit(START, permit_request(3, START, SECOND));
    let foreign = PermitRequest {
        affinity: Some(8),
        preferred: false,
        ..permit_request(4, START, SECOND)
    };
    let decisions = broker.submit(START, foreign);
    let wait = ExpectedWait::Foreign(Duration::from_millis(100));
    assert_eq!(decisions, [Decision::Refuse { id: id(4), wait }]);
}
