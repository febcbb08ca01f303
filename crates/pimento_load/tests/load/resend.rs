//! The load tool resends requests and fails over between entry VMs.

use crate::support::{load_args, run_load, start_target};
use pimento_standin::Fault;
use std::net::SocketAddr;

#[actix_rt::test]
async fn refused_request() {
    let shedding = start_target(100, Fault::Shed { percent: 100 });
    let healthy = start_target(100, Fault::None);
    let all = [shedding.address(), healthy.address()];
    let (report, broken) = run_load(load_args(&all, &all)).await;
    assert_eq!(broken, [""; 0]);
    assert_eq!((report.answered, report.resent), (report.sent, report.sent));
    assert_eq!(report.verdicts.not_run, report.sent);
}

#[actix_rt::test]
async fn unreachable_entry() {
    let stopped = start_target(100, Fault::None);
    let address = stopped.address();
    stopped.stop().await;
    let healthy = start_target(100, Fault::None);
    let entries = [address, healthy.address()];
    let (report, broken) = run_load(load_args(&entries, &[healthy.address()])).await;
    assert_eq!(broken, [""; 0]);
    assert_eq!(
        (report.answered, report.unreachable),
        (report.sent, report.sent)
    );
}

#[actix_rt::test]
async fn unreachable_lookup() {
    let healthy = start_target(100, Fault::None);
    let mut args = load_args(&[healthy.address()], &[]);
    args.callers
        .insert(0, SocketAddr::from(([127, 0, 0, 1], 1)));
    let (report, broken) = run_load(args).await;
    assert_eq!(broken, [""; 0]);
    assert!(report.lookups > 1, "{report}");
}

#[actix_rt::test]
async fn fixed_entries() {
    let healthy = start_target(100, Fault::None);
    let mut args = load_args(&[], &[healthy.address()]);
    args.callers.clear();
    args.entries = vec![healthy.address()];
    let (report, broken) = run_load(args).await;
    assert_eq!(broken, [""; 0]);
    assert_eq!((report.answered, report.lookups), (report.sent, 0));
}
