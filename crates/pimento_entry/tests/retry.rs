//! Repeatable requests are retried within the retry budget.

mod support;

use awc::{Client, http::StatusCode};
use pimento_standin::Fault;
use std::time::Duration;
use support::{Vm, verdict};

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
    class: critical
    timeout: 2000
    retry:
      attempts: 3
      budget: 50
      hedge: 100
";

/// Number of successful requests that fill the retry budget.
const WARMUP_REQUESTS: usize = 20;

async fn get(vm: &Vm) -> (StatusCode, Option<String>) {
    let client = Client::builder().timeout(Duration::from_secs(5)).finish();
    let request = client.get(format!("http://{}/s/shifts/x?nonce=n", vm.callers_addr()));
    let mut answer = request.send().await.expect("a response");
    let verdict = verdict(&answer).map(str::to_owned);
    answer.body().await.expect("a complete body");
    (answer.status(), verdict)
}

async fn fill_retry_budget(vm: &Vm) {
    for _ in 0..WARMUP_REQUESTS {
        assert_eq!(get(vm).await.0, StatusCode::OK);
    }
}

#[actix_rt::test]
async fn shed_requests_are_retried() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let shedding = vm.start_target("shifts", |_| {}).await;
    let _healthy = vm.start_named_target("shifts-2", "shifts", |_| {}).await;
    fill_retry_budget(&vm).await;
    shedding.set_fault(Fault::Shed { percent: 100 });
    for _ in 0..WARMUP_REQUESTS {
        assert_eq!(get(&vm).await.0, StatusCode::OK);
    }
}

#[actix_rt::test]
async fn hedged_request() {
    let vm = Vm::start(RELEASE_NOTE).await;
    let slow = vm.start_target("shifts", |_| {}).await;
    let _fast = vm.start_named_target("shifts-2", "shifts", |_| {}).await;
    fill_retry_budget(&vm).await;
    slow.set_fault(Fault::Silent);
    for _ in 0..4 {
        assert_eq!(get(&vm).await.0, StatusCode::OK);
    }
}

#[actix_rt::test]
async fn no_storm() {
    // Critical requests that were refused are retried until their deadline.
    let note = RELEASE_NOTE.replace("timeout: 2000", "timeout: 200");
    let vm = Vm::start(&note.replace("budget: 50", "budget: 10")).await;
    let target = vm.start_target("shifts", |_| {}).await;
    let second = vm.start_named_target("shifts-2", "shifts", |_| {}).await;
    fill_retry_budget(&vm).await;
    let refused_before = target.counters().refused + second.counters().refused;
    target.set_fault(Fault::Shed { percent: 100 });
    second.set_fault(Fault::Shed { percent: 100 });
    let requests = 100;
    for _ in 0..requests {
        let (status, verdict) = get(&vm).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(verdict.as_deref(), Some("not-run"));
    }
    let attempts = target.counters().refused + second.counters().refused - refused_before;
    assert!(
        attempts * 10 <= (requests + WARMUP_REQUESTS as u64) * 11,
        "{attempts} attempts"
    );
}
