//! Targets that leave or want no requests for a while get none.

mod support;

use pimento_broker::{Broker, Decision, RequestId, RequestOutcome, RequestReport, TargetView};
use pimento_core::Time;
use pimento_notices::{MAX_PAUSE, TargetNotice};
use std::time::Duration;
use support::{permit_request, report, view};

const START: Time = Time::from_millis(10_000);
const SECOND: Duration = Duration::from_secs(1);
const LEAVING: TargetNotice = TargetNotice {
    leaving: true,
    pause: None,
    limit: None,
};

const fn pause(pause: Duration) -> TargetNotice {
    TargetNotice {
        leaving: false,
        pause: Some(pause),
        limit: None,
    }
}

fn broker(views: Vec<TargetView>) -> Broker {
    let mut broker = Broker::default();
    broker.set_targets(START, views);
    broker
}

fn submit(broker: &mut Broker, now: Time, serial: u64) -> Option<String> {
    granted(&broker.submit(now, permit_request(serial, now, SECOND)))
}

fn granted(decisions: &[Decision]) -> Option<String> {
    decisions.iter().find_map(|decision| match decision {
        Decision::Grant { target, .. } => Some(target.to_string()),
        Decision::Refuse { .. } => None,
    })
}

/// Releases a permit whose holder heard a notice.
fn release(
    broker: &mut Broker,
    now: Time,
    serial: u64,
    outcome: RequestOutcome,
    notice: TargetNotice,
) -> Vec<Decision> {
    let heard = RequestReport {
        notice,
        load: Some((4, 0)),
        ..report(outcome, Duration::from_millis(5))
    };
    broker.release(now, &RequestId { process: 1, serial }, &heard)
}

#[test]
fn leaving_target_gets_no_permits() {
    let mut broker = broker(vec![view("a", "d0", 4)]);
    assert_eq!(submit(&mut broker, START, 1).as_deref(), Some("a"));
    release(&mut broker, START, 1, RequestOutcome::Answered, LEAVING);
    assert_eq!(submit(&mut broker, START, 2), None);
    // A later report of the same incarnation doesn't change that.
    broker.set_target(START, view("a", "d0", 4));
    assert_eq!(submit(&mut broker, START + SECOND, 3), None);
}

#[test]
fn leaving_survives_change_of_shard() {
    let mut broker = broker(vec![view("a", "d0", 4)]);
    submit(&mut broker, START, 1);
    release(&mut broker, START, 1, RequestOutcome::Answered, LEAVING);
    let mut moved = view("a", "d0", 4);
    moved.shard = 1;
    broker.set_targets(START, vec![moved]);
    let mut request = permit_request(2, START, SECOND);
    request.shard = 1;
    assert_eq!(granted(&broker.submit(START, request)), None);
}

#[test]
fn new_incarnation_is_not_bound() {
    for notice in [LEAVING, pause(MAX_PAUSE)] {
        let mut broker = broker(vec![view("a", "d0", 4)]);
        submit(&mut broker, START, 1);
        submit(&mut broker, START, 2);
        release(&mut broker, START, 1, RequestOutcome::Answered, notice);
        let mut restarted = view("a", "d0", 4);
        restarted.incarnation_hash += 1;
        broker.set_target(START, restarted);
        // An answer of the old incarnation arrives late.
        release(&mut broker, START, 2, RequestOutcome::Answered, notice);
        assert_eq!(submit(&mut broker, START, 3).as_deref(), Some("a"));
    }
}

#[test]
fn queued_request_goes_to_another_target() {
    let mut broker = broker(vec![view("a", "d0", 1), view("b", "d0", 1)]);
    let first = submit(&mut broker, START, 1).unwrap();
    let second = submit(&mut broker, START, 2).unwrap();
    assert_eq!(submit(&mut broker, START, 3), None);
    let served = release(&mut broker, START, 1, RequestOutcome::Answered, LEAVING);
    assert_eq!(served, [], "{first} leaves");
    let none = TargetNotice::NONE;
    let served = release(&mut broker, START, 2, RequestOutcome::Answered, none);
    assert_eq!(granted(&served), Some(second));
}

#[test]
fn pause_ends_and_is_no_fault() {
    let mut broker = broker(vec![view("a", "d0", 4)]);
    for serial in 0..4 {
        assert!(submit(&mut broker, START, serial).is_some());
    }
    for serial in 0..4 {
        let notice = pause(2 * SECOND);
        release(&mut broker, START, serial, RequestOutcome::Shed, notice);
    }
    let last = START + Duration::from_millis(1_999);
    assert_eq!(submit(&mut broker, last, 10), None);
    broker.release(
        last,
        &RequestId {
            process: 1,
            serial: 10,
        },
        &RequestReport::CANCELLED,
    );
    let after = START + 2 * SECOND;
    let granted = (20..26).filter(|serial| submit(&mut broker, after, *serial).is_some());
    assert_eq!(granted.count(), 4, "all slots are used again");
}

#[test]
fn no_wait_for_warm_target_that_pauses() {
    let mut broker = broker(vec![view("a", "d0", 4), view("b", "d0", 4)]);
    let submit = |broker: &mut Broker, serial| {
        let mut request = permit_request(serial, START, SECOND);
        request.affinity = Some(7);
        granted(&broker.submit(START, request))
    };
    let answered = |millis, notice| RequestReport {
        notice,
        ..report(RequestOutcome::Answered, Duration::from_millis(millis))
    };
    let id = |serial| RequestId { process: 1, serial };
    let warm = submit(&mut broker, 1).unwrap();
    broker.release(START, &id(1), &answered(200, TargetNotice::NONE));
    assert_eq!(submit(&mut broker, 2).as_ref(), Some(&warm));
    broker.release(START, &id(2), &answered(20, pause(SECOND)));
    let other = submit(&mut broker, 3);
    assert!(other.is_some_and(|other| other != warm));
}
