//! Requests of services that are not repeatable run at most once, and caps are
//! enforced.

mod support;

use awc::{Client, ClientResponse, http::StatusCode};
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
  - name: sign-ups
    repeatable: false
    timeout: 1000
    cap:
      segment: 1
      limit: 2
";

async fn post(vm: &Vm, path: &str, key: &str, body: &'static str) -> ClientResponse {
    let client = Client::builder().timeout(Duration::from_secs(5)).finish();
    let request = client.post(format!("http://{}/s/sign-ups/{path}", vm.callers_addr()));
    let request = request.insert_header(("idempotency-key", key));
    request.send_body(body).await.expect("a response")
}

async fn cancel(vm: &Vm, path: &str, cancels: &str) -> ClientResponse {
    let request = Client::new().delete(format!("http://{}/s/sign-ups/{path}", vm.callers_addr()));
    let request = request.insert_header(("idempotency-key", new_key()));
    let request = request.insert_header(("pimento-cancels", cancels));
    request.send().await.expect("a response")
}

#[actix_rt::test]
async fn resend_is_replayed() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let target = vm.start_target("sign-ups", |_| {}).await;
    let runs_before = target.counters().runs;
    let key = new_key();
    for _ in 0..3 {
        let mut answer = post(&vm, "shift/7", &key, "me").await;
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(answer.body().await.expect("a complete body"), "me");
    }
    assert_eq!(target.counters().runs, runs_before + 1);
    assert_eq!(target.counters().duplicates, 0);
}

#[actix_rt::test]
async fn key_reuse_is_rejected() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let _target = vm.start_target("sign-ups", |_| {}).await;
    let key = new_key();
    post(&vm, "shift/7", &key, "me").await;
    let answer = post(&vm, "shift/7", &key, "you").await;
    assert_eq!(answer.status(), StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(verdict(&answer), Some("may-have-run"));
}

#[actix_rt::test]
async fn lost_answer_is_not_rerun() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let target = vm.start_target("sign-ups", |_| {}).await;
    let runs_before = target.counters().runs;
    target.set_fault(Fault::Silent);
    let key = new_key();
    let answer = post(&vm, "shift/7", &key, "me").await;
    assert_eq!(verdict(&answer), Some("may-have-run"));
    target.set_fault(Fault::None);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let answer = post(&vm, "shift/7", &key, "me").await;
    assert_eq!(verdict(&answer), Some("may-have-run"));
    assert_eq!(target.counters().runs, runs_before + 1);
}

#[actix_rt::test]
async fn shed_request_can_be_resent() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let target = vm.start_target("sign-ups", |_| {}).await;
    target.set_fault(Fault::Shed { percent: 100 });
    let key = new_key();
    let answer = post(&vm, "shift/7", &key, "me").await;
    assert_eq!(verdict(&answer), Some("not-run"));
    target.set_fault(Fault::None);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = post(&vm, "shift/7", &key, "me").await;
    assert_eq!(answer.status(), StatusCode::OK);
}

#[actix_rt::test]
async fn full_cap() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let target = vm.start_target("sign-ups", |_| {}).await;
    let runs_before = target.counters().runs;
    let first = new_key();
    post(&vm, "shift/7", &first, "a").await;
    post(&vm, "shift/%37", &new_key(), "b").await;
    let answer = post(&vm, "shift/7", &new_key(), "c").await;
    assert_eq!(answer.status(), StatusCode::CONFLICT);
    assert_eq!(verdict(&answer), Some("not-run"));
    assert_eq!(target.counters().runs, runs_before + 2);
    let answer = cancel(&vm, "shift/7", &new_key()).await;
    assert_eq!(
        answer.status(),
        StatusCode::CONFLICT,
        "cancellation of an unknown request"
    );
    let answer = cancel(&vm, "shift/7", &first).await;
    assert_eq!(answer.status(), StatusCode::OK);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = post(&vm, "shift/7", &new_key(), "d").await;
    assert_eq!(answer.status(), StatusCode::OK);
}

#[actix_rt::test]
async fn invalid_key_is_rejected() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let answer = post(&vm, "shift/7", "7", "me").await;
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    assert_eq!(verdict(&answer), Some("not-run"));
}
