//! The promises that a run of the load tool checks.

use crate::{Args, Report, report::TargetRow};
use serde::Serialize;
use std::fmt;

/// A promise of the system that was broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "promise", content = "count")]
pub enum BrokenPromise {
    /// A key ran more than once.
    DuplicateRun(u64),
    /// A target ran more requests than it has slots.
    SlotOverrun(u64),
    /// A target got more connections than it takes.
    ConnectionOverrun(u64),
    /// A failure came without its verdict.
    MissingVerdict(u64),
    /// A request ran although its caller was told that it did not.
    DeniedRun(u64),
    /// A request was answered and ran nowhere.
    UnfoundedAnswer(u64),
    /// An answer was not the one to the request.
    WrongAnswer(u64),
    /// More answers were lost or cut short than allowed.
    LostAnswer(u64),
    /// More requests stayed without any answer than allowed.
    Unanswered(u64),
    /// The counts of a target could not be read, so nothing is proved.
    UnreadTarget(u64),
}

impl BrokenPromise {
    /// The promises that a run found broken.
    pub(crate) fn find(report: &Report, args: &Args) -> Vec<Self> {
        let total = |count: fn(&TargetRow) -> u64| report.targets.iter().map(count).sum();
        let over = |count: u64, allowed: u64| if count > allowed { count } else { 0 };
        let checks = [
            (report.duplicates, Self::DuplicateRun as fn(u64) -> Self),
            (total(|t| t.overruns), Self::SlotOverrun),
            (total(|t| t.excess), Self::ConnectionOverrun),
            (report.verdicts.missing, Self::MissingVerdict),
            (report.denied, Self::DeniedRun),
            (report.unfounded, Self::UnfoundedAnswer),
            (report.wrong, Self::WrongAnswer),
            (
                over(report.lost + report.truncated, args.lost),
                Self::LostAnswer,
            ),
            (over(report.unanswered, args.unanswered), Self::Unanswered),
            (report.unread, Self::UnreadTarget),
        ];
        let broken = checks.into_iter().filter(|(count, _)| *count > 0);
        broken.map(|(count, promise)| promise(count)).collect()
    }
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (what, count) = match self {
            Self::DuplicateRun(n) => ("repeated runs of a key", n),
            Self::SlotOverrun(n) => ("runs above a target's slots", n),
            Self::ConnectionOverrun(n) => ("connections above what a target takes", n),
            Self::MissingVerdict(n) => ("failures without a verdict", n),
            Self::DeniedRun(n) => ("runs that their caller was told did not happen", n),
            Self::UnfoundedAnswer(n) => ("answers without a run", n),
            Self::WrongAnswer(n) => ("answers to something else", n),
            Self::LostAnswer(n) => ("answers lost or cut short", n),
            Self::Unanswered(n) => ("requests without any answer", n),
            Self::UnreadTarget(n) => ("targets whose counts could not be read", n),
        };
        write!(f, "{what}: {count}")
    }
}
