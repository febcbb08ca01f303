//! A request that ends each target that runs it is sent on a few times only, and
//! no other request is refused for it.

mod support;

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
#[ignore = "known failure, see KNOWN-RED.txt"]
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
