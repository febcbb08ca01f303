//! Three VMs that all own a shard for a while, during hand-overs or a cut.

mod support;

use pimento_broker::{Broker, Decision, PermitRequest, RequestId, RequestOutcome, RequestReport};
use pimento_core::Time;
use pimento_notices::{RequestRate, StatedLimit, TargetNotice};
use std::time::Duration;
use support::{permit_request, report, view};

const START: Time = Time::from_millis(10_000);
const SECOND: Duration = Duration::from_secs(1);
const RUN_TIME: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(10);
/// How many seconds they all grant permits.
const SPAN_SECS: u64 = 8;
/// The requests per second that a cold target bears.
const COLD_RATE: f64 = 20.0;
/// What a target takes for a short time beyond the rate that it states.
const TOLERANCE: f64 = 1.5;
/// Permits that each VM may grant at once when it starts to own the shard.
const START_PERMITS: f64 = 2.0;
/// The regular owner and its first two standbys.
const OWNERS: usize = 3;

/// Counts the permits that the VMs grant on one target while each is asked for a
/// hundred a second.
fn permits_of_all(mut brokers: [Broker; OWNERS], notice: TargetNotice) -> f64 {
    let mut now = START;
    let mut granted = 0;
    let mut running: Vec<(usize, RequestId, Time)> = Vec::new();
    let report = RequestReport {
        notice,
        ..report(RequestOutcome::Answered, RUN_TIME)
    };
    for serial in 0..SPAN_SECS * 100 {
        for (at, broker) in brokers.iter_mut().enumerate() {
            let ended = running.extract_if(.., |(of, _, end)| *of == at && *end <= now);
            let ended: Vec<_> = ended.collect();
            let mut decisions = broker.tick(now);
            for (_, id, _) in ended {
                decisions.extend(broker.release(now, &id, &report));
            }
            let request = PermitRequest {
                standby: at as u32,
                ..permit_request(serial, now, SECOND / 2)
            };
            decisions.extend(broker.submit(now, request));
            let grants = decisions.iter().filter_map(|decision| match decision {
                Decision::Grant { id, .. } => Some((at, *id, now + RUN_TIME)),
                Decision::Refuse { .. } => None,
            });
            let before = running.len();
            running.extend(grants);
            granted += running.len() - before;
        }
        now += STEP;
    }
    granted as f64
}

fn brokers(cold_until: Time) -> [Broker; OWNERS] {
    let mut broker = Broker::default();
    let mut target = view("t", "d0", 8);
    target.cold_until = cold_until;
    target.cold_rate = COLD_RATE;
    broker.set_targets(START, vec![target]);
    [broker.clone(), broker.clone(), broker]
}

// Each VM alone keeps to the rate of a cold target. If the standbys used all of it
// too, the target would get more than twice as much as it bears.
#[test]
fn cold_target() {
    let rate = COLD_RATE;
    let brokers = brokers(START + SPAN_SECS as u32 * SECOND);
    let granted = permits_of_all(brokers, TargetNotice::NONE);
    let limit = rate * SPAN_SECS as f64 * TOLERANCE + OWNERS as f64 * START_PERMITS;
    assert!(granted <= limit, "{granted} permits, at most {limit}");
    assert!(granted > rate * SPAN_SECS as f64 * 0.5, "{granted} permits");
}

#[test]
fn limited_target() {
    let rate = 6.0;
    let notice = TargetNotice {
        limit: Some(StatedLimit {
            rate: RequestRate::parse("6"),
            age: Duration::ZERO,
        }),
        ..TargetNotice::NONE
    };
    let mut brokers = brokers(Time::ZERO);
    for (at, broker) in brokers.iter_mut().enumerate() {
        let request = permit_request(1_000_000 + at as u64, START, SECOND);
        let id = request.id;
        broker.submit(START, request);
        let report = RequestReport {
            notice,
            ..report(RequestOutcome::Answered, RUN_TIME)
        };
        broker.release(START, &id, &report);
    }
    let granted = permits_of_all(brokers, notice);
    let limit = rate * SPAN_SECS as f64 * TOLERANCE + OWNERS as f64 * START_PERMITS;
    assert!(granted <= limit, "{granted} permits, at most {limit}");
    assert!(granted > rate * SPAN_SECS as f64 * 0.5, "{granted} permits");
}
