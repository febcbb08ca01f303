//! Requests that wait for a place.

use crate::PermitRequest;
use pimento_core::Time;

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub request: PermitRequest,
    /// The last moment at which it can start and be answered in time.
    pub start_by: Time,
    /// When it is refused if it has not started.
    pub latest: Time,
}

/// Requests that wait, in the order in which they arrived.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue(pub Vec<Waiting>);

/// What comes first: requests that can still be answered in time, then by rank,
/// then the one that must start soonest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Turn {
    late: bool,
    priority: u32,
    start_by: Time,
}

impl Waiting {
    pub(crate) fn turn(&self, now: Time) -> Turn {
        Turn {
            late: now > self.start_by,
            priority: self.request.priority,
            start_by: self.start_by,
        }
    }
}

impl Queue {
    /// How many would start before a request.
    pub(crate) fn ahead(&self, now: Time, waiting: &Waiting) -> usize {
        let turn = waiting.turn(now);
        let before = |w: &&Waiting| w.turn(now) <= turn;
        self.0.iter().filter(before).count()
    }
}
