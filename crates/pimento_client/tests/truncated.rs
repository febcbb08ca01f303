//! An answer that ends early is an error, never a whole answer.

use awc::error::PayloadError;
use futures_util::StreamExt;
use pimento_client::ClientConfig;
use pimento_core::{ServiceId, TargetId};
use pimento_standin::{Fault, Standin, StandinConfig};

fn start(fault: Fault) -> Standin {
    let target = TargetId::new("t1").expect("a name");
    let service = ServiceId::new("shifts").expect("a name");
    let config = StandinConfig {
        fault,
        min_answer: 100_000,
        ..StandinConfig::new(target, service)
    };
    Standin::start(config).expect("a free port")
}

/// Reads a body to its end: its length, or the error that ended it.
async fn read(standin: &Standin, size: usize) -> Result<usize, PayloadError> {
    let client = ClientConfig::default().build();
    let url = format!("http://{}/?nonce=abc&size={size}", standin.address());
    let mut response = client.get(url).send().await.expect("a head");
    let mut len = 0;
    while let Some(chunk) = response.next().await {
        len += chunk?.len();
    }
    Ok(len)
}

#[actix_rt::test]
async fn early_end() {
    for chunked in [false, true] {
        let standin = start(Fault::Truncated { chunked });
        for size in [3, 1_000, 200_000] {
            let fault = read(&standin, size).await;
            fault.expect_err(&format!("chunked: {chunked}, size: {size}"));
        }
    }
}

#[actix_rt::test]
async fn whole_answer() {
    let standin = start(Fault::None);
    for size in [3, 1_000, 200_000] {
        assert_eq!(read(&standin, size).await.expect("a whole body"), size);
    }
}

#[actix_rt::test]
async fn reused_connection() {
    let standin = start(Fault::None);
    let client = ClientConfig::default().build();
    for _ in 0..3 {
        let url = format!("http://{}/?nonce=abc", standin.address());
        let mut response = client.get(url).send().await.expect("a head");
        response.body().await.expect("a whole body");
    }
    assert_eq!(standin.counters().connections, 1);
}
