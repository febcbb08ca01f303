//! What targets say of the requests that they take: decoding, and which of
//! several statements counts.

use pimento_core::Time;
use pimento_notices::{RequestRate, StatedLimit, TargetNotice, TargetNotices};
use std::{sync::Arc, time::Duration};

const START: Time = Time::from_millis(60_000);
const SECOND: Duration = Duration::from_secs(1);

fn stated(rate: Option<f64>, age: Duration) -> TargetNotice {
    let rate = rate.map(|rate| RequestRate::from_millis((rate * 1_000.0) as u64));
    TargetNotice {
        limit: Some(StatedLimit { rate, age }),
        ..TargetNotice::NONE
    }
}

fn rate_of(notices: &TargetNotices, now: Time) -> Option<f64> {
    let limit = notices.notice(now, "a", 1).limit;
    limit
        .and_then(|limit| limit.rate)
        .map(RequestRate::per_second)
}

#[test]
fn decimal_numbers() {
    let parse = |text| RequestRate::parse(text).map(RequestRate::per_second);
    assert_eq!(parse("3.4"), Some(3.4));
    assert_eq!(parse(" 0.25 "), Some(0.25));
    assert_eq!(parse("0"), Some(0.0));
    assert_eq!(parse("1e300"), Some(1e9));
    for text in ["", "-1", "NaN", "many", "3,4", "3/s"] {
        assert_eq!(parse(text), None, "{text}");
    }
}

#[test]
fn newest_statement_counts() {
    let (mut notices, target) = (TargetNotices::default(), Arc::from("a"));
    notices.record(START, &target, 1, stated(Some(5.0), Duration::ZERO));
    let late = stated(Some(9.0), SECOND);
    assert_eq!(notices.record(START, &target, 1, late), TargetNotice::NONE);
    assert_eq!(rate_of(&notices, START), Some(5.0));
    let lower = stated(Some(2.0), Duration::ZERO);
    assert_eq!(notices.record(START + SECOND, &target, 1, lower), lower);
    assert_eq!(rate_of(&notices, START + SECOND), Some(2.0));
}

#[test]
fn limit_lasts_until_target_ends_it() {
    let (mut notices, target) = (TargetNotices::default(), Arc::from("a"));
    notices.record(START, &target, 1, stated(Some(5.0), Duration::ZERO));
    let later = START + 3_600 * SECOND;
    assert_eq!(notices.take_ended(later), []);
    assert_eq!(rate_of(&notices, later), Some(5.0));
    notices.record(later, &target, 1, stated(None, Duration::ZERO));
    assert_eq!(rate_of(&notices, later), None);
    assert_eq!(notices.take_ended(later), []);
    assert!(notices.is_empty());
}

#[test]
fn no_limit_needs_no_memory() {
    let (mut notices, target) = (TargetNotices::default(), Arc::from("a"));
    let none = stated(None, Duration::ZERO);
    assert_eq!(notices.record(START, &target, 1, none), TargetNotice::NONE);
    assert!(notices.is_empty());
}
