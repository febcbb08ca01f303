//! Stand-ins of the operator and of clients.

use crate::{
    Record, http,
    system::{fill, unique},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// How long the operator waits for an answer before it moves on.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends an order to one node after the other until one acknowledges it. Returns
/// when that was.
pub fn order(
    record: &Record,
    nodes: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Result<f64, String> {
    let headers: &[(&str, &str)] = if body.is_empty() {
        &[]
    } else {
        &[("Content-Type", "application/json")]
    };
    let call = http::request(method, path, "control", headers, body.as_bytes());
    let begun = std::time::Instant::now();
    let mut pause = Duration::from_millis(100);
    for to in nodes.iter().cycle() {
        record.line(format!("operator sends {method} {path} to {to}"));
        let answer = http::call(*to, &call, CALL_TIMEOUT);
        match &answer {
            Ok(answer) => record.line(format!("operator got {} from {to}", answer.status())),
            Err(e) => record.line(format!("operator got no answer from {to}: {}", e.kind())),
        }
        match answer.map_or(0, |a| a.status()) {
            200..300 => return Ok(record.now()),
            status @ (400 | 409 | 412 | 413 | 422) => {
                return Err(format!("{method} {path} was refused with {status}"));
            }
            _ => {}
        }
        if begun.elapsed() > limit {
            break;
        }
        thread::sleep(pause);
        pause = (pause * 2).min(Duration::from_millis(800));
    }
    Err(format!("{method} {path} got no ack"))
}

/// A desired state with one service and one route of a kind.
pub fn desired_state(host: &str, service: &str, kind: &str) -> String {
    let values = [("host", host), ("service", service), ("kind", kind)];
    fill(include_str!("state.json"), &values)
}

/// A change of the limits to heads of up to 32,768 bytes.
pub fn larger_heads() -> String {
    fill(include_str!("limits.json"), &[])
}

/// Clients that send one request after the other to the fronts.
pub struct Clients {
    running: Arc<AtomicBool>,
    pub answered: Arc<AtomicUsize>,
    pub failed: Arc<AtomicUsize>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    pub fn start(
        record: &Record,
        fronts: &[SocketAddr],
        host: &'static str,
        count: usize,
        pause: Duration,
    ) -> Self {
        let running = Arc::new(AtomicBool::new(true));
        let (answered, failed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let spawn = |i: usize| {
            let (running, answered, failed) = (
                Arc::clone(&running),
                Arc::clone(&answered),
                Arc::clone(&failed),
            );
            let (fronts, record) = (fronts.to_vec(), record.clone());
            thread::spawn(move || {
                let mut turn = i;
                while running.load(Ordering::SeqCst) {
                    turn += 1;
                    let to = fronts[turn % fronts.len()];
                    let id = format!("{:016x}", unique());
                    let call = http::request(
                        "GET",
                        "/a/x",
                        host,
                        &[("Request-Id", &id), ("Deadline-Ms", "3000")],
                        &[],
                    );
                    let answer = http::call(to, &call, Duration::from_secs(3));
                    let status = answer.map_or(0, |a| a.status());
                    if status == 200 {
                        answered.fetch_add(1, Ordering::SeqCst);
                    } else {
                        failed.fetch_add(1, Ordering::SeqCst);
                        record.line(format!("client: request {id} to {to} ended with {status}"));
                    }
                    thread::sleep(pause);
                }
            })
        };
        let threads = (0..count).map(spawn).collect();
        Self {
            running,
            answered,
            failed,
            threads,
        }
    }

    pub fn stop(self) -> (usize, usize) {
        self.running.store(false, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("no client panics");
        }
        (
            self.answered.load(Ordering::SeqCst),
            self.failed.load(Ordering::SeqCst),
        )
    }
}
