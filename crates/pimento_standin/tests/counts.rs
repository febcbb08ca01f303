//! Stand-in targets count overruns, duplicate and cancelled runs, and
//! connections.

use awc::Client;
use futures_util::future::join_all;
use pimento_core::{ServiceId, TargetId};
use pimento_standin::{ColdStart, Counters, ServiceTime, Standin, StandinConfig};
use std::time::{Duration, Instant};

fn start_target(slots: u32) -> Standin {
    let target = TargetId::new("t1").expect("a name");
    let service = ServiceId::new("shifts").expect("a name");
    let config = StandinConfig {
        slots,
        ..StandinConfig::new(target, service)
    };
    Standin::start(config).expect("a free port")
}

async fn send(standin: &Standin, client: &Client, work: u64, key: &str) {
    let url = format!("http://{}/?nonce=n&work={work}", standin.address());
    let request = client.get(url).insert_header(("idempotency-key", key));
    let mut response = request.send().await.expect("a response");
    response.body().await.expect("a complete body");
}

/// Waits for the counters to be as expected, for at most two seconds.
async fn wait_for_counters(standin: &Standin, expected: impl Fn(&Counters) -> bool) -> Counters {
    for _ in 0..200 {
        if expected(&standin.counters()) {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    standin.counters()
}

#[actix_rt::test]
async fn repeated_key() {
    let standin = start_target(4);
    let client = Client::default();
    send(&standin, &client, 0, "a").await;
    send(&standin, &client, 0, "b").await;
    assert_eq!(standin.counters().duplicates, 0);
    send(&standin, &client, 0, "a").await;
    let counters = standin.counters();
    assert_eq!(counters.duplicates, 1);
    let keys: Vec<_> = counters.keys.iter().map(|k| (&*k.key, k.runs)).collect();
    assert_eq!(keys, [("a", 2)]);
}

#[actix_rt::test]
async fn slot_overrun() {
    let standin = start_target(2);
    let client = Client::default();
    join_all((0..2).map(|_| send(&standin, &client, 100, "a"))).await;
    assert_eq!(standin.counters().overruns, 0);
    join_all((0..3).map(|_| send(&standin, &client, 100, "a"))).await;
    let counters = standin.counters();
    assert_eq!((counters.overruns, counters.peak), (1, 3));
}

#[actix_rt::test]
async fn caller_disconnects() {
    let standin = start_target(1);
    let client = Client::builder()
        .timeout(Duration::from_millis(50))
        .finish();
    let url = format!("http://{}/?nonce=n&work=60000", standin.address());
    client.get(url).send().await.expect_err("a timeout");
    let counters = wait_for_counters(&standin, |c| c.cancelled == 1).await;
    assert_eq!((counters.cancelled, counters.running), (1, 0));
}

#[actix_rt::test]
async fn open_connections() {
    let standin = start_target(4);
    let client = Client::default();
    join_all((0..3).map(|_| send(&standin, &client, 50, "a"))).await;
    assert_eq!(standin.counters().connections, 3);
    drop(client);
    let counters = wait_for_counters(&standin, |c| c.connections == 0).await;
    assert_eq!(counters.connections, 0);
}

#[actix_rt::test]
async fn cold_start() {
    let target = TargetId::new("t1").expect("a name");
    let service = ServiceId::new("shifts").expect("a name");
    let cold_start = ColdStart {
        period: Duration::from_mins(1),
        factor: 10.0,
    };
    let config = StandinConfig {
        service_time: ServiceTime::Fixed(Duration::from_millis(20)),
        cold_start,
        ..StandinConfig::new(target, service)
    };
    let standin = Standin::start(config).expect("a free port");
    let url = format!("http://{}/?nonce=n", standin.address());
    let sent_at = Instant::now();
    Client::default().get(url).send().await.expect("a response");
    assert!(sent_at.elapsed() >= Duration::from_millis(200));
}
