//! What callers see of each fault of a stand-in target.

use awc::{Client, error::SendRequestError};
use bytes::Bytes;
use pimento_core::{ServiceId, TargetId};
use pimento_standin::{Fault, ServiceTime, Standin, StandinConfig};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

fn config(fault: Fault) -> StandinConfig {
    let target = TargetId::new("t1").expect("a name");
    let service = ServiceId::new("shifts").expect("a name");
    StandinConfig {
        service_time: ServiceTime::Fixed(Duration::from_millis(1)),
        fault,
        ..StandinConfig::new(target, service)
    }
}

fn start_target(fault: Fault) -> Standin {
    Standin::start(config(fault)).expect("a free port")
}

fn client(timeout: Duration) -> Client {
    Client::builder().timeout(timeout).finish()
}

async fn post(standin: &Standin, query: &str, body: &'static str) -> (u16, Option<Bytes>) {
    let url = format!("http://{}/depot/7?{query}", standin.address());
    let request = client(Duration::from_secs(5)).post(url);
    let mut response = request.send_body(body).await.expect("a response");
    (response.status().as_u16(), response.body().await.ok())
}

#[actix_rt::test]
async fn echoed_body() {
    let standin = start_target(Fault::None);
    let (status, body) = post(&standin, "size=7", "abc").await;
    assert_eq!((status, body), (200, Some("abcabca".into())));
    assert_eq!(standin.counters().finished, 1);
}

/// Reads the raw response over TCP, since awc ignores an early end.
async fn raw_response(standin: &Standin) -> String {
    let mut stream = TcpStream::connect(standin.address())
        .await
        .expect("a connection");
    let head = "GET /?nonce=abc&size=1000 HTTP/1.1\r\nhost: t1\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("a request");
    let mut text = String::new();
    let read = stream.read_to_string(&mut text);
    let with_timeout = tokio::time::timeout(Duration::from_secs(5), read);
    with_timeout
        .await
        .expect("a closed connection")
        .expect("a response");
    text
}

#[actix_rt::test]
async fn truncated_length() {
    let standin = start_target(Fault::Truncated { chunked: false });
    let text = raw_response(&standin).await;
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    assert!(head.contains("content-length: 1000"), "{head}");
    assert_eq!(body.len(), 500);
}

#[actix_rt::test]
async fn truncated_chunks() {
    let standin = start_target(Fault::Truncated { chunked: true });
    let text = raw_response(&standin).await;
    assert!(text.contains("transfer-encoding: chunked"), "{text}");
    assert!(!text.ends_with("0\r\n\r\n"), "{text}");
}

#[actix_rt::test]
async fn shed_requests() {
    let standin = start_target(Fault::Shed { percent: 100 });
    assert_eq!(post(&standin, "", "abc").await.0, 503);
    let counters = standin.counters();
    assert_eq!((counters.runs, counters.refused), (0, 1));
}

#[actix_rt::test]
async fn wrong_answer() {
    let standin = start_target(Fault::Wrong);
    let body = post(&standin, "", "abc").await.1.expect("a complete body");
    assert_ne!(body, "abc");
}

#[actix_rt::test]
async fn drained_target() {
    let standin = start_target(Fault::None);
    standin.drain();
    assert_eq!(post(&standin, "", "abc").await.0, 503);
}

#[actix_rt::test]
async fn silent_target() {
    let standin = start_target(Fault::Silent);
    let url = format!("http://{}/", standin.address());
    let result = client(Duration::from_millis(100)).get(url).send().await;
    assert!(matches!(result, Err(SendRequestError::Timeout)));
    assert_eq!(standin.counters().finished, 1);
}

#[actix_rt::test]
async fn stalled_connection() {
    let standin = start_target(Fault::None);
    let url = format!("http://{}/?nonce=n", standin.address());
    let old_client = client(Duration::from_millis(200));
    let mut response = old_client.get(&url).send().await.expect("a response");
    response.body().await.expect("a complete body");
    standin.set_fault(Fault::Stalled);
    let result = old_client.get(&url).send().await;
    assert!(matches!(result, Err(SendRequestError::Timeout)));
    let new_client = client(Duration::from_secs(5));
    let response = new_client.get(&url).send().await.expect("a response");
    assert!(response.status().is_success());
    assert_eq!(standin.counters().runs, 2);
}
