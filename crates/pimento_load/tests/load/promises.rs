//! The load tool notices each broken promise.

use crate::support::{Entry, args, broken, entry, target};
use pimento_standin::Fault;

#[actix_rt::test]
async fn good_run() {
    let target = target(100, Fault::None);
    let (report, broken) = broken(args(&[target.address()], &[target.address()])).await;
    assert_eq!(broken, [""; 0]);
    assert!(report.sent > 10, "{report}");
    assert_eq!(
        (report.answered, report.targets[0].runs),
        (report.sent, report.sent)
    );
    assert_eq!(report.latencies.last().expect("a total").count, report.sent);
}

#[actix_rt::test]
async fn duplicate_run() {
    let target = target(100, Fault::None);
    let twice = entry(Entry::Twice, target.address());
    let (report, broken) = broken(args(&[twice], &[target.address()])).await;
    assert_eq!(broken, ["duplicate"]);
    assert_eq!(report.duplicates, report.sent);
}

#[actix_rt::test]
async fn slot_overrun() {
    let target = target(1, Fault::Late { by: 50 });
    let (_, broken) = broken(args(&[target.address()], &[target.address()])).await;
    assert_eq!(broken, ["overrun"]);
}

#[actix_rt::test]
async fn missing_verdict() {
    let target = target(100, Fault::None);
    let mute = entry(Entry::Mute, target.address());
    let (report, broken) = broken(args(&[mute], &[target.address()])).await;
    assert_eq!(broken, ["verdict"]);
    assert_eq!(report.failed, report.sent);
}

#[actix_rt::test]
async fn denied_run() {
    let target = target(100, Fault::None);
    let deny = entry(Entry::Deny, target.address());
    let (report, broken) = broken(args(&[deny], &[target.address()])).await;
    assert_eq!(broken, ["denied"]);
    assert_eq!(report.verdicts.not_run, report.sent);
}

#[actix_rt::test]
async fn unfounded_answer() {
    let target = target(100, Fault::None);
    let invent = entry(Entry::Invent, target.address());
    let (_, broken) = broken(args(&[invent], &[target.address()])).await;
    assert_eq!(broken, ["unfounded"]);
}

#[actix_rt::test]
async fn truncated_answer() {
    for chunked in [false, true] {
        let target = target(100, Fault::Truncated { chunked });
        let (report, broken) = broken(args(&[target.address()], &[])).await;
        assert_eq!(broken, ["lost", "unanswered"], "chunked: {chunked}");
        assert_eq!(report.truncated, report.sent + report.resent);
    }
}

#[actix_rt::test]
async fn wrong_answer() {
    let target = target(100, Fault::Wrong);
    let (report, broken) = broken(args(&[target.address()], &[])).await;
    assert_eq!(broken, ["wrong"]);
    assert_eq!(report.wrong, report.sent);
}

#[actix_rt::test]
async fn silent_target() {
    let target = target(100, Fault::Silent);
    let mut args = args(&[target.address()], &[]);
    args.timeout_ms = 200;
    let (report, broken) = broken(args).await;
    assert_eq!(broken, ["lost", "unanswered"]);
    assert_eq!(report.unanswered, report.sent);
}

#[actix_rt::test]
async fn unread_target() {
    let target = target(100, Fault::None);
    let gone = crate::support::target(100, Fault::None);
    let address = gone.address();
    gone.stop().await;
    let (_, broken) = broken(args(&[target.address()], &[address])).await;
    assert_eq!(broken, ["unread"]);
}
