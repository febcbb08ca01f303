//! A caller gets the complete response to its own request, or can tell that it
//! didn't.

mod support;

use std::time::Duration;
use support::{Behavior, TestBed, header};

#[actix_rt::test]
async fn response_passes_unchanged() {
    let test_bed = TestBed::start(&[Behavior::Respond]).await;
    let reply = test_bed
        .call("/safe/x?y=%20z", "Left-Ms: 800\r\nOwn: a\r\n", "")
        .await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "hello"));
    assert!(
        reply.is_complete && reply.head.contains("stamp: s"),
        "{reply:?}"
    );
    let request = test_bed.targets[0].requests.borrow()[0].clone();
    assert!(
        request.starts_with("GET /safe/x?y=%20z HTTP/1.1"),
        "{request}"
    );
    assert_eq!(header(&request, "id"), "r1");
    assert_eq!(header(&request, "own"), "a");
    assert_eq!(header(&request, "expected"), "t0");
    assert_eq!(header(&request, "connection"), "");
    let time_left: u64 = header(&request, "left-ms").parse().unwrap();
    assert!((600..=800).contains(&time_left), "{time_left}");
}

#[actix_rt::test]
async fn upgrade_header_is_dropped() {
    let test_bed = TestBed::start(&[Behavior::Respond]).await;
    let headers = "Connection: Upgrade\r\nUpgrade: websocket\r\n";
    let reply = test_bed.call("/safe/x", headers, "").await;
    assert_eq!(reply.status, 200);
    let request = test_bed.targets[0].requests.borrow()[0].clone();
    assert_eq!(header(&request, "upgrade"), "");
}

#[actix_rt::test]
async fn truncated_response() {
    let test_bed = TestBed::start(&[Behavior::Truncate, Behavior::Truncate]).await;
    let reply = test_bed.call("/safe/x", "", "").await;
    assert_eq!(reply.status, 502, "{reply:?}");
    test_bed.targets[1].behavior.set(Behavior::Respond);
    for _ in 0..4 {
        let reply = test_bed.call("/safe/x", "", "").await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "hello"));
    }
}

#[actix_rt::test]
async fn response_to_another_request() {
    let test_bed = TestBed::start(&[Behavior::WrongId]).await;
    let reply = test_bed.call("/once/x", "", "body").await;
    assert_eq!(reply.status, 502);
    assert!(!reply.body.contains("hello"));
}

#[actix_rt::test]
async fn extra_response_is_discarded() {
    let test_bed = TestBed::start(&[Behavior::ExtraResponse]).await;
    for _ in 0..5 {
        let reply = test_bed.call("/safe/x", "", "").await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "hello"));
    }
}

#[actix_rt::test]
async fn response_without_framing() {
    let test_bed = TestBed::start(&[Behavior::Unframed]).await;
    let reply = test_bed.call("/safe/x", "", "").await;
    assert_eq!(reply.status, 200);
    assert!(
        reply.is_complete && reply.body.contains("hello"),
        "{reply:?}"
    );
}

#[actix_rt::test]
async fn target_without_http() {
    let test_bed = TestBed::start(&[Behavior::Garbage]).await;
    assert_eq!(test_bed.call("/once/x", "", "body").await.status, 502);
}

#[actix_rt::test]
async fn server_error_passes_through() {
    let test_bed = TestBed::start(&[Behavior::ServerError]).await;
    let reply = test_bed.call("/once/x", "", "body").await;
    assert_eq!((reply.status, reply.body.as_str()), (500, "hello"));
    assert!(
        reply.head.contains("stamp: s"),
        "the headers are not the target's own"
    );
}

#[actix_rt::test]
async fn deadline_expires() {
    let test_bed = TestBed::start(&[Behavior::Slow(Duration::from_secs(5))]).await;
    let start = std::time::Instant::now();
    let reply = test_bed.call("/safe/x", "Left-Ms: 300\r\n", "").await;
    assert_eq!(reply.status, 504);
    assert!(start.elapsed() < Duration::from_millis(800));
    // The gateway closes its connection to the target.
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(test_bed.targets[0].disconnects.get(), 1);
}

#[actix_rt::test]
async fn gateway_error_responses() {
    let test_bed = TestBed::start(&[Behavior::Respond]).await;
    assert_eq!(test_bed.call("/none/x", "", "").await.status, 404);
    let large = "x".repeat(5 << 20);
    assert_eq!(test_bed.call("/once/x", "", &large).await.status, 413);
    assert_eq!(test_bed.runs(), 0);
}

#[actix_rt::test]
async fn gateway_without_catalog() {
    let test_bed = TestBed::start_empty();
    let reply = test_bed.call("/safe/x", "", "").await;
    assert_eq!(
        reply.status, 503,
        "not 404: this VM may only lack the route"
    );
    assert!(reply.head.contains("retry-after: "));
}

#[actix_rt::test]
async fn streamed_request_body() {
    let test_bed = TestBed::start(&[Behavior::Respond]).await;
    let body = "0123456789".repeat(200_000);
    let reply = test_bed.call("/once/x", "", &body).await;
    assert_eq!(reply.status, 200);
    let request = test_bed.targets[0].requests.borrow()[0].clone();
    let digits = request.split_once("\r\n\r\n").unwrap().1;
    let count = digits.matches("0123456789").count();
    assert!(count >= 199_000, "{count}");
}
