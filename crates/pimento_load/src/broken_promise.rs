//! The guarantees that a run of the load tool checks; reports call them
//! promises.

use crate::{Args, Report, report::TargetRow};
use serde::Serialize;
use std::fmt;

/// A violated guarantee of the system, with the number of violations.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "promise", content = "count")]
pub enum BrokenPromise {
    /// Runs of an idempotency key beyond its first.
    DuplicateRun(u64),
    /// Runs that started while all slots of their target were in use.
    SlotOverrun(u64),
    /// Connections beyond a target's connection limit.
    ConnectionOverrun(u64),
    /// Failure responses without a verdict header.
    MissingVerdict(u64),
    /// Requests that ran although every attempt was reported as `not-run` or
    /// could not connect.
    DeniedRun(u64),
    /// Requests that were answered although no target ran them.
    UnfoundedAnswer(u64),
    /// Responses whose body belongs to a different request.
    WrongAnswer(u64),
    /// Lost or truncated responses, if there were more than `--lost` allows.
    LostAnswer(u64),
    /// Requests without any response, if there were more than `--unanswered`
    /// allows.
    Unanswered(u64),
    /// Targets whose counters could not be read, so that the run proves nothing
    /// about them.
    UnreadTarget(u64),
}

impl BrokenPromise {
    /// All violations in a report; tolerated losses are not among them.
    pub(crate) fn find(report: &Report, args: &Args) -> Vec<Self> {
        let total_of = |count: fn(&TargetRow) -> u64| report.targets.iter().map(count).sum();
        let count_if_over = |count: u64, allowed: u64| if count > allowed { count } else { 0 };
        let checks = [
            (report.duplicates, Self::DuplicateRun as fn(u64) -> Self),
            (total_of(|t| t.overruns), Self::SlotOverrun),
            (total_of(|t| t.excess), Self::ConnectionOverrun),
            (report.verdicts.missing, Self::MissingVerdict),
            (report.denied, Self::DeniedRun),
            (report.unfounded, Self::UnfoundedAnswer),
            (report.wrong, Self::WrongAnswer),
            (
                count_if_over(report.lost + report.truncated, args.lost),
                Self::LostAnswer,
            ),
            (
                count_if_over(report.unanswered, args.unanswered),
                Self::Unanswered,
            ),
            (report.unread, Self::UnreadTarget),
        ];
        let violated = checks.into_iter().filter(|(count, _)| *count > 0);
        violated.map(|(count, variant)| variant(count)).collect()
    }
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (description, count) = match self {
            Self::DuplicateRun(n) => ("duplicate runs of an idempotency key", n),
            Self::SlotOverrun(n) => ("runs beyond a target's slots", n),
            Self::ConnectionOverrun(n) => ("connections beyond a target's limit", n),
            Self::MissingVerdict(n) => ("failures without a verdict", n),
            Self::DeniedRun(n) => ("runs that were reported to the caller as not-run", n),
            Self::UnfoundedAnswer(n) => ("responses without a run at any target", n),
            Self::WrongAnswer(n) => ("responses to a different request", n),
            Self::LostAnswer(n) => ("lost or truncated responses", n),
            Self::Unanswered(n) => ("requests without any response", n),
            Self::UnreadTarget(n) => ("targets whose counters could not be read", n),
        };
        write!(f, "{description}: {count}")
    }
}
