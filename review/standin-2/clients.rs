//! Stand-ins of clients.

use crate::{
    http::Connection,
    now_ms,
    world::{Record, note},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub entry: usize,
    pub sent_at: u64,
    pub ended_at: u64,
    /// The status; 0 if the connection ended or couldn't be opened.
    pub status: u16,
    /// Whether the answer said that its server leaves, and which one that is.
    pub leaving: Option<String>,
    pub has_stamp: bool,
    pub retry_after_ms: u64,
}

/// What all requests of a kind have in common.
#[derive(Clone, Debug)]
pub struct Kind {
    pub line: &'static str,
    pub body: Arc<[u8]>,
    pub deadline_ms: u64,
    /// Whether clients send it once more after a failure.
    pub retries: bool,
}

/// Whether clients send an idempotent request once more after this status.
const fn is_retried(status: u16) -> bool {
    !matches!(status, 200..300 | 400 | 401 | 404 | 413 | 431)
}

/// Sends a request on a connection of its own, and waits for the answer.
fn attempt(
    record: &Record,
    id: String,
    entry: usize,
    to: SocketAddr,
    kind: &Kind,
    left_ms: u64,
) -> Call {
    let sent_at = now_ms();
    note(record, &format!("sent {id} {} to entry-{entry}", kind.line));
    let head = format!(
        "{} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {left_ms}\r\n",
        kind.line
    );
    let response = Connection::open(to, Duration::from_millis(left_ms + 500)).ok();
    let response = response.and_then(|mut c| c.call(&head, &kind.body));
    let status = response.as_ref().map_or(0, |r| r.status());
    let header = |name: &str| response.as_ref().and_then(|r| r.header(name));
    let server = header("server-stamp")
        .and_then(|s| s.split('.').next())
        .map(str::to_owned);
    let has_stamp = server.is_some();
    let leaving = server.filter(|_| header("server-leaving").is_some());
    let retry_after: f64 = header("retry-after")
        .and_then(|t| t.parse().ok())
        .unwrap_or(0.0);
    let text = match &leaving {
        Some(server) => format!("answered {id} {status} Server-Leaving of {server}"),
        None => format!("answered {id} {status}"),
    };
    note(record, &text);
    Call {
        id,
        entry,
        sent_at,
        ended_at: now_ms(),
        status,
        leaving,
        has_stamp,
        retry_after_ms: (retry_after * 1_000.0) as u64,
    }
}

/// The clients of a case.
#[derive(Default)]
pub struct Clients {
    pub calls: Arc<Mutex<Vec<Call>>>,
    last_id: AtomicU64,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl Clients {
    /// Sends one request in the background, and repeats it if its kind allows that.
    pub fn send(&self, record: &Record, entry: usize, to: SocketAddr, kind: &Kind) {
        let id = format!(
            "{:016x}",
            0x9c41_0000 + self.last_id.fetch_add(1, Ordering::SeqCst)
        );
        let (calls, record, kind) = (Arc::clone(&self.calls), Arc::clone(record), kind.clone());
        let thread = thread::spawn(move || {
            let first = attempt(&record, id.clone(), entry, to, &kind, kind.deadline_ms);
            let left = (first.sent_at + kind.deadline_ms).saturating_sub(now_ms());
            let retry_at = kind.retries && is_retried(first.status) && left > 1_000;
            let wait = first.retry_after_ms.min(left / 3);
            calls.lock().unwrap().push(first);
            if retry_at {
                thread::sleep(Duration::from_millis(wait));
                let second = attempt(&record, format!("{id}-2"), entry, to, &kind, left - wait);
                calls.lock().unwrap().push(second);
            }
        });
        self.threads.lock().unwrap().push(thread);
    }

    /// Sends requests at an even pace to all entry nodes in turn.
    pub fn pace(
        &self,
        record: &Record,
        entries: &[SocketAddr],
        kind: &Kind,
        per_second: u64,
        span: Duration,
    ) {
        let gap = Duration::from_micros(1_000_000 / per_second);
        let count = (span.as_micros() / gap.as_micros()) as usize;
        for i in 0..count {
            let entry = i % entries.len();
            self.send(record, entry, entries[entry], kind);
            thread::sleep(gap);
        }
    }

    /// Waits for all answers.
    pub fn finish(&self) -> Vec<Call> {
        let threads = std::mem::take(&mut *self.threads.lock().unwrap());
        for thread in threads {
            thread.join().unwrap_or_default();
        }
        self.calls.lock().unwrap().clone()
    }
}
