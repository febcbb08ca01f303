//! Counters of request and attempt outcomes.

use crate::{
    outcome::{AttemptOutcome, Failure},
    request::RequestOutcome,
    schedule::Arrival,
};
use hdrhistogram::Histogram;
use pimento_core::Class;
use std::{net::SocketAddr, time::Duration};

/// Upper bound of the latency histograms; longer latencies are recorded as
/// this one.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Precision of the latency histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counters of the requests so far; [`Report`](crate::Report) describes those
/// with the same names.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) sent: u64,
    pub(crate) dropped: u64,
    pub(crate) answered: u64,
    pub(crate) late: u64,
    pub(crate) wrong: u64,
    pub(crate) errors: u64,
    pub(crate) truncated: u64,
    pub(crate) lost: u64,
    pub(crate) unreachable: u64,
    pub(crate) resent: u64,
    pub(crate) failed: u64,
    pub(crate) unanswered: u64,
    /// Latencies of answered requests, sorted by service and class.
    pub(crate) latencies: Vec<(LatencyKey, Histogram<u64>)>,
    /// Failure responses of all attempts, sorted.
    pub(crate) failures: Vec<(Failure, u64)>,
    /// Attempts per entry VM, sorted by address.
    pub(crate) entries: Vec<(SocketAddr, EntryTally)>,
    /// Outcomes per idempotency key, unsorted.
    pub(crate) key_outcomes: Vec<KeyOutcome>,
}

/// Service index and class that latencies are grouped by.
pub(crate) type LatencyKey = (usize, Option<Class>);

/// Attempts sent to one entry VM.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EntryTally {
    pub(crate) sent: u64,
    pub(crate) lost: u64,
}

/// What the caller was told about an idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct KeyOutcome {
    pub(crate) key: String,
    /// Whether every attempt was reported as `not-run` or could not connect.
    pub(crate) not_run: bool,
    pub(crate) answered: bool,
}

impl Tally {
    pub(crate) fn record_request(
        &mut self,
        arrival: &Arrival,
        outcome: RequestOutcome,
        timeout: Duration,
    ) {
        for attempt in &outcome.attempts {
            self.record_attempt(attempt.entry, &attempt.outcome);
        }
        self.resent += outcome.attempts.len().saturating_sub(1) as u64;
        let answered = outcome.last_outcome() == Some(&AttemptOutcome::Answer);
        let not_run = outcome.is_known_not_run();
        match outcome.last_outcome() {
            Some(AttemptOutcome::Answer) => self.record_answer(arrival, outcome.latency, timeout),
            Some(AttemptOutcome::Failure(_)) => self.failed += 1,
            Some(AttemptOutcome::Wrong | AttemptOutcome::TargetError) => {}
            Some(
                AttemptOutcome::Truncated | AttemptOutcome::Lost | AttemptOutcome::Unreachable,
            )
            | None => {
                self.unanswered += 1;
            }
        }
        if let Some(key) = outcome.key {
            self.key_outcomes.push(KeyOutcome {
                key,
                not_run,
                answered,
            });
        }
    }

    fn record_attempt(&mut self, entry: SocketAddr, outcome: &AttemptOutcome) {
        let entry_tally = value_or_default(&mut self.entries, &entry);
        entry_tally.sent += 1;
        match outcome {
            AttemptOutcome::Answer => {}
            AttemptOutcome::Wrong => self.wrong += 1,
            AttemptOutcome::TargetError => self.errors += 1,
            AttemptOutcome::Unreachable => self.unreachable += 1,
            AttemptOutcome::Truncated => {
                entry_tally.lost += 1;
                self.truncated += 1;
            }
            AttemptOutcome::Lost => {
                entry_tally.lost += 1;
                self.lost += 1;
            }
            AttemptOutcome::Failure(failure) => *value_or_default(&mut self.failures, failure) += 1,
        }
    }

    fn record_answer(&mut self, arrival: &Arrival, latency: Duration, timeout: Duration) {
        self.answered += 1;
        self.late += u64::from(latency > timeout);
        let key = (arrival.service, arrival.class);
        let micros = latency.as_micros() as u64;
        self.latency_histogram(key).saturating_record(micros);
    }

    fn latency_histogram(&mut self, key: LatencyKey) -> &mut Histogram<u64> {
        let i = match self.latencies.binary_search_by_key(&key, |(key, _)| *key) {
            Ok(i) => i,
            Err(i) => {
                self.latencies.insert(i, (key, new_histogram()));
                i
            }
        };
        &mut self.latencies[i].1
    }
}

/// An empty latency histogram, in microseconds.
pub(crate) fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}

/// The value of a key in a sorted vector; a missing one is inserted with its
/// default.
fn value_or_default<'a, K: Clone + Ord, V: Default>(
    sorted: &'a mut Vec<(K, V)>,
    key: &K,
) -> &'a mut V {
    let i = match sorted.binary_search_by(|(k, _)| k.cmp(key)) {
        Ok(i) => i,
        Err(i) => {
            sorted.insert(i, (key.clone(), V::default()));
            i
        }
    };
    &mut sorted[i].1
}
