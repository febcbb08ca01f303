//! The queue of requests that wait for a permit.

use crate::PermitRequest;
use pimento_core::Time;

#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub request: PermitRequest,
    /// The latest start that still meets the objective.
    pub start_by: Time,
    /// When the request is refused if it has not started.
    pub refuse_at: Time,
}

/// Queued requests in order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue(pub Vec<QueuedRequest>);

/// The order in which queued requests are served: first those that can still
/// meet their objective, then by priority, then by the latest possible start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ServingOrder {
    late: bool,
    priority: u32,
    start_by: Time,
}

impl QueuedRequest {
    pub(crate) fn serving_order(&self, now: Time) -> ServingOrder {
        ServingOrder {
            late: now > self.start_by,
            priority: self.request.priority,
            start_by: self.start_by,
        }
    }
}

impl Queue {
    /// Counts the queued requests that would be served before a new one.
    pub(crate) fn count_ahead(&self, now: Time, queued: &QueuedRequest) -> usize {
        let order = queued.serving_order(now);
        let is_before = |q: &&QueuedRequest| q.serving_order(now) <= order;
        self.0.iter().filter(is_before).count()
    }
}
