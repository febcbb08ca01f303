//! Callers that speak HTTP/1.0, where a response without a length ends with its
//! connection.

mod support;

use std::io::ErrorKind;
use support::{
    TestBed,
    raw_target::{RawTarget, Received, Then},
    request,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// More than the gateway buffers, in bytes.
const FIRST_PART: usize = 100_000;

/// Starts a target whose chunked response has one chunk, and then goes on as told.
async fn chunked_target(end: &'static str, then: Then) -> RawTarget {
    let script = move |received: Received<'_>| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nId: {}\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
            received.id
        );
        let chunk = format!("{FIRST_PART:x}\r\n{}\r\n", "x".repeat(FIRST_PART));
        (head + &chunk + end, then.clone())
    };
    RawTarget::start("t0", script).await
}

/// Sends a request as an HTTP/1.0 caller and reads until the connection ends.
async fn call(test_bed: &TestBed) -> (Vec<u8>, Option<ErrorKind>) {
    let mut caller = TcpStream::connect(test_bed.address).await.unwrap();
    let text = request("/safe/x", "", "").replace("HTTP/1.1", "HTTP/1.0");
    caller.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = caller.read_to_end(&mut bytes).await;
    (bytes, read.err().map(|e| e.kind()))
}

#[actix_rt::test]
async fn whole_response() {
    let target = chunked_target("0\r\n\r\n", Then::Keep).await;
    let test_bed = TestBed::start_raw(&[&target]).await;
    let (bytes, error) = call(&test_bed).await;
    assert_eq!(error, None);
    assert!(bytes.len() > FIRST_PART);
}

// A connection that ends in order is the end of such a response. One that breaks
// off must end with a reset.
#[actix_rt::test]
async fn broken_response() {
    let target = chunked_target("", Then::Reset).await;
    let test_bed = TestBed::start_raw(&[&target]).await;
    let (_, error) = call(&test_bed).await;
    assert_eq!(error, Some(ErrorKind::ConnectionReset));
}
