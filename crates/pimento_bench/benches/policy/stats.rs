//! Counters and histograms of a run.

use crate::preset::REGIONS;
use hdrhistogram::Histogram;
use pimento_core::prelude::*;

/// Length of the steps in which link bytes are counted, in microseconds.
const STEP_MICROS: u64 = 10_000;
/// Steps per sliding window of one second, over which link utilization is taken.
const WINDOW_STEPS: usize = 100;

/// Upper limit of the latency histograms, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Bytes on the links between regions, per direction and time step.
#[derive(Clone, Debug)]
pub struct LinkUsage {
    /// Bytes per direction and step.
    steps: Vec<Vec<u64>>,
    /// Capacity of a link in bytes per second.
    capacity: u64,
}

impl LinkUsage {
    pub fn new(mbit: u32, end: Time) -> Self {
        let len = (end.as_micros() / STEP_MICROS) as usize + WINDOW_STEPS * 10;
        Self {
            steps: vec![vec![0; len]; REGIONS * REGIONS],
            capacity: u64::from(mbit) * 1_000_000 / 8,
        }
    }

    pub fn record_bytes(&mut self, now: Time, from: usize, to: usize, bytes: u64) {
        if from == to {
            return;
        }
        let step = (now.as_micros() / STEP_MICROS) as usize;
        if let Some(count) = self.steps[from * REGIONS + to].get_mut(step) {
            *count += bytes;
        }
    }

    /// Returns the highest utilization of any link in any one-second window, and
    /// the number of windows in which a link exceeded its capacity.
    pub fn peak_use(&self) -> (f64, u64) {
        let sums = self.steps.iter().flat_map(|steps| {
            let windows = steps.windows(WINDOW_STEPS);
            windows.map(|window| window.iter().sum::<u64>())
        });
        let (mut peak, mut overruns) = (0, 0);
        for sum in sums {
            peak = peak.max(sum);
            overruns += u64::from(sum > self.capacity);
        }
        (peak as f64 / self.capacity as f64, overruns)
    }
}

/// Results of one run.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Latency of complete answers before the deadline, in microseconds, by class.
    pub latency: [Histogram<u64>; 3],
    /// Requests by class.
    pub requests: [u64; 3],
    /// Failures reported as not run, by class.
    pub not_run: [u64; 3],
    /// Failures reported as may have run, or with a lost caller connection, by
    /// class.
    pub uncertain: [u64; 3],
    /// Runs whose answer did not arrive before the response timeout, by class.
    pub expired: [u64; 3],
    /// Answers that arrived after the deadline, by class.
    pub late: [u64; 3],
    /// Attempts that reached a target.
    pub target_attempts: u64,
    /// Attempts that reached a target with all slots in use.
    pub slot_overruns: u64,
    /// One-second windows in which a link exceeded its capacity.
    pub link_overruns: u64,
    /// Repeated runs of requests that aren't repeatable.
    pub duplicates: u64,
    /// Requests that ran although their caller got the verdict not run.
    pub false_not_run: u64,
    /// Highest link utilization in any one-second window.
    pub link_use: f64,
    /// Highest share of all slots in use at once.
    pub slot_use: f64,
    /// Share of samples (per service, region and time) with all slots in use.
    pub full_share: f64,
    /// Longest time from the start of a target's drain to its last new request.
    pub drain_time: Duration,
    /// Seconds during which requests were counted.
    pub seconds: f64,
}

impl Stats {
    pub fn new() -> Self {
        let empty = || Histogram::new_with_max(MAX_LATENCY_MICROS, 3).expect("a valid range");
        Self {
            latency: [empty(), empty(), empty()],
            requests: [0; 3],
            not_run: [0; 3],
            uncertain: [0; 3],
            expired: [0; 3],
            late: [0; 3],
            target_attempts: 0,
            slot_overruns: 0,
            link_overruns: 0,
            duplicates: 0,
            false_not_run: 0,
            link_use: 0.0,
            slot_use: 0.0,
            full_share: 0.0,
            drain_time: Duration::ZERO,
            seconds: 0.0,
        }
    }

    /// Complete answers before the deadline, per second.
    pub fn goodput(&self) -> f64 {
        let answers: u64 = self.latency.iter().map(Histogram::len).sum();
        answers as f64 / self.seconds
    }

    /// Returns a percentile of a class's latency, in milliseconds.
    pub fn percentile(&self, class: Class, percentile: f64) -> f64 {
        let micros = self.latency[class as usize].value_at_percentile(percentile);
        micros as f64 / 1_000.0
    }

    /// Returns the p99 of a class's latency in milliseconds, where failures count
    /// as infinitely late.
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
