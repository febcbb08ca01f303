//! Counting what became of requests.

use crate::{
    outcome::{Attempt, Failure},
    request::Ended,
    schedule::Arrival,
};
use hdrhistogram::Histogram;
use pimento_core::Class;
use std::{net::SocketAddr, time::Duration};

/// The longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// The precision of latencies, in significant digits.
const DIGITS: u8 = 3;

/// What became of the requests so far.
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
    pub(crate) rows: Vec<(Row, Histogram<u64>)>,
    /// Failures of all attempts, sorted.
    pub(crate) failures: Vec<(Failure, u64)>,
    /// Entry VMs, sorted.
    pub(crate) entries: Vec<(SocketAddr, EntryTally)>,
    /// The fates of keys, in no order.
    pub(crate) keys: Vec<Fate>,
}

/// What latencies are told apart by.
pub(crate) type Row = (usize, Option<Class>);

/// Attempts at one entry VM.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EntryTally {
    pub(crate) sent: u64,
    pub(crate) lost: u64,
}

/// What the caller knows of a key.
#[derive(Clone, Debug)]
pub(crate) struct Fate {
    pub(crate) key: String,
    /// Every attempt was told that it was not run.
    pub(crate) never_ran: bool,
    /// The answer came.
    pub(crate) answered: bool,
}

impl Tally {
    /// Counts a request that has ended.
    pub(crate) fn add(&mut self, arrival: &Arrival, ended: Ended, timeout: Duration) {
        for tried in &ended.tried {
            self.add_attempt(tried.entry, &tried.attempt);
        }
        self.resent += ended.tried.len().saturating_sub(1) as u64;
        let answered = ended.last() == Some(&Attempt::Answer);
        let never_ran = ended.never_ran();
        match ended.last() {
            Some(Attempt::Answer) => self.add_answer(arrival, ended.took, timeout),
            Some(Attempt::Failure(_)) => self.failed += 1,
            Some(Attempt::Wrong | Attempt::TargetError) => {}
            Some(Attempt::Truncated | Attempt::Lost | Attempt::Unreachable) | None => {
                self.unanswered += 1;
            }
        }
        if let Some(key) = ended.key {
            self.keys.push(Fate {
                key,
                never_ran,
                answered,
            });
        }
    }

    fn add_attempt(&mut self, entry: SocketAddr, attempt: &Attempt) {
        let tally = slot(&mut self.entries, &entry);
        tally.sent += 1;
        match attempt {
            Attempt::Answer => {}
            Attempt::Wrong => self.wrong += 1,
            Attempt::TargetError => self.errors += 1,
            Attempt::Unreachable => self.unreachable += 1,
            Attempt::Truncated => {
                tally.lost += 1;
                self.truncated += 1;
            }
            Attempt::Lost => {
                tally.lost += 1;
                self.lost += 1;
            }
            Attempt::Failure(failure) => *slot(&mut self.failures, failure) += 1,
        }
    }

    fn add_answer(&mut self, arrival: &Arrival, took: Duration, timeout: Duration) {
        self.answered += 1;
        self.late += u64::from(took > timeout);
        let row = (arrival.service, arrival.class);
        let micros = took.as_micros() as u64;
        self.histogram(row).saturating_record(micros);
    }

    fn histogram(&mut self, row: Row) -> &mut Histogram<u64> {
        let i = match self.rows.binary_search_by_key(&row, |(row, _)| *row) {
            Ok(i) => i,
            Err(i) => {
                self.rows.insert(i, (row, histogram()));
                i
            }
        };
        &mut self.rows[i].1
    }
}

/// An empty histogram of microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, DIGITS).expect("constant bounds that fit together")
}

/// The value of a key in a sorted vector, inserted if missing.
fn slot<'a, K: Clone + Ord, V: Default>(sorted: &'a mut Vec<(K, V)>, key: &K) -> &'a mut V {
    let i = match sorted.binary_search_by(|(k, _)| k.cmp(key)) {
        Ok(i) => i,
        Err(i) => {
            sorted.insert(i, (key.clone(), V::default()));
            i
        }
    };
    &mut sorted[i].1
}
