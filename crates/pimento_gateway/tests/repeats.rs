//! Which requests are retried and which must not be.

mod support;

use pimento_registry::Stage;
use std::time::Duration;
use support::{Behavior, TestBed, request};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

#[actix_rt::test]
async fn non_idempotent_request_runs_once() {
    for behavior in [
        Behavior::Close,
        Behavior::Truncate,
        Behavior::WrongId,
        Behavior::Garbage,
        Behavior::ServerError,
    ] {
        let test_bed = TestBed::start(&[behavior, behavior]).await;
        let reply = test_bed.call("/once/x", "", "body").await;
        assert!(
            reply.status == 502 || reply.status == 500,
            "{behavior:?} {reply:?}"
        );
        assert_eq!(test_bed.runs(), 1, "{behavior:?}");
    }
}

#[actix_rt::test]
async fn refused_request_moves_to_another_target() {
    for behavior in [Behavior::Shed, Behavior::Replaced] {
        let test_bed = TestBed::start(&[behavior, Behavior::Respond]).await;
        for _ in 0..4 {
            let reply = test_bed.call("/once/x", "", "body").await;
            assert_eq!(reply.status, 200, "{behavior:?} {reply:?}");
        }
        assert_eq!(test_bed.targets[0].runs.get(), 0);
    }
}

#[actix_rt::test]
async fn every_target_sheds() {
    let test_bed = TestBed::start(&[Behavior::Shed, Behavior::Shed]).await;
    let reply = test_bed.call("/once/x", "", "body").await;
    assert_eq!(reply.status, 503);
    assert!(reply.head.contains("retry-after: "), "{reply:?}");
    assert_eq!(test_bed.runs(), 0, "a request reported as not run has run");
}

#[actix_rt::test]
async fn safe_request_is_retried() {
    let test_bed = TestBed::start(&[Behavior::Close, Behavior::Respond]).await;
    for _ in 0..4 {
        assert_eq!(test_bed.call("/safe/x", "", "").await.status, 200);
    }
}

#[actix_rt::test]
async fn refused_connection_is_not_run() {
    let test_bed = TestBed::start(&[Behavior::Respond]).await;
    // The target's process is gone, and nothing listens on its address.
    let moved = pimento_registry::Target {
        address: "127.0.0.1:9".into(),
        ..test_bed.targets[0].report(Stage::Ready, 2)
    };
    assert!(
        test_bed
            .control
            .send(pimento_fleet::TargetReport::State(moved))
            .await
            .unwrap()
    );
    while test_bed.shared.load().targets.all()[0].address.port() != 9 {
        sleep(Duration::from_millis(10)).await;
    }
    let reply = test_bed.call("/once/x", "", "body").await;
    assert_eq!(reply.status, 503, "nothing was sent: {reply:?}");
}

#[actix_rt::test]
async fn caller_disconnects() {
    let test_bed = TestBed::start(&[Behavior::Slow(Duration::from_secs(5))]).await;
    let mut caller = TcpStream::connect(test_bed.address).await.unwrap();
    let text = request("/safe/x", "", "");
    caller.write_all(text.as_bytes()).await.unwrap();
    while test_bed.runs() == 0 {
        sleep(Duration::from_millis(10)).await;
    }
    drop(caller);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(
        test_bed.targets[0].disconnects.get(),
        1,
        "the target's connection was not closed"
    );
}

#[actix_rt::test]
async fn drained_target() {
    let test_bed = TestBed::start(&[Behavior::Respond, Behavior::Respond]).await;
    // A control VM that has just started confirms no drain, and targets repeat it.
    let mut seq = 1;
    loop {
        seq += 1;
        assert!(seq < 10, "the drain was not confirmed");
        let draining = test_bed.targets[0].report(Stage::Draining, seq);
        let report = pimento_fleet::TargetReport::State(draining);
        if test_bed.control.send(report).await.unwrap() {
            break;
        }
    }
    for _ in 0..6 {
        assert_eq!(test_bed.call("/safe/x", "", "").await.status, 200);
    }
    assert_eq!(test_bed.targets[0].runs.get(), 0);
}

#[actix_rt::test]
async fn graceful_shutdown() {
    let test_bed = TestBed::start(&[Behavior::Slow(Duration::from_millis(300))]).await;
    let mut connection = TcpStream::connect(test_bed.address).await.unwrap();
    let text = request("/safe/x", "", "");
    connection.write_all(text.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    test_bed.shutdown.begin(Duration::from_secs(5));
    // The active request gets its response, which closes the connection.
    let mut bytes = Vec::new();
    connection.read_to_end(&mut bytes).await.unwrap();
    let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    assert!(
        text.starts_with("http/1.1 200") && text.ends_with("hello"),
        "{text}"
    );
    assert!(text.contains("connection: close"), "{text}");
    // Requests that arrive during the shutdown are still served.
    assert_eq!(test_bed.call("/safe/x", "", "").await.status, 200);
    test_bed.shutdown.close_idle();
    sleep(Duration::from_millis(50)).await;
    assert_eq!(test_bed.shutdown.open_connections(), 0);
}

// A request that had run was answered as not run, because its retry was refused.
#[actix_rt::test]
async fn refused_retry_hides_run() {
    for refusal in [Behavior::Shed, Behavior::Replaced] {
        // The second target gets the request first.
        let test_bed = TestBed::start(&[refusal, Behavior::Close]).await;
        let reply = test_bed.call("/safe/x", "", "").await;
        assert_eq!(test_bed.runs(), 1, "{refusal:?}");
        assert_eq!(reply.status, 502, "{refusal:?}: {reply:?}");
    }
}

/// A streamed body was lost, and the next target got the request without it.
#[actix_rt::test]
async fn streamed_body_is_sent_once() {
    for path in ["/safe/x", "/once/x"] {
        let test_bed = TestBed::start(&[Behavior::Shed, Behavior::Shed]).await;
        let body = "0123456789".repeat(200_000);
        assert_eq!(test_bed.call(path, "", &body).await.status, 503);
        let targets = test_bed.targets.iter();
        let received: usize = targets.map(|t| t.requests.borrow().len()).sum();
        assert_eq!(received, 1, "{path}");
    }
}
