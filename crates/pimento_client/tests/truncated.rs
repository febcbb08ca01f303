//! A truncated response is reported as an error, never as a complete response.

use awc::error::PayloadError;
use futures_util::StreamExt;
use pimento_client::ClientConfig;
use pimento_core::{ServiceId, TargetId};
use pimento_standin::{Fault, Standin, StandinConfig};

fn start(fault: Fault) -> Standin {
    let target = TargetId::new("t1").expect("valid name");
    let service = ServiceId::new("shifts").expect("valid name");
    let config = StandinConfig {
        fault,
        min_answer: 100_000,
        ..StandinConfig::new(target, service)
    };
    Standin::start(config).expect("free port")
}

/// Reads a whole body and returns its length, or the first error.
async fn read_body(standin: &Standin, size: usize) -> Result<usize, PayloadError> {
    let client = ClientConfig::default().build();
    let url = format!("http://{}/?nonce=abc&size={size}", standin.address());
    let mut response = client.get(url).send().await.expect("response head");
    let mut len = 0;
    while let Some(chunk) = response.next().await {
        len += chunk?.len();
    }
    Ok(len)
}

#[actix_rt::test]
async fn truncated_response() {
    for chunked in [false, true] {
        let standin = start(Fault::Truncated { chunked });
        for size in [3, 1_000, 200_000] {
            let result = read_body(&standin, size).await;
            result.expect_err(&format!("chunked: {chunked}, size: {size}"));
        }
    }
}

#[actix_rt::test]
async fn complete_response() {
    let standin = start(Fault::None);
    for size in [3, 1_000, 200_000] {
        assert_eq!(
            read_body(&standin, size).await.expect("complete body"),
            size
        );
    }
}

#[actix_rt::test]
async fn reused_connection() {
    let standin = start(Fault::None);
    let client = ClientConfig::default().build();
    for _ in 0..3 {
        let url = format!("http://{}/?nonce=abc", standin.address());
        let mut response = client.get(url).send().await.expect("response head");
        response.body().await.expect("complete body");
    }
    assert_eq!(standin.counters().connections, 1);
}
