//! The life of one request.

use crate::{
    attempt,
    caller::Callers,
    outcome::{Attempt, Tried},
    schedule::Arrival,
};
use rand::Rng;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

/// The mean wait before a request is sent again.
const BACKOFF: Duration = Duration::from_millis(20);

/// What became of a request.
#[derive(Debug)]
pub(crate) struct Ended {
    /// The key, if the request may not be repeated.
    pub(crate) key: Option<String>,
    /// Its attempts; none if no entry VM is known.
    pub(crate) tried: Vec<Tried>,
    /// The time from the intended start to the end.
    pub(crate) took: Duration,
}

/// Sends a request until it is answered, its deadline passes or its attempts
/// are used up.
pub(crate) async fn run(callers: &Callers, arrival: &Arrival, start: Instant) -> Ended {
    let deadline = start + callers.args.timeout();
    let once = callers.services[arrival.service].once;
    let key = once.then(|| Uuid::now_v7().to_string());
    let mut tried: Vec<Tried> = Vec::new();
    while (tried.len() as u32) < callers.args.attempts {
        let entries = callers.entries(arrival.service, arrival.block).await;
        let Some(entry) = choose(&entries, &tried) else {
            break;
        };
        let attempt = attempt::send(callers, arrival, key.as_deref(), entry, deadline).await;
        let again = attempt.calls_for_resend();
        tried.push(Tried { entry, attempt });
        let wait = BACKOFF.mul_f64(rand::rng().random_range(0.5..1.5));
        if !again || Instant::now() + wait >= deadline {
            break;
        }
        sleep(wait).await;
    }
    Ended {
        key,
        tried,
        took: start.elapsed(),
    }
}

/// The first entry VM that was not tried, or else the one tried least.
fn choose(entries: &[SocketAddr], tried: &[Tried]) -> Option<SocketAddr> {
    let times = |entry: &SocketAddr| tried.iter().filter(|t| t.entry == *entry).count();
    entries.iter().copied().min_by_key(times)
}

impl Ended {
    /// How the last attempt ended.
    pub(crate) fn last(&self) -> Option<&Attempt> {
        self.tried.last().map(|tried| &tried.attempt)
    }

    /// Whether the caller knows that the request never ran.
    pub(crate) fn never_ran(&self) -> bool {
        self.tried.iter().all(|tried| tried.attempt.ran_nothing())
    }
}
