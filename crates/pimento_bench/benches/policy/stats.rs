//! What a run is judged by.

use crate::preset::REGIONS;
use hdrhistogram::Histogram;
use pimento_core::prelude::*;

/// The length of the steps in which link bytes are counted.
const STEP: u64 = 10_000;
/// Steps in the second over which a link's use is taken.
const WINDOW: usize = 100;

/// The longest latency that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;

/// Bytes on the links between regions, by direction.
#[derive(Clone, Debug)]
pub struct Links {
    /// Bytes by direction and step.
    steps: Vec<Vec<u64>>,
    /// Bytes that a link carries in a second.
    capacity: u64,
}

impl Links {
    pub fn new(mbit: u32, end: Time) -> Self {
        let len = (end.as_micros() / STEP) as usize + WINDOW * 10;
        Self {
            steps: vec![vec![0; len]; REGIONS * REGIONS],
            capacity: u64::from(mbit) * 1_000_000 / 8,
        }
    }

    pub fn add(&mut self, now: Time, from: usize, to: usize, bytes: u64) {
        if from == to {
            return;
        }
        let step = (now.as_micros() / STEP) as usize;
        if let Some(count) = self.steps[from * REGIONS + to].get_mut(step) {
            *count += bytes;
        }
    }

    /// The highest use in any second, and the number of seconds above the
    /// capacity.
    pub fn highest(&self) -> (f64, u64) {
        let sums = self.steps.iter().flat_map(|steps| {
            let windows = steps.windows(WINDOW);
            windows.map(|window| window.iter().sum::<u64>())
        });
        let (mut most, mut over) = (0, 0);
        for sum in sums {
            most = most.max(sum);
            over += u64::from(sum > self.capacity);
        }
        (most as f64 / self.capacity as f64, over)
    }
}

/// Counts of one run.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Latency of whole answers in time, in microseconds, by class.
    pub latency: [Histogram<u64>; 3],
    /// Requests by class.
    pub requests: [u64; 3],
    /// Failures that said not run, by class.
    pub not_run: [u64; 3],
    /// Failures that said may have run, or lost their connection, by class.
    pub unsure: [u64; 3],
    /// Runs whose answer had not come when their time was over, by class.
    pub expired: [u64; 3],
    /// Answers after the deadline, by class.
    pub late: [u64; 3],
    /// Attempts that reached a target.
    pub attempts: u64,
    /// Requests that found all slots of a target in use.
    pub slot_overruns: u64,
    /// Seconds in which a link carried more than it can.
    pub link_overruns: u64,
    /// Runs of requests that must not run twice after their first.
    pub duplicates: u64,
    /// Requests that ran though their caller was told that they had not.
    pub false_not_run: u64,
    /// The highest share of a link that was used in any second.
    pub link_use: f64,
    /// The highest share of all slots in use.
    pub slot_use: f64,
    /// The share of the time at which all slots of a service in a region were
    /// in use.
    pub at_limit: f64,
    /// The longest time from the start of a drain to its last new request.
    pub drain: Duration,
    /// The seconds over which requests were counted.
    pub seconds: f64,
}

impl Stats {
    pub fn new() -> Self {
        let empty = || Histogram::new_with_max(LONGEST, 3).expect("a valid range");
        Self {
            latency: [empty(), empty(), empty()],
            requests: [0; 3],
            not_run: [0; 3],
            unsure: [0; 3],
            expired: [0; 3],
            late: [0; 3],
            attempts: 0,
            slot_overruns: 0,
            link_overruns: 0,
            duplicates: 0,
            false_not_run: 0,
            link_use: 0.0,
            slot_use: 0.0,
            at_limit: 0.0,
            drain: Duration::ZERO,
            seconds: 0.0,
        }
    }

    /// Whole answers in time, a second.
    pub fn goodput(&self) -> f64 {
        let answers: u64 = self.latency.iter().map(Histogram::len).sum();
        answers as f64 / self.seconds
    }

    /// A percentile of a class's latency, in milliseconds.
    pub fn percentile(&self, class: Class, percentile: f64) -> f64 {
        let micros = self.latency[class as usize].value_at_percentile(percentile);
        micros as f64 / 1_000.0
    }

    /// The p99 of a class's latency if failures count as infinitely late.
    pub fn strict_p99(&self, class: Class) -> f64 {
        let answers = &self.latency[class as usize];
        let all = self.requests[class as usize];
        let share = 0.99 * all as f64 / answers.len().max(1) as f64;
        if share > 1.0 {
            return f64::INFINITY;
        }
        answers.value_at_quantile(share) as f64 / 1_000.0
    }
}
