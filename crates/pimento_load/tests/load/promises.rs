//! The load tool detects each kind of violated guarantee.

use crate::support::{EntryFault, load_args, run_load, start_entry, start_target};
use pimento_standin::Fault;

#[actix_rt::test]
async fn no_violation() {
    let target = start_target(100, Fault::None);
    let (report, broken) = run_load(load_args(&[target.address()], &[target.address()])).await;
    assert_eq!(broken, [""; 0]);
    assert!(report.sent > 10, "{report}");
    assert_eq!(
        (report.answered, report.targets[0].runs),
        (report.sent, report.sent)
    );
    assert_eq!(
        report
            .latencies
            .last()
            .expect("a row for all services")
            .count,
        report.sent
    );
}

#[actix_rt::test]
async fn duplicate_run() {
    let target = start_target(100, Fault::None);
    let entry = start_entry(EntryFault::DuplicateRequest, target.address());
    let (report, broken) = run_load(load_args(&[entry], &[target.address()])).await;
    assert_eq!(broken, ["duplicate"]);
    assert_eq!(report.duplicates, report.sent);
}

#[actix_rt::test]
async fn slot_overrun() {
    let target = start_target(1, Fault::Late { by: 50 });
    let (_, broken) = run_load(load_args(&[target.address()], &[target.address()])).await;
    assert_eq!(broken, ["overrun"]);
}

#[actix_rt::test]
async fn missing_verdict() {
    let target = start_target(100, Fault::None);
    let entry = start_entry(EntryFault::MissingVerdict, target.address());
    let (report, broken) = run_load(load_args(&[entry], &[target.address()])).await;
    assert_eq!(broken, ["verdict"]);
    assert_eq!(report.failed, report.sent);
}

#[actix_rt::test]
async fn denied_run() {
    let target = start_target(100, Fault::None);
    let entry = start_entry(EntryFault::FalseNotRun, target.address());
    let (report, broken) = run_load(load_args(&[entry], &[target.address()])).await;
    assert_eq!(broken, ["denied"]);
    assert_eq!(report.verdicts.not_run, report.sent);
}

#[actix_rt::test]
async fn unfounded_answer() {
    let target = start_target(100, Fault::None);
    let entry = start_entry(EntryFault::FabricatedAnswer, target.address());
    let (_, broken) = run_load(load_args(&[entry], &[target.address()])).await;
    assert_eq!(broken, ["unfounded"]);
}

#[actix_rt::test]
async fn truncated_answer() {
    for chunked in [false, true] {
        let target = start_target(100, Fault::Truncated { chunked });
        let (report, broken) = run_load(load_args(&[target.address()], &[])).await;
        assert_eq!(broken, ["lost", "unanswered"], "chunked: {chunked}");
        assert_eq!(report.truncated, report.sent + report.resent);
    }
}

#[actix_rt::test]
async fn wrong_answer() {
    let target = start_target(100, Fault::Wrong);
    let (report, broken) = run_load(load_args(&[target.address()], &[])).await;
    assert_eq!(broken, ["wrong"]);
    assert_eq!(report.wrong, report.sent);
}

#[actix_rt::test]
async fn silent_target() {
    let target = start_target(100, Fault::Silent);
    let mut args = load_args(&[target.address()], &[]);
    args.timeout_ms = 200;
    let (report, broken) = run_load(args).await;
    assert_eq!(broken, ["lost", "unanswered"]);
    assert_eq!(report.unanswered, report.sent);
}

#[actix_rt::test]
async fn unread_target() {
    let target = start_target(100, Fault::None);
    let stopped = crate::support::start_target(100, Fault::None);
    let address = stopped.address();
    stopped.stop().await;
    let (_, broken) = run_load(load_args(&[target.address()], &[address])).await;
    assert_eq!(broken, ["unread"]);
}
