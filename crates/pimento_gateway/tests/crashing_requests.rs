//! A request that ends each target that runs it is sent on a few times only, and
//! no other request is refused for it.

mod support;

use pimento_fleet::TargetReport;
use pimento_registry::Stage;
use std::time::Duration;
use support::{Behavior, TestBed};
use tokio::time::sleep;

/// How long a target runs a request.
const RUN: Duration = Duration::from_millis(40);
const MORTAL: Behavior = Behavior::Mortal(RUN);
/// The targets that a request ends before it counts as their cause.
const MAX_ENDED: usize = 3;
/// How long after the last of these a repeat may still be sent on: the shortest
/// `contact` of the platform's deployments.
const CONTACT: Duration = Duration::from_secs(3);
const DEADLY_PATH: &str = "/long/deadly";

/// Sends the request until it has ended enough targets, then waits until it must be
/// refused.
async fn end_targets(test_bed: &TestBed) {
    while test_bed.ended() < MAX_ENDED {
        test_bed.call(DEADLY_PATH, "", "body").await;
    }
    sleep(CONTACT).await;
}

#[actix_rt::test]
async fn repeats_reach_no_target() {
    let test_bed = TestBed::start(&[MORTAL; 10]).await;
    end_targets(&test_bed).await;
    let ended = test_bed.ended();
    for _ in 0..4 {
        let reply = test_bed.call(DEADLY_PATH, "", "body").await;
        assert_eq!(reply.status, 400, "{reply:?}");
        assert!(!reply.head.contains("retry-after"), "{reply:?}");
    }
    assert_eq!(test_bed.ended(), ended);
    assert!(ended <= MAX_ENDED + 1, "{ended} targets have ended");
}

#[actix_rt::test]
async fn attempt_ends_two_targets() {
    let test_bed = TestBed::start(&[MORTAL; 6]).await;
    test_bed.call(DEADLY_PATH, "", "body").await;
    assert!(test_bed.ended() <= 2, "{}", test_bed.ended());
}

#[actix_rt::test]
async fn other_requests_are_served() {
    let test_bed = TestBed::start(&[MORTAL; 8]).await;
    end_targets(&test_bed).await;
    let reply = test_bed.call(DEADLY_PATH, "", "body").await;
    assert_eq!(reply.status, 400, "{reply:?}");
    // Another path, and requests that are the cause only by their path: they end
    // targets, but are not refused for what another caller or body did.
    let reply = test_bed.call("/long/x", "", "body").await;
    assert_eq!(reply.status, 200, "{reply:?}");
    let other_caller = "User-Agent: other\r\n";
    let reply = test_bed.call(DEADLY_PATH, other_caller, "body").await;
    assert_ne!(reply.status, 400, "{reply:?}");
    let reply = test_bed.call(DEADLY_PATH, "", "other body").await;
    assert_ne!(reply.status, 400, "{reply:?}");
}

#[actix_rt::test]
async fn bystanders_are_served() {
    let test_bed = TestBed::start(&[MORTAL; 10]).await;
    let bystander = async {
        let mut statuses = Vec::new();
        for _ in 0..12 {
            statuses.push(test_bed.call("/long/x", "", "body").await.status);
        }
        statuses
    };
    let (statuses, ()) = tokio::join!(bystander, end_targets(&test_bed));
    assert!(!statuses.contains(&400), "{statuses:?}");
    assert_eq!(test_bed.call("/long/x", "", "body").await.status, 200);
}

#[actix_rt::test]
async fn broken_connection_is_no_crash() {
    let test_bed = TestBed::start(&[Behavior::Close; 6]).await;
    for _ in 0..6 {
        let reply = test_bed.call("/long/x", "", "body").await;
        assert_eq!(reply.status, 502, "{reply:?}");
        sleep(RUN).await;
    }
    sleep(CONTACT).await;
    for target in &test_bed.targets {
        target.behavior.set(Behavior::Respond);
    }
    assert_eq!(test_bed.call("/long/x", "", "body").await.status, 200);
}

#[actix_rt::test]
async fn planned_end_is_no_crash() {
    let test_bed = TestBed::start(&[Behavior::Mortal(10 * RUN); 6]).await;
    // All report that they leave, and some end with the request that they have.
    let call = || test_bed.call(DEADLY_PATH, "", "body");
    let leave = async {
        sleep(RUN).await;
        for target in &test_bed.targets {
            let report = TargetReport::State(target.report(Stage::Draining, 2));
            test_bed.control.do_send(report);
        }
        sleep(5 * RUN).await;
        assert!(test_bed.shared.load().targets.all().is_empty());
    };
    tokio::join!(call(), call(), call(), call(), leave);
    sleep(CONTACT).await;
    assert!(test_bed.ended() >= MAX_ENDED, "{}", test_bed.ended());
    assert!(test_bed.shared.load().verdicts.is_empty());
}

#[actix_rt::test]
async fn streamed_body_is_recognized() {
    let test_bed = TestBed::start(&[MORTAL; 8]).await;
    let body = "x".repeat(3 << 20);
    while test_bed.ended() < MAX_ENDED {
        test_bed.call(DEADLY_PATH, "", &body).await;
    }
    sleep(CONTACT).await;
    let ended = test_bed.ended();
    let reply = test_bed.call(DEADLY_PATH, "", &body).await;
    assert_eq!(reply.status, 400, "{reply:?}");
    assert_eq!(test_bed.ended(), ended);
}

#[actix_rt::test]
async fn answered_request_is_acquitted() {
    let test_bed = TestBed::start(&[MORTAL; 8]).await;
    while test_bed.ended() < MAX_ENDED - 1 {
        test_bed.call(DEADLY_PATH, "", "body").await;
    }
    sleep(CONTACT).await;
    for target in &test_bed.targets {
        target.behavior.set(Behavior::Respond);
    }
    assert_eq!(test_bed.call(DEADLY_PATH, "", "body").await.status, 200);
    for target in &test_bed.targets {
        target.behavior.set(MORTAL);
    }
    sleep(CONTACT / 10).await;
    // Only crashes after the answer count: two are too few again.
    test_bed.call(DEADLY_PATH, "", "body").await;
    sleep(CONTACT).await;
    assert_ne!(test_bed.call(DEADLY_PATH, "", "body").await.status, 400);
}
