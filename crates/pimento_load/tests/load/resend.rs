//! The load tool sends again as a caller does.

use crate::support::{args, broken, target};
use pimento_standin::Fault;
use std::net::SocketAddr;

#[actix_rt::test]
async fn refused_request() {
    let shedding = target(100, Fault::Shed { percent: 100 });
    let good = target(100, Fault::None);
    let all = [shedding.address(), good.address()];
    let (report, broken) = broken(args(&all, &all)).await;
    assert_eq!(broken, [""; 0]);
    assert_eq!((report.answered, report.resent), (report.sent, report.sent));
    assert_eq!(report.verdicts.not_run, report.sent);
}

#[actix_rt::test]
async fn unreachable_entry() {
    let gone = target(100, Fault::None);
    let address = gone.address();
    gone.stop().await;
    let good = target(100, Fault::None);
    let entries = [address, good.address()];
    let (report, broken) = broken(args(&entries, &[good.address()])).await;
    assert_eq!(broken, [""; 0]);
    assert_eq!(
        (report.answered, report.unreachable),
        (report.sent, report.sent)
    );
}

#[actix_rt::test]
async fn silent_lookup() {
    let good = target(100, Fault::None);
    let mut args = args(&[good.address()], &[]);
    args.callers
        .insert(0, SocketAddr::from(([127, 0, 0, 1], 1)));
    let (report, broken) = broken(args).await;
    assert_eq!(broken, [""; 0]);
    assert!(report.lookups > 1, "{report}");
}

#[actix_rt::test]
async fn fixed_entries() {
    let good = target(100, Fault::None);
    let mut args = args(&[], &[good.address()]);
    args.callers.clear();
    args.entries = vec![good.address()];
    let (report, broken) = broken(args).await;
    assert_eq!(broken, [""; 0]);
    assert_eq!((report.answered, report.lookups), (report.sent, 0));
}
