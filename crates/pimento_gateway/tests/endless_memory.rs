//! Bytes without end from several targets at once take little memory.
//!
//! It is a file of its own, since the peak of memory is that of the process.

mod support;

use std::time::Duration;
use support::{
    TestBed,
    raw_target::{RawTarget, Then},
    request,
};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

const TARGETS: usize = 10;
const CALLERS: usize = 60;
/// A part of the 112 MB that the smallest entry VM has.
const MAX_GROWTH_KB: u64 = 30 * 1_024;
/// The size of one repeated piece, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// The peak of this process's memory, in KB.
fn peak_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Sends a request, and leaves its answer unread.
async fn call_without_reading(test_bed: &TestBed) -> TcpStream {
    let mut caller = TcpStream::connect(test_bed.address).await.unwrap();
    let text = request("/once/x", "", "body");
    caller.write_all(text.as_bytes()).await.unwrap();
    caller
}

// An entry VM that kept all that targets sent would run out of memory, and all requests on it
// would end.
#[actix_rt::test]
async fn many_endless_answers() {
    let head = "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\n";
    for (start, repeated) in [
        (head.to_owned() + "A: ", "x"),
        (String::new(), "no answer"),
        (head.to_owned() + "\r\n", "x"),
        (
            head.to_owned() + "Transfer-Encoding: chunked\r\n\r\n",
            "5\r\nhello\r\n",
        ),
    ] {
        let piece = repeated.repeat(PIECE_BYTES / repeated.len());
        let mut targets = Vec::new();
        for i in 0..TARGETS {
            let (start, piece) = (start.clone(), piece.clone());
            let answer = move || (start.clone(), Then::Repeat(piece.clone()));
            targets.push(RawTarget::start(&format!("t{i}"), move |_| answer()).await);
        }
        let refs: Vec<_> = targets.iter().collect();
        let test_bed = TestBed::start_raw(&refs).await;
        let before = peak_kb();
        // Callers that read nothing until the deadline.
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            callers.push(call_without_reading(&test_bed).await);
        }
        sleep(Duration::from_millis(1_500)).await;
        let sent: usize = targets.iter().map(RawTarget::repeated_bytes).sum();
        let growth = peak_kb() - before;
        assert!(sent > 0, "{start:?}: nothing was sent");
        assert!(
            growth < MAX_GROWTH_KB,
            "{start:?} {repeated:?}: {growth} KB for {sent} bytes sent"
        );
    }
}
