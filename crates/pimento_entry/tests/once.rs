//! A request that must not run twice runs once, and caps hold.

mod support;

use awc::{Client, ClientResponse, http::StatusCode};
use pimento_standin::Fault;
use std::time::Duration;
use support::{Vm, key, verdict};

const NOTE: &str = "
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
    let request = client.post(format!("http://{}/s/sign-ups/{path}", vm.callers()));
    let request = request.insert_header(("idempotency-key", key));
    request.send_body(body).await.expect("an answer")
}

async fn cancel(vm: &Vm, path: &str, cancels: &str) -> ClientResponse {
    let request = Client::new().delete(format!("http://{}/s/sign-ups/{path}", vm.callers()));
    let request = request.insert_header(("idempotency-key", key()));
    let request = request.insert_header(("pimento-cancels", cancels));
    request.send().await.expect("an answer")
}

#[actix_rt::test]
async fn same_key() {
    let vm = Vm::start(NOTE).await;
    let target = vm.target("sign-ups", |_| {}).await;
    let before = target.counters().runs;
    let key = key();
    for _ in 0..3 {
        let mut answer = post(&vm, "shift/7", &key, "me").await;
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(answer.body().await.expect("a whole body"), "me");
    }
    assert_eq!(target.counters().runs, before + 1);
    assert_eq!(target.counters().duplicates, 0);
}

#[actix_rt::test]
async fn other_request() {
    let vm = Vm::start(NOTE).await;
    let _target = vm.target("sign-ups", |_| {}).await;
    let key = key();
    post(&vm, "shift/7", &key, "me").await;
    let answer = post(&vm, "shift/7", &key, "you").await;
    assert_eq!(answer.status(), StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(verdict(&answer), Some("may-have-run"));
}

#[actix_rt::test]
async fn lost_answer() {
    let vm = Vm::start(NOTE).await;
    let target = vm.target("sign-ups", |_| {}).await;
    let before = target.counters().runs;
    target.set_fault(Fault::Silent);
    let key = key();
    let answer = post(&vm, "shift/7", &key, "me").await;
    assert_eq!(verdict(&answer), Some("may-have-run"));
    target.set_fault(Fault::None);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let answer = post(&vm, "shift/7", &key, "me").await;
    assert_eq!(verdict(&answer), Some("may-have-run"));
    assert_eq!(target.counters().runs, before + 1);
}

#[actix_rt::test]
async fn shed_again() {
    let vm = Vm::start(NOTE).await;
    let target = vm.target("sign-ups", |_| {}).await;
    target.set_fault(Fault::Shed { percent: 100 });
    let key = key();
    let answer = post(&vm, "shift/7", &key, "me").await;
    assert_eq!(verdict(&answer), Some("not-run"));
    target.set_fault(Fault::None);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = post(&vm, "shift/7", &key, "me").await;
    assert_eq!(answer.status(), StatusCode::OK);
}

#[actix_rt::test]
async fn full_cap() {
    let vm = Vm::start(NOTE).await;
    let target = vm.target("sign-ups", |_| {}).await;
    let before = target.counters().runs;
    let first = key();
    post(&vm, "shift/7", &first, "a").await;
    post(&vm, "shift/%37", &key(), "b").await;
    let answer = post(&vm, "shift/7", &key(), "c").await;
    assert_eq!(answer.status(), StatusCode::CONFLICT);
    assert_eq!(verdict(&answer), Some("not-run"));
    assert_eq!(target.counters().runs, before + 2);
    let answer = cancel(&vm, "shift/7", &key()).await;
    assert_eq!(answer.status(), StatusCode::CONFLICT, "an unknown request");
    let answer = cancel(&vm, "shift/7", &first).await;
    assert_eq!(answer.status(), StatusCode::OK);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = post(&vm, "shift/7", &key(), "d").await;
    assert_eq!(answer.status(), StatusCode::OK);
}

#[actix_rt::test]
async fn bad_key() {
    let vm = Vm::start(NOTE).await;
    let answer = post(&vm, "shift/7", "7", "me").await;
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    assert_eq!(verdict(&answer), Some("not-run"));
}
