//! The text form of the report.

use crate::Report;
use std::fmt;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_counts(f)?;
        self.write_latencies(f)?;
        self.write_failures(f)?;
        self.write_targets(f)?;
        if self.broken.is_empty() {
            return writeln!(f, "no promise was broken");
        }
        for promise in &self.broken {
            writeln!(f, "BROKEN: {promise}")?;
        }
        Ok(())
    }
}

impl Report {
    fn write_counts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "requests: {} sent, {} answered ({} late), {} failed, {} without response, {} dropped",
            self.sent, self.answered, self.late, self.failed, self.unanswered, self.dropped
        )?;
        writeln!(
            f,
            "attempts: {} resent, {} lost, {} truncated, {} unreachable, {} wrong, {} target errors",
            self.resent, self.lost, self.truncated, self.unreachable, self.wrong, self.errors
        )?;
        let verdicts = &self.verdicts;
        writeln!(
            f,
            "verdicts: {} not-run, {} may-have-run, {} ran, {} missing",
            verdicts.not_run, verdicts.may_have_run, verdicts.ran, verdicts.missing
        )?;
        writeln!(
            f,
            "lookups: {}, {} of them unanswered; {:.1} answers/s",
            self.lookups, self.unresolved, self.throughput
        )
    }

    fn write_latencies(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<20} {:<10} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "service", "class", "answers", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms"
        )?;
        for row in &self.latencies {
            writeln!(
                f,
                "{:<20} {:<10} {:>8} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2}",
                row.service, row.class, row.count, row.p50, row.p90, row.p99, row.p999, row.max
            )?;
        }
        writeln!(f)
    }

    fn write_failures(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.failures {
            let verdict = row.verdict.map_or("no verdict", |verdict| verdict.as_str());
            let (count, status, title) = (row.count, row.status, &row.title);
            writeln!(f, "failure: {count} times {status} {title} ({verdict})")?;
        }
        for row in &self.entries {
            let (entry, sent, lost) = (row.entry, row.sent, row.lost);
            writeln!(
                f,
                "entry VM {entry}: {sent} attempts, {lost} responses lost"
            )?;
        }
        Ok(())
    }

    fn write_targets(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.targets {
            writeln!(
                f,
                "target {}: {} runs, {} overruns, {} cancelled, {} refused, {} concurrent at most",
                row.address, row.runs, row.overruns, row.cancelled, row.refused, row.peak
            )?;
        }
        if !self.targets.is_empty() {
            writeln!(f, "idempotency keys: {} duplicate runs", self.duplicates)?;
        }
        Ok(())
    }
}
