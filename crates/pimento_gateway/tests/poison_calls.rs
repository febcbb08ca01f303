//! Operators see which requests are refused, and lift a refusal.

mod support;

use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use pimento_fleet::PoisonReport;
use pimento_gateway::poison_call;
use pimento_poison::{Fingerprint, Verdict};
use std::time::Duration;
use support::{Behavior, TestBed};
use tokio::time::sleep;

/// Calls and returns the status and the text.
async fn call(test_bed: &TestBed, method: &Method, fingerprint: &str) -> (StatusCode, String) {
    let response = poison_call(&test_bed.fleet, method, fingerprint).await;
    let status = response.status();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8(body.to_vec()).unwrap())
}

#[actix_rt::test]
async fn refusal_is_listed_and_lifted() {
    let test_bed = TestBed::start(&[Behavior::Respond]).await;
    let request = Fingerprint::of([&b"request"[..]]);
    for incarnation in 0..3 {
        test_bed.fleet.do_send(PoisonReport::Crashed {
            incarnation,
            requests: vec![request],
            age: Duration::ZERO,
        });
    }
    sleep(Duration::from_secs(2)).await;
    let known = || test_bed.shared.load().verdict(request);
    assert_eq!(known(), Some(Verdict::Refused));
    let (status, text) = call(&test_bed, &Method::GET, "").await;
    assert_eq!(status, StatusCode::OK);
    assert!(text.starts_with(&format!("{request} refused ")), "{text}");
    let lifted = call(&test_bed, &Method::DELETE, &request.to_string()).await;
    assert_eq!(lifted.0, StatusCode::OK);
    sleep(Duration::from_millis(200)).await;
    assert_eq!(known(), None);
    let again = call(&test_bed, &Method::DELETE, &request.to_string()).await;
    assert_eq!(again.0, StatusCode::NOT_FOUND);
}

#[actix_rt::test]
async fn malformed_fingerprint_is_named() {
    let test_bed = TestBed::start_empty();
    for text in [
        "",
        "12",
        "+0000000000000000000000000000001",
        "not hexadecimal at all, 32 long..",
    ] {
        let (status, text) = call(&test_bed, &Method::DELETE, text).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
        assert!(text.contains("fingerprint"), "{text}");
    }
}
