//! Changes of the limits apply to connections that are already open.

mod support;

use pimento_fleet::SetCatalog;
use pimento_items::{Body, Changeset, Item, Limits};
use std::{sync::Arc, time::Duration};
use support::{Behavior, TestBed, catalog, request};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// How long a change may take to be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn limits(head_bytes: u64, idle_ms: u32) -> Limits {
    Limits {
        head_bytes,
        body_bytes: 4 << 20,
        head_ms: 3_000,
        idle_ms,
    }
}

/// Sets the limits and waits until the gateway knows them.
async fn change(test_bed: &TestBed, version: u64, limits: Limits) {
    let mut catalog = Arc::unwrap_or_clone(catalog());
    let items = vec![Item::new("limits", version, Body::Limits(limits))];
    catalog
        .apply_changeset(version, &Changeset { items })
        .unwrap();
    let catalog = SetCatalog(Arc::new(catalog));
    test_bed.control.send(catalog).await.unwrap();
    let is_known = async {
        while test_bed.shared.load().catalog.revision() < version {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(APPLY_TIME, is_known).await.unwrap();
}

async fn connect(test_bed: &TestBed) -> TcpStream {
    let mut connection = TcpStream::connect(test_bed.address).await.unwrap();
    assert_eq!(send(&mut connection, 100).await, Some(200));
    connection
}

/// Sends a request with a header of this size; returns the status, or `None` if the
/// connection is closed.
async fn send(connection: &mut TcpStream, bytes: usize) -> Option<u16> {
    let padding = format!("Cookie: {}\r\n", "x".repeat(bytes));
    let text = request("/safe/x", &padding, "");
    connection.write_all(text.as_bytes()).await.ok()?;
    let mut answer = vec![0; 4_096];
    let count = connection.read(&mut answer).await.ok()?;
    let answer = String::from_utf8_lossy(&answer[..count]);
    answer.split(' ').nth(1)?.parse().ok()
}

/// Waits until the gateway closes an idle connection.
async fn wait_until_closed(connection: &mut TcpStream) {
    let read = timeout(APPLY_TIME, connection.read(&mut [0; 16])).await;
    assert_eq!(read.unwrap().unwrap(), 0);
}

// Connections that were open kept the old limit, and allowed requests got 431.
#[actix_rt::test]
async fn larger_heads() {
    let test_bed = TestBed::start(&[Behavior::Respond]).await;
    let mut connection = connect(&test_bed).await;
    assert_eq!(send(&mut connection, 15_000).await, Some(200));
    change(&test_bed, 2, limits(32_768, 15_000)).await;
    for _ in 0..3 {
        assert_eq!(send(&mut connection, 24_000).await, Some(200));
    }
    assert_eq!(send(&mut connection, 32_500).await, Some(200));
}

#[actix_rt::test]
async fn smaller_heads() {
    let test_bed = TestBed::start(&[Behavior::Respond]).await;
    let mut connection = connect(&test_bed).await;
    change(&test_bed, 2, limits(8_192, 15_000)).await;
    assert_eq!(send(&mut connection, 9_000).await, Some(431));
    assert_eq!(test_bed.runs(), 1);
    let mut connection = connect(&test_bed).await;
    assert_eq!(send(&mut connection, 9_000).await, Some(431));
    assert_eq!(send(&mut connect(&test_bed).await, 20_000).await, Some(431));
}

// A connection without room for the larger heads makes way for one that has it.
#[actix_rt::test]
async fn outgrown_connection_closes() {
    let test_bed = TestBed::start(&[Behavior::Respond]).await;
    let mut connection = connect(&test_bed).await;
    change(&test_bed, 2, limits(200_000, 15_000)).await;
    wait_until_closed(&mut connection).await;
    let mut connection = connect(&test_bed).await;
    assert_eq!(send(&mut connection, 100_000).await, Some(200));
}

#[actix_rt::test]
async fn shorter_idle_timeout() {
    let test_bed = TestBed::start(&[Behavior::Respond]).await;
    let mut connection = connect(&test_bed).await;
    change(&test_bed, 2, limits(16_384, 100)).await;
    wait_until_closed(&mut connection).await;
}

// A connection that was idle within the new timeout was closed after the old one.
#[actix_rt::test]
async fn longer_idle_timeout() {
    let test_bed = TestBed::start(&[Behavior::Respond]).await;
    change(&test_bed, 2, limits(16_384, 2_000)).await;
    sleep(APPLY_TIME).await;
    let mut connection = connect(&test_bed).await;
    change(&test_bed, 3, limits(16_384, 15_000)).await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(send(&mut connection, 100).await, Some(200));
}
