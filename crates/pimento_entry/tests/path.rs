//! Requests get a complete response or fail with a verdict.

mod support;

use awc::{Client, http::StatusCode};
use pimento_standin::Fault;
use std::time::Duration;
use support::{Vm, new_key, verdict};

const RELEASE_NOTE: &str = "
number: 1
added:
  regions:
  - name: north
  domains:
  - name: north-a
    region: north
  services:
  - name: shifts
    repeatable: true
    timeout: 1000
    body: 1000
  - name: sign-ups
    repeatable: false
    timeout: 1000
";

fn url(vm: &Vm, path: &str) -> String {
    format!("http://{}/s/{path}", vm.callers_addr())
}

#[actix_rt::test]
async fn whole_answer() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let _target = vm
        .start_target("shifts", |config| config.min_answer = 200_000)
        .await;
    let answer = Client::new()
        .get(url(&vm, "shifts/list?nonce=day1"))
        .send()
        .await;
    let mut answer = answer.expect("a response");
    let body = answer.body().limit(1 << 20).await.expect("a complete body");
    assert_eq!(answer.status(), StatusCode::OK);
    assert!(body.len() >= 200_000);
}

#[actix_rt::test]
async fn unknown_service() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let answer = Client::new()
        .get(url(&vm, "nothing/x"))
        .send()
        .await
        .expect("a response");
    assert_eq!(answer.status(), StatusCode::NOT_FOUND);
    assert_eq!(verdict(&answer), Some("not-run"));
}

#[actix_rt::test]
async fn missing_key() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let answer = Client::new()
        .post(url(&vm, "sign-ups/7"))
        .send()
        .await
        .expect("a response");
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    assert_eq!(verdict(&answer), Some("not-run"));
}

#[actix_rt::test]
async fn oversized_body() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let _target = vm.start_target("shifts", |_| {}).await;
    let request = Client::new().post(url(&vm, "shifts/x"));
    let answer = request.send_body(vec![0; 2_000]).await.expect("a response");
    assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(verdict(&answer), Some("not-run"));
}

#[actix_rt::test]
async fn truncated_answer() {
    for chunked in [false, true] {
        let vm = Vm::start(RELEASE_NOTE).await;
        let target = vm
            .start_target("shifts", |config| config.min_answer = 50_000)
            .await;
        target.set_fault(Fault::Truncated { chunked });
        let client = pimento_client::ClientConfig::default().build();
        if let Ok(mut answer) = client.get(url(&vm, "shifts/x?nonce=x")).send().await {
            let body = answer.body().limit(1 << 20).await;
            let failed = body.is_err() || verdict(&answer).is_some();
            assert!(
                failed,
                "a truncated response looks complete, chunked {chunked}"
            );
        }
    }
}

#[actix_rt::test]
async fn silent_target() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let target = vm.start_target("sign-ups", |_| {}).await;
    target.set_fault(Fault::Silent);
    let request = Client::builder().timeout(Duration::from_secs(5)).finish();
    let request = request
        .post(url(&vm, "sign-ups/7"))
        .insert_header(("idempotency-key", new_key()));
    let answer = request.send().await.expect("a response");
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(verdict(&answer), Some("may-have-run"));
}

#[actix_rt::test]
async fn caller_disconnect_cancels() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let service_time = Duration::from_millis(800);
    let target = vm
        .start_target("shifts", |config| {
            config.service_time = pimento_standin::ServiceTime::Fixed(service_time);
        })
        .await;
    let client = Client::builder()
        .timeout(Duration::from_millis(100))
        .finish();
    let result = client.get(url(&vm, "shifts/x")).send().await;
    result.expect_err("the caller disconnects before the response");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(target.counters().cancelled, 1);
}

/// A requested protocol upgrade is not passed on; the request is answered as if
/// the headers were absent.
#[actix_rt::test]
async fn upgrade_is_ignored() {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let vm = Vm::start(RELEASE_NOTE).await;
    let _target = vm.start_target("shifts", |_| {}).await;
    let mut caller = tokio::net::TcpStream::connect(vm.callers_addr())
        .await
        .unwrap();
    let request = "GET /s/shifts/list?nonce=day1 HTTP/1.1\r\nHost: a\r\n\
        Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n";
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut head = [0; 12];
    let read = caller.read_exact(&mut head);
    let read = actix_rt::time::timeout(Duration::from_secs(3), read).await;
    read.expect("a response within the timeout").unwrap();
    assert_eq!(&head, b"HTTP/1.1 200");
}
