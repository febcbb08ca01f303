//! What may be sent again and what may not.

mod support;

use pimento_registry::Stage;
use std::time::Duration;
use support::{Act, Site, request};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

#[actix_rt::test]
async fn once_never_twice() {
    for act in [
        Act::Close,
        Act::Truncate,
        Act::Foreign,
        Act::Garbage,
        Act::Fail,
    ] {
        let site = Site::start(&[act, act]).await;
        let reply = site.call("/once/x", "", "body").await;
        assert!(
            reply.status == 502 || reply.status == 500,
            "{act:?} {reply:?}"
        );
        assert_eq!(site.ran(), 1, "{act:?}");
    }
}

#[actix_rt::test]
async fn refused_elsewhere() {
    for act in [Act::Shed, Act::Replaced] {
        let site = Site::start(&[act, Act::Answer]).await;
        for _ in 0..4 {
            let reply = site.call("/once/x", "", "body").await;
            assert_eq!(reply.status, 200, "{act:?} {reply:?}");
        }
        assert_eq!(site.targets[0].ran.get(), 0);
    }
}

#[actix_rt::test]
async fn refused_everywhere() {
    let site = Site::start(&[Act::Shed, Act::Shed]).await;
    let reply = site.call("/once/x", "", "body").await;
    assert_eq!(reply.status, 503);
    assert!(reply.head.contains("retry-after: "), "{reply:?}");
    assert_eq!(site.ran(), 0, "told not-run, it was not run");
}

#[actix_rt::test]
async fn safe_again() {
    let site = Site::start(&[Act::Close, Act::Answer]).await;
    for _ in 0..4 {
        assert_eq!(site.call("/safe/x", "", "").await.status, 200);
    }
}

#[actix_rt::test]
async fn nobody_there() {
    let site = Site::start(&[Act::Answer]).await;
    // The target's process has gone without a word.
    let gone = pimento_registry::Target {
        address: "127.0.0.1:9".into(),
        ..site.targets[0].report(Stage::Ready, 2)
    };
    assert!(
        site.control
            .send(pimento_fleet::TargetReport::State(gone))
            .await
            .unwrap()
    );
    while site.shared.load().targets.all()[0].address.port() != 9 {
        sleep(Duration::from_millis(10)).await;
    }
    let reply = site.call("/once/x", "", "body").await;
    assert_eq!(reply.status, 503, "nothing of it was sent: {reply:?}");
}

#[actix_rt::test]
async fn caller_leaves() {
    let site = Site::start(&[Act::Slow(Duration::from_secs(5))]).await;
    let mut caller = TcpStream::connect(site.address).await.unwrap();
    let text = request("/safe/x", "", "");
    caller.write_all(text.as_bytes()).await.unwrap();
    while site.ran() == 0 {
        sleep(Duration::from_millis(10)).await;
    }
    drop(caller);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(site.targets[0].left.get(), 1, "the target learns of it");
}

#[actix_rt::test]
async fn drained_target() {
    let site = Site::start(&[Act::Answer, Act::Answer]).await;
    let drain = site.targets[0].report(Stage::Draining, 2);
    let known = site
        .control
        .send(pimento_fleet::TargetReport::State(drain))
        .await;
    assert!(known.unwrap());
    for _ in 0..6 {
        assert_eq!(site.call("/safe/x", "", "").await.status, 200);
    }
    assert_eq!(site.targets[0].ran.get(), 0);
}

#[actix_rt::test]
async fn graceful_stop() {
    let site = Site::start(&[Act::Slow(Duration::from_millis(300))]).await;
    let mut kept = TcpStream::connect(site.address).await.unwrap();
    let text = request("/safe/x", "", "");
    kept.write_all(text.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    site.stop.begin();
    // What is under way is answered, and the caller is told not to come back.
    let mut bytes = Vec::new();
    kept.read_to_end(&mut bytes).await.unwrap();
    let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
    assert!(
        text.starts_with("http/1.1 200") && text.ends_with("hello"),
        "{text}"
    );
    assert!(text.contains("connection: close"), "{text}");
    // A request that is already on its way is still served.
    assert_eq!(site.call("/safe/x", "", "").await.status, 200);
    site.stop.finish();
    sleep(Duration::from_millis(50)).await;
    assert_eq!(site.stop.open(), 0);
}
