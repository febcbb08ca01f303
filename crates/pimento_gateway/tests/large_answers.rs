//! Responses that take a noticeable time on the VM's link.

mod support;

use std::time::Duration;
use support::{
    TestBed,
    raw_target::{RawTarget, Received, Then},
    request,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// A link on which [`LENGTH`] bytes take 0.9 s, more than the objective of the
/// tests' routes.
const LINK_RATE: f64 = 100_000.0;
/// The declared length of a large response, in bytes.
const LENGTH: usize = 90_000;
/// The part of it that arrives before the target stalls.
const FIRST_PART: usize = 40_000;
/// How long the gateway may take to notice that a peer is gone.
const REACTION: Duration = Duration::from_secs(1);

fn head(id: &str, length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nId: {id}\r\nStamp: s\r\nContent-Length: {length}\r\n\r\n")
}

/// Starts a target that sends the first part of a response and no more.
async fn stalling_target(length: usize, first_part: usize) -> RawTarget {
    let script = move |received: Received<'_>| {
        let text = head(received.id, length) + &"x".repeat(first_part);
        (text, Then::Stall)
    };
    RawTarget::start("t0", script).await
}

/// Starts a target whose response has no end in practice.
async fn endless_target() -> RawTarget {
    let script = |received: Received<'_>| {
        let chunk = "x".repeat(1 << 16);
        (head(received.id, 1 << 40), Then::Repeat(chunk))
    };
    RawTarget::start("t0", script).await
}

async fn send(test_bed: &TestBed, path: &str) -> TcpStream {
    let mut caller = TcpStream::connect(test_bed.address).await.unwrap();
    let text = request(path, "", "");
    caller.write_all(text.as_bytes()).await.unwrap();
    caller
}

// Buffering a large response first doubles the time that it takes on the link,
// and then occupies the link for all of it at once.
#[actix_rt::test]
async fn passed_on_as_it_arrives() {
    let target = stalling_target(LENGTH, FIRST_PART).await;
    let test_bed = TestBed::start_raw_on_link(LINK_RATE, &[&target]).await;
    let reply = test_bed.call_as("r1", "/safe/x", "").await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body.len(), FIRST_PART);
    assert!(!reply.is_complete, "a response without its end is complete");
    assert_eq!(
        target.requests().len(),
        1,
        "it was glued to a second attempt"
    );
}

#[actix_rt::test]
async fn refusal_is_not_passed_on() {
    let script = |received: Received<'_>| {
        let head = head(received.id, LENGTH).replace("Stamp: s", "Not-Run: 1");
        (head + &"x".repeat(FIRST_PART), Then::Stall)
    };
    let target = RawTarget::start("t0", script).await;
    let test_bed = TestBed::start_raw_on_link(LINK_RATE, &[&target]).await;
    let reply = test_bed.call_as("r1", "/safe/x", "").await;
    assert_eq!(reply.status, 503);
}

#[actix_rt::test]
async fn small_one_is_retried() {
    let target = stalling_target(5, 2).await;
    let test_bed = TestBed::start_raw_on_link(LINK_RATE, &[&target]).await;
    let reply = test_bed.call_as("r1", "/safe/x", "").await;
    assert_eq!((reply.status, reply.is_complete), (504, true), "{reply:?}");
}

#[actix_rt::test]
async fn fast_link_buffers() {
    let target = stalling_target(LENGTH / 2, FIRST_PART).await;
    let test_bed = TestBed::start_raw_on_link(LINK_RATE * 1_000.0, &[&target]).await;
    let reply = test_bed.call_as("r1", "/safe/x", "").await;
    assert_eq!((reply.status, reply.is_complete), (504, true));
}

#[actix_rt::test]
async fn slow_reader_stops_target() {
    /// More than all socket buffers on the way hold.
    const MAX_BYTES: usize = 64 << 20;
    let target = endless_target().await;
    let test_bed = TestBed::start_raw_on_link(LINK_RATE, &[&target]).await;
    let caller = send(&test_bed, "/long/x").await;
    let mut sent = 0;
    let settled = async {
        while sent == 0 || sent != target.repeated_bytes() {
            sent = target.repeated_bytes();
            sleep(Duration::from_millis(200)).await;
        }
    };
    timeout(4 * REACTION, settled)
        .await
        .expect("the target sends on and on");
    assert!(sent < MAX_BYTES, "{sent}");
    drop(caller);
}

#[actix_rt::test]
async fn caller_leaves_halfway() {
    let target = endless_target().await;
    let test_bed = TestBed::start_raw_on_link(LINK_RATE, &[&target]).await;
    let mut caller = send(&test_bed, "/long/x").await;
    let mut part = vec![0; FIRST_PART];
    caller.read_exact(&mut part).await.unwrap();
    drop(caller);
    let closed = async {
        while target.open_connections() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(REACTION, closed)
        .await
        .expect("the rest is still fetched");
}
