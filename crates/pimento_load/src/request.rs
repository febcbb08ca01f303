//! Sending one request, with resends.

use crate::{
    attempt,
    caller::Callers,
    outcome::{AttemptOutcome, EntryAttempt},
    schedule::Arrival,
};
use rand::Rng;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

/// Mean backoff before a request is sent again; jitter varies it by half.
const MEAN_BACKOFF: Duration = Duration::from_millis(20);

/// How a request ended.
#[derive(Debug)]
pub(crate) struct RequestOutcome {
    /// The idempotency key, if the request must run at most once.
    pub(crate) key: Option<String>,
    /// Empty if no entry VM was known.
    pub(crate) attempts: Vec<EntryAttempt>,
    /// Time from the scheduled start to the end of the last attempt.
    pub(crate) latency: Duration,
}

/// Sends a request until it is answered, its deadline passes or all attempts
/// are used.
pub(crate) async fn run(callers: &Callers, arrival: &Arrival, start: Instant) -> RequestOutcome {
    let deadline = start + callers.args.timeout();
    let keyed = callers.services[arrival.service].keyed;
    let key = keyed.then(|| Uuid::now_v7().to_string());
    let mut attempts: Vec<EntryAttempt> = Vec::new();
    while (attempts.len() as u32) < callers.args.attempts {
        let entries = callers.entry_vms(arrival.service, arrival.block).await;
        let Some(entry) = least_tried_entry(&entries, &attempts) else {
            break;
        };
        let outcome = attempt::send(callers, arrival, key.as_deref(), entry, deadline).await;
        let resend = outcome.should_resend();
        attempts.push(EntryAttempt { entry, outcome });
        let backoff = MEAN_BACKOFF.mul_f64(rand::rng().random_range(0.5..1.5));
        if !resend || Instant::now() + backoff >= deadline {
            break;
        }
        sleep(backoff).await;
    }
    RequestOutcome {
        key,
        attempts,
        latency: start.elapsed(),
    }
}

/// The first entry VM without an attempt, or else the one with the fewest.
fn least_tried_entry(entries: &[SocketAddr], attempts: &[EntryAttempt]) -> Option<SocketAddr> {
    let attempt_count = |entry: &SocketAddr| attempts.iter().filter(|a| a.entry == *entry).count();
    entries.iter().copied().min_by_key(attempt_count)
}

impl RequestOutcome {
    pub(crate) fn last_outcome(&self) -> Option<&AttemptOutcome> {
        self.attempts.last().map(|attempt| &attempt.outcome)
    }

    /// Whether the caller can be sure that no target ran the request.
    pub(crate) fn is_known_not_run(&self) -> bool {
        self.attempts
            .iter()
            .all(|attempt| attempt.outcome.is_known_not_run())
    }
}
