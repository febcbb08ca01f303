//! The revisions of items that a control VM applied recently.

use pimento_core::Time;
use std::{collections::VecDeque, time::Duration};

/// Revisions applied within this time are recorded as one, by the earliest time.
const MERGE_INTERVAL: Duration = Duration::from_millis(50);
/// How long revisions are kept apart. Older ones count as one.
const MEMORY: Duration = Duration::from_secs(2);

/// When a control VM applied its most recent revisions of items.
///
/// Whether a process lags follows from the age of the oldest change that it
/// lacks, which no further change can postpone.
#[derive(Clone, Debug, Default)]
pub(crate) struct AppliedRevisions(VecDeque<(Time, u64)>);

impl AppliedRevisions {
    pub(crate) fn record(&mut self, now: Time, revision: u64) {
        while self.0.get(1).is_some_and(|(at, _)| now.since(*at) > MEMORY) {
            self.0.pop_front();
        }
        match self.0.back_mut() {
            Some((at, last)) if now.since(*at) < MERGE_INTERVAL => *last = revision,
            _ => self.0.push_back((now, revision)),
        }
    }

    /// The newest revision that was applied at least `age` ago; 0 if there is
    /// none.
    pub(crate) fn at_least(&self, now: Time, age: Duration) -> u64 {
        let old = |(at, _): &&(Time, u64)| now.since(*at) >= age;
        self.0.iter().rev().find(old).map_or(0, |(_, r)| *r)
    }
}
