//! A caller gets its own answer, whole, or sees that it isn't.

mod support;

use std::time::Duration;
use support::{Act, Site, header};

#[actix_rt::test]
async fn passed_unchanged() {
    let site = Site::start(&[Act::Answer]).await;
    let reply = site
        .call("/safe/x?y=%20z", "Left-Ms: 800\r\nOwn: a\r\n", "")
        .await;
    assert_eq!((reply.status, reply.body.as_str()), (200, "hello"));
    assert!(reply.whole && reply.head.contains("stamp: s"), "{reply:?}");
    let seen = site.targets[0].seen.borrow()[0].clone();
    assert!(seen.starts_with("GET /safe/x?y=%20z HTTP/1.1"), "{seen}");
    assert_eq!(header(&seen, "id"), "r1");
    assert_eq!(header(&seen, "own"), "a");
    assert_eq!(header(&seen, "expected"), "t0");
    assert_eq!(header(&seen, "connection"), "");
    let left: u64 = header(&seen, "left-ms").parse().unwrap();
    assert!((600..=800).contains(&left), "{left}");
}

#[actix_rt::test]
async fn upgrade_ignored() {
    let site = Site::start(&[Act::Answer]).await;
    let headers = "Connection: Upgrade\r\nUpgrade: websocket\r\n";
    let reply = site.call("/safe/x", headers, "").await;
    assert_eq!(reply.status, 200);
    let seen = site.targets[0].seen.borrow()[0].clone();
    assert_eq!(header(&seen, "upgrade"), "");
}

#[actix_rt::test]
async fn truncated() {
    let site = Site::start(&[Act::Truncate, Act::Truncate]).await;
    let reply = site.call("/safe/x", "", "").await;
    assert_eq!(reply.status, 502, "{reply:?}");
    site.targets[1].act.set(Act::Answer);
    for _ in 0..4 {
        let reply = site.call("/safe/x", "", "").await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "hello"));
    }
}

#[actix_rt::test]
async fn foreign_answer() {
    let site = Site::start(&[Act::Foreign]).await;
    let reply = site.call("/once/x", "", "body").await;
    assert_eq!(reply.status, 502);
    assert!(!reply.body.contains("hello"));
}

#[actix_rt::test]
async fn extra_answer() {
    let site = Site::start(&[Act::Extra]).await;
    for _ in 0..5 {
        let reply = site.call("/safe/x", "", "").await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "hello"));
    }
}

#[actix_rt::test]
async fn unframed_answer() {
    let site = Site::start(&[Act::Unframed]).await;
    let reply = site.call("/safe/x", "", "").await;
    assert_eq!(reply.status, 200);
    assert!(reply.whole && reply.body.contains("hello"), "{reply:?}");
}

#[actix_rt::test]
async fn no_http() {
    let site = Site::start(&[Act::Garbage]).await;
    assert_eq!(site.call("/once/x", "", "body").await.status, 502);
}

#[actix_rt::test]
async fn target_failure() {
    let site = Site::start(&[Act::Fail]).await;
    let reply = site.call("/once/x", "", "body").await;
    assert_eq!((reply.status, reply.body.as_str()), (500, "hello"));
    assert!(reply.head.contains("stamp: s"), "the target's own answer");
}

#[actix_rt::test]
async fn time_is_up() {
    let site = Site::start(&[Act::Slow(Duration::from_secs(5))]).await;
    let before = std::time::Instant::now();
    let reply = site.call("/safe/x", "Left-Ms: 300\r\n", "").await;
    assert_eq!(reply.status, 504);
    assert!(before.elapsed() < Duration::from_millis(800));
    // The target is told by its connection.
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(site.targets[0].left.get(), 1);
}

#[actix_rt::test]
async fn own_answers() {
    let site = Site::start(&[Act::Answer]).await;
    assert_eq!(site.call("/none/x", "", "").await.status, 404);
    let large = "x".repeat(5 << 20);
    assert_eq!(site.call("/once/x", "", &large).await.status, 413);
    assert_eq!(site.ran(), 0);
}

#[actix_rt::test]
async fn nothing_known() {
    let site = Site::bare();
    let reply = site.call("/safe/x", "", "").await;
    assert_eq!(
        reply.status, 503,
        "it may only be that this VM lacks the route"
    );
    assert!(reply.head.contains("retry-after: "));
}

#[actix_rt::test]
async fn long_body() {
    let site = Site::start(&[Act::Answer]).await;
    let body = "0123456789".repeat(200_000);
    let reply = site.call("/once/x", "", &body).await;
    assert_eq!(reply.status, 200);
    let seen = site.targets[0].seen.borrow()[0].clone();
    let digits = seen.split_once("\r\n\r\n").unwrap().1;
    let count = digits.matches("0123456789").count();
    assert!(count >= 199_000, "{count}");
}
