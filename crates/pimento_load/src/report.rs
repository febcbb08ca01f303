//! What a run of the load tool found.

use crate::{
    BrokenPromise,
    caller::{Callers, Service},
    tally::{Tally, histogram},
    witness::Evidence,
};
use hdrhistogram::Histogram;
use pimento_core::Verdict;
use pimento_standin::Counters;
use serde::Serialize;
use std::net::SocketAddr;

/// What a run of the load tool found; printed as JSON it has these fields.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Requests begun.
    pub sent: u64,
    /// Requests not begun, because too many were in flight.
    pub dropped: u64,
    /// Requests that got the whole answer to themselves.
    pub answered: u64,
    /// Those of them that got it after their deadline.
    pub late: u64,
    /// Requests whose last attempt was a failure that the system reported.
    pub failed: u64,
    /// Requests whose last attempt got no answer.
    pub unanswered: u64,
    /// Answers that were an error of the target itself.
    pub errors: u64,
    /// Answers to something else than the request.
    pub wrong: u64,
    /// Attempts beyond the first.
    pub resent: u64,
    /// Attempts that were sent and got no answer.
    pub lost: u64,
    /// Attempts whose answer ended early.
    pub truncated: u64,
    /// Attempts that found no connection.
    pub unreachable: u64,
    /// Attempts that failed, by verdict.
    pub verdicts: Verdicts,
    /// Look-ups made.
    pub lookups: u64,
    /// Look-ups that no entry VM answered.
    pub unresolved: u64,
    /// Answered requests a second, over the time of sending.
    pub throughput: f64,
    /// Latencies of answered requests from their intended start.
    pub latencies: Vec<LatencyRow>,
    /// Failures of attempts.
    pub failures: Vec<FailureRow>,
    /// Attempts by entry VM.
    pub entries: Vec<EntryRow>,
    /// What the stand-in targets counted.
    pub targets: Vec<TargetRow>,
    /// Targets whose counts could not be read.
    pub unread: u64,
    /// Runs of a key beyond its first, over all targets.
    pub duplicates: u64,
    /// Keys that ran although every attempt was told `not-run`.
    pub denied: u64,
    /// Keys that were answered and ran nowhere.
    pub unfounded: u64,
    /// The promises that were broken.
    pub broken: Vec<BrokenPromise>,
}

/// Failed attempts by verdict.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Verdicts {
    /// The request was not run.
    pub not_run: u64,
    /// The request may have run.
    pub may_have_run: u64,
    /// The request ran.
    pub ran: u64,
    /// No verdict came with the failure.
    pub missing: u64,
}

/// Latencies of one service and class, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyRow {
    /// The service, or `all`.
    pub service: String,
    /// The class asked for, or `-`.
    pub class: &'static str,
    /// Answered requests.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

/// A kind of failure and how often it came.
#[derive(Clone, Debug, Serialize)]
pub struct FailureRow {
    /// The HTTP status.
    pub status: u16,
    /// The verdict, if there was one.
    pub verdict: Option<Verdict>,
    /// The title of the problem.
    pub title: String,
    /// How often it came.
    pub count: u64,
}

/// Attempts at an entry VM.
#[derive(Clone, Debug, Serialize)]
pub struct EntryRow {
    /// Its listener for callers.
    pub entry: SocketAddr,
    /// Attempts.
    pub sent: u64,
    /// Attempts whose answer was lost or cut short.
    pub lost: u64,
}

/// What a stand-in target counted during the run.
#[derive(Clone, Debug, Serialize)]
pub struct TargetRow {
    /// Its listener.
    pub address: SocketAddr,
    /// Requests run.
    pub runs: u64,
    /// Runs that began while every slot was taken.
    pub overruns: u64,
    /// Connections above those that it takes.
    pub excess: u64,
    /// Runs that their caller cancelled.
    pub cancelled: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// The most requests that ran at a time, since the target's start.
    pub peak: u32,
}

impl TargetRow {
    pub(crate) fn new(address: SocketAddr, before: &Counters, after: &Counters) -> Self {
        Self {
            address,
            runs: after.runs.saturating_sub(before.runs),
            overruns: after.overruns.saturating_sub(before.overruns),
            excess: after.excess.saturating_sub(before.excess),
            cancelled: after.cancelled.saturating_sub(before.cancelled),
            refused: after.refused.saturating_sub(before.refused),
            peak: after.peak,
        }
    }
}

impl Report {
    pub(crate) fn new(callers: &Callers, tally: &Tally, evidence: Evidence) -> Self {
        let (lookups, unresolved) = callers.lookups();
        let mut report = Self {
            sent: tally.sent,
            dropped: tally.dropped,
            answered: tally.answered,
            late: tally.late,
            failed: tally.failed,
            unanswered: tally.unanswered,
            errors: tally.errors,
            wrong: tally.wrong,
            resent: tally.resent,
            lost: tally.lost,
            truncated: tally.truncated,
            unreachable: tally.unreachable,
            verdicts: verdicts(tally),
            lookups,
            unresolved,
            throughput: tally.answered as f64 / callers.args.seconds,
            latencies: latencies(tally, &callers.services),
            failures: failures(tally),
            entries: entries(tally),
            targets: evidence.targets,
            unread: evidence.unread,
            duplicates: evidence.duplicates,
            denied: evidence.denied,
            unfounded: evidence.unfounded,
            broken: Vec::new(),
        };
        report.broken = BrokenPromise::find(&report, &callers.args);
        report
    }
}

fn verdicts(tally: &Tally) -> Verdicts {
    let mut verdicts = Verdicts::default();
    for (failure, count) in &tally.failures {
        let counter = match failure.verdict {
            Some(Verdict::NotRun) => &mut verdicts.not_run,
            Some(Verdict::MayHaveRun) => &mut verdicts.may_have_run,
            Some(Verdict::Ran) => &mut verdicts.ran,
            None => &mut verdicts.missing,
        };
        *counter += count;
    }
    verdicts
}

fn latencies(tally: &Tally, services: &[Service]) -> Vec<LatencyRow> {
    let mut all = histogram();
    let mut rows = Vec::new();
    for ((service, class), latencies) in &tally.rows {
        all.add(latencies).expect("the same bounds");
        let class = class.map_or("-", |class| class.as_str());
        rows.push(LatencyRow::new(&services[*service].name, class, latencies));
    }
    rows.push(LatencyRow::new("all", "-", &all));
    rows
}

impl LatencyRow {
    fn new(service: &str, class: &'static str, latencies: &Histogram<u64>) -> Self {
        /// Microseconds in a millisecond.
        const MILLI: f64 = 1_000.0;
        let at = |quantile| latencies.value_at_quantile(quantile) as f64 / MILLI;
        Self {
            service: service.to_owned(),
            class,
            count: latencies.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: latencies.max() as f64 / MILLI,
        }
    }
}

fn failures(tally: &Tally) -> Vec<FailureRow> {
    let row = |(failure, count): &(crate::outcome::Failure, u64)| FailureRow {
        status: failure.status,
        verdict: failure.verdict,
        title: failure.title.clone(),
        count: *count,
    };
    tally.failures.iter().map(row).collect()
}

fn entries(tally: &Tally) -> Vec<EntryRow> {
    let rows = tally.entries.iter().map(|(entry, counts)| EntryRow {
        entry: *entry,
        sent: counts.sent,
        lost: counts.lost,
    });
    rows.collect()
}
