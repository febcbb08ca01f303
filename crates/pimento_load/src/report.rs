//! The report of a run.

use crate::{
    BrokenPromise,
    caller::{Callers, Service},
    tally::{Tally, new_histogram},
    target_counters::TargetFindings,
};
use hdrhistogram::Histogram;
use pimento_core::Verdict;
use pimento_standin::Counters;
use serde::Serialize;
use std::net::SocketAddr;

/// The results of a run. The field names are those of the JSON report.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Requests started.
    pub sent: u64,
    /// Requests not started because `--limit` requests were in flight.
    pub dropped: u64,
    /// Requests that got a complete response of their own.
    pub answered: u64,
    /// Answered requests whose response came after the deadline.
    pub late: u64,
    /// Requests whose last attempt got a failure response of the system.
    pub failed: u64,
    /// Requests whose last attempt got no complete response.
    pub unanswered: u64,
    /// Error responses of the targets themselves.
    pub errors: u64,
    /// Responses to a different request.
    pub wrong: u64,
    /// Attempts beyond the first of each request.
    pub resent: u64,
    /// Attempts that may have been sent and got no response.
    pub lost: u64,
    /// Attempts whose response ended early.
    pub truncated: u64,
    /// Attempts that could not connect.
    pub unreachable: u64,
    /// Failure responses of the system, by verdict.
    pub verdicts: Verdicts,
    /// Lookups made.
    pub lookups: u64,
    /// Lookups that no entry VM answered.
    pub unresolved: u64,
    /// Answered requests per second of the scheduled run time.
    pub throughput: f64,
    /// Latencies of answered requests, measured from the scheduled start.
    pub latencies: Vec<LatencyRow>,
    /// Failure responses of the system, by status, verdict and title.
    pub failures: Vec<FailureRow>,
    /// Attempts per entry VM.
    pub entries: Vec<EntryRow>,
    /// Counter changes of the stand-in targets.
    pub targets: Vec<TargetRow>,
    /// Targets whose counters could not be read.
    pub unread: u64,
    /// Runs of an idempotency key beyond its first, over all targets.
    pub duplicates: u64,
    /// Keys that ran although every attempt was reported as `not-run` or could
    /// not connect.
    pub denied: u64,
    /// Keys that were answered although no target ran them.
    pub unfounded: u64,
    /// The guarantees that the run found violated.
    pub broken: Vec<BrokenPromise>,
}

/// Failure responses of the system, by verdict.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Verdicts {
    /// The request did not run.
    pub not_run: u64,
    /// The request may have run.
    pub may_have_run: u64,
    /// The request ran.
    pub ran: u64,
    /// The failure response had no valid verdict.
    pub missing: u64,
}

/// Latencies of one service and class, in milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyRow {
    /// The service, or `all`.
    pub service: String,
    /// The class in the request header, or `-` without one.
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
    /// The maximum.
    pub max: f64,
}

/// A kind of failure response and its number.
#[derive(Clone, Debug, Serialize)]
pub struct FailureRow {
    /// The HTTP status.
    pub status: u16,
    /// The verdict, unless it was missing or malformed.
    pub verdict: Option<Verdict>,
    /// The title of the RFC 9457 problem body.
    pub title: String,
    /// Number of responses of this kind.
    pub count: u64,
}

/// Attempts sent to one entry VM.
#[derive(Clone, Debug, Serialize)]
pub struct EntryRow {
    /// The address that the attempts were sent to.
    pub entry: SocketAddr,
    /// Attempts, including failed connections.
    pub sent: u64,
    /// Attempts whose response was lost or truncated.
    pub lost: u64,
}

/// Counter changes of one stand-in target during the run.
#[derive(Clone, Debug, Serialize)]
pub struct TargetRow {
    /// The target's listening address.
    pub address: SocketAddr,
    /// Requests that started to run.
    pub runs: u64,
    /// Runs that started while every slot was in use.
    pub overruns: u64,
    /// Connections opened beyond the target's limit.
    pub excess: u64,
    /// Runs cancelled because the connection was closed.
    pub cancelled: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Maximum number of concurrent runs since the target started.
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
    pub(crate) fn new(callers: &Callers, tally: &Tally, findings: TargetFindings) -> Self {
        let (lookups, unresolved) = callers.lookup_counts();
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
            verdicts: verdict_counts(tally),
            lookups,
            unresolved,
            throughput: tally.answered as f64 / callers.args.seconds,
            latencies: latency_rows(tally, &callers.services),
            failures: failure_rows(tally),
            entries: entry_rows(tally),
            targets: findings.targets,
            unread: findings.unread,
            duplicates: findings.duplicates,
            denied: findings.denied,
            unfounded: findings.unfounded,
            broken: Vec::new(),
        };
        report.broken = BrokenPromise::find(&report, &callers.args);
        report
    }
}

fn verdict_counts(tally: &Tally) -> Verdicts {
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

fn latency_rows(tally: &Tally, services: &[Service]) -> Vec<LatencyRow> {
    let mut all = new_histogram();
    let mut rows = Vec::new();
    for ((service, class), latencies) in &tally.latencies {
        all.add(latencies).expect("histograms have the same bounds");
        let class = class.map_or("-", |class| class.as_str());
        rows.push(LatencyRow::new(&services[*service].name, class, latencies));
    }
    rows.push(LatencyRow::new("all", "-", &all));
    rows
}

impl LatencyRow {
    fn new(service: &str, class: &'static str, latencies: &Histogram<u64>) -> Self {
        const MICROS_PER_MILLI: f64 = 1_000.0;
        let quantile_ms =
            |quantile| latencies.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        Self {
            service: service.to_owned(),
            class,
            count: latencies.len(),
            p50: quantile_ms(0.5),
            p90: quantile_ms(0.9),
            p99: quantile_ms(0.99),
            p999: quantile_ms(0.999),
            max: latencies.max() as f64 / MICROS_PER_MILLI,
        }
    }
}

fn failure_rows(tally: &Tally) -> Vec<FailureRow> {
    let row = |(failure, count): &(crate::outcome::Failure, u64)| FailureRow {
        status: failure.status,
        verdict: failure.verdict,
        title: failure.title.clone(),
        count: *count,
    };
    tally.failures.iter().map(row).collect()
}

fn entry_rows(tally: &Tally) -> Vec<EntryRow> {
    let rows = tally.entries.iter().map(|(entry, counts)| EntryRow {
        entry: *entry,
        sent: counts.sent,
        lost: counts.lost,
    });
    rows.collect()
}
