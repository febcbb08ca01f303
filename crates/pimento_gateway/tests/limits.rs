//! A target that names the requests per second that it takes gets no more, and
//! the callers of the others are told when to return.

mod support;

use support::{Behavior, TestBed, header};

/// The requests of each test, sent one after the other within a second.
const REQUESTS: usize = 20;

/// Sends requests to one target with this header. Returns how many reached it,
/// and the last reply's status and `Retry-After`.
async fn send_all(answer: &'static str) -> (usize, u16, String) {
    let test_bed = TestBed::start(&[Behavior::RespondWith(answer)]).await;
    let mut last = None;
    for _ in 0..REQUESTS {
        last = Some(test_bed.call("/once/x", "", "body").await);
    }
    let last = last.unwrap();
    let received = test_bed.targets[0].requests.borrow().len();
    (received, last.status, header(&last.head, "retry-after"))
}

#[actix_rt::test]
async fn limited_target_gets_no_more() {
    let (received, status, retry_after) = send_all("Limit: 0.5\r\n").await;
    assert!(received <= 3, "{received}");
    assert_eq!(status, 503);
    let secs: f64 = retry_after.parse().unwrap();
    assert!(secs > 1.0, "a place is due after 2 s, not {secs}");
}

#[actix_rt::test]
async fn value_that_is_no_rate_is_ignored() {
    for answer in [
        "Limit: many\r\n",
        "Limit: -1\r\n",
        "Limit: NaN\r\n",
        "Limit:\r\n",
    ] {
        let (received, status, _) = send_all(answer).await;
        assert_eq!((received, status), (REQUESTS, 200), "{answer}");
    }
}
