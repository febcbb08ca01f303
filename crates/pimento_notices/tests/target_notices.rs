//! What a VM keeps of what targets say of themselves.

use pimento_core::Time;
use pimento_notices::{Hold, MAX_PAUSE, TargetNotice, TargetNotices};
use std::{sync::Arc, time::Duration};

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

#[test]
fn longest_pause_wins() {
    let mut notices = TargetNotices::default();
    let target = Arc::from("a");
    notices.record(START, &target, 1, pause(3 * SECOND));
    notices.record(START + SECOND, &target, 1, pause(SECOND));
    let hold = notices.hold(START + SECOND, "a", 1);
    assert_eq!(hold, Some(Hold::Paused(2 * SECOND)));
    assert_eq!(notices.hold(START + 3 * SECOND, "a", 1), None);
    // A pause doesn't end the leaving.
    notices.record(START, &target, 1, LEAVING);
    notices.record(START, &target, 1, pause(SECOND));
    assert_eq!(notices.hold(START, "a", 1), Some(Hold::Leaving));
    assert_eq!(notices.hold(START + MAX_PAUSE, "a", 1), Some(Hold::Leaving));
}

#[test]
fn news_are_told_once() {
    let mut notices = TargetNotices::default();
    let target = Arc::from("a");
    let first = notices.record(START, &target, 1, pause(SECOND));
    assert_eq!(first, pause(SECOND));
    let longer = notices.record(START, &target, 1, pause(2 * SECOND));
    assert_eq!(longer, TargetNotice::NONE);
    assert_eq!(notices.take_ended(START + SECOND), []);
    let ended = notices.take_ended(START + 3 * SECOND);
    assert_eq!(ended[0].ended_for, SECOND);
    assert_eq!(notices.record(START, &target, 1, LEAVING), LEAVING);
    let again = notices.record(START, &target, 1, LEAVING);
    assert_eq!(again, TargetNotice::NONE);
    assert_eq!(notices.take_ended(START + MAX_PAUSE), []);
}

#[test]
fn pause_is_bounded() {
    let mut notices = TargetNotices::default();
    notices.record(START, &Arc::from("a"), 1, pause(Duration::MAX));
    assert_eq!(notices.hold(START, "a", 1), Some(Hold::Paused(MAX_PAUSE)));
    assert_eq!(notices.hold(START + MAX_PAUSE, "a", 1), None);
}

#[test]
fn number_of_notices_is_bounded() {
    let mut notices = TargetNotices::default();
    for i in 0..10_000 {
        let now = START + Duration::from_millis(i);
        notices.record(now, &Arc::from(format!("t{i}")), 1, LEAVING);
    }
    assert_eq!(notices.len(), 4_096);
    assert_eq!(notices.hold(START, "t9999", 1), Some(Hold::Leaving));
}

#[test]
fn notice_binds_one_incarnation() {
    let mut notices = TargetNotices::default();
    let target = Arc::from("a");
    notices.record(START, &target, 1, LEAVING);
    assert_eq!(notices.hold(START, "a", 2), None);
    notices.record(START, &target, 2, pause(SECOND));
    notices.forget_others("a", 2);
    assert_eq!(notices.notice(START, "a", 1), TargetNotice::NONE);
    assert_eq!(notices.hold(START + SECOND, "a", 1), None);
    assert_eq!(notices.hold(START, "a", 2), Some(Hold::Paused(SECOND)));
}

/// An attempt names the target, not the incarnation, so one that was meant for
/// the predecessor reaches the successor.
#[test]
fn notice_binds_attempts_for_predecessor() {
    let mut notices = TargetNotices::default();
    let target = Arc::from("a");
    notices.record(START, &target, 2, pause(SECOND));
    assert_eq!(notices.hold(START, "a", 1), Some(Hold::Paused(SECOND)));
    assert_eq!(notices.hold(START, "a", 3), None);
    assert_eq!(notices.hold(START, "aa", 1), None);
    notices.record(START, &target, 3, pause(3 * SECOND));
    assert_eq!(notices.hold(START, "a", 1), Some(Hold::Paused(3 * SECOND)));
    notices.record(START, &target, 2, LEAVING);
    assert_eq!(notices.hold(START, "a", 1), Some(Hold::Leaving));
    assert_eq!(notices.hold(START, "a", 3), Some(Hold::Paused(3 * SECOND)));
}
