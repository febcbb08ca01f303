//! The inputs and outputs of admission control.

use pimento_core::prelude::*;
use pimento_lease::TargetState;
use pimento_rules::Queue;

/// A request that needs a slot at a target.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request number, unique in this process.
    pub id: u64,
    /// The service that the request is for.
    pub service: ServiceId,
    /// The tenant that sent the request.
    pub tenant: TenantId,
    /// The priority class; it decides the order in the queue.
    pub class: Class,
    /// The time by which the response must be complete.
    pub deadline: Time,
    /// The service's queue settings.
    pub queue: Queue,
    /// Targets that already failed an attempt of this request and are not used
    /// again.
    pub tried: Vec<TargetId>,
    /// The percentage of slots that is reserved for this region's own requests.
    /// Set only for a request that another region forwarded.
    pub reserve: Option<u8>,
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The target sent a complete response.
    Ok {
        /// The time from the start of the request to the end of the response.
        latency: Duration,
    },
    /// The target refused the request before running it, and said so.
    Shed,
    /// The target refused the request before running it and asked for a pause,
    /// which [`TargetView::paused_until`] passes on. That is no fault, so it
    /// changes neither the target's limit nor its health.
    Paused,
    /// No connection could be opened, so nothing was sent. The target is paused
    /// for a short time: it fails faster than other targets respond, and would
    /// otherwise attract ever more requests.
    Unreachable,
    /// The connection failed, or the target responded with an error of its own.
    Failed,
    /// No response arrived in time. The target may still be running the
    /// request, so its slot stays in use until the deadline.
    TimedOut,
    /// The request was abandoned and its connection closed.
    Cancelled,
}

/// Why a request was refused. A refused request never reached a target, so
/// every reason implies [`Verdict::NotRun`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// This VM holds no usable target that the request has not tried yet.
    NoTarget,
    /// The queue is full and contains no request of lower rank that could be
    /// evicted.
    QueueFull,
    /// The request waited, or would wait, longer than the service's queue
    /// settings allow.
    QueueWait,
    /// The request can't finish before its deadline.
    Deadline,
    /// The request came from another region, and the remaining slots are
    /// reserved for this region.
    Reserve,
    /// All targets that could serve the request want no requests for a while.
    Paused {
        /// When the first pause ends.
        until: Time,
    },
}

impl RefusalReason {
    /// The name of the reason in error bodies and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoTarget => "no-target",
            Self::QueueFull => "queue-full",
            Self::QueueWait => "queue-wait",
            Self::Deadline => "deadline",
            Self::Reserve => "reserve",
            Self::Paused { .. } => "paused",
        }
    }

    /// Whether the refused request may have run: never.
    pub const fn verdict(self) -> Verdict {
        Verdict::NotRun
    }
}

/// An action that the caller of [`Admission`](crate::Admission) must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send the request to the target now, and report its end with
    /// [`Admission::finish`](crate::Admission::finish).
    Start {
        /// The number of the request.
        id: u64,
        /// The target whose slot the request uses.
        target: TargetId,
    },
    /// Respond that the request was not run.
    Refuse {
        /// The number of the request.
        id: u64,
        /// Why the request was refused.
        reason: RefusalReason,
    },
}

/// A target's own count of the requests that it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// The number of running requests.
    pub load: u32,
    /// When this VM received the report.
    pub received_at: Time,
}

/// The state of a target whose lease this VM holds.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// The name of the target.
    pub target: TargetId,
    /// The service that the target runs.
    pub service: ServiceId,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// The number of connections that the target accepts.
    pub connections: u32,
    /// Whether the target accepts requests.
    pub state: TargetState,
    /// The newest load report, if there is one.
    pub report: Option<LoadReport>,
    /// Slots that may still be in use by requests of a previous lease holder.
    pub inherited: u32,
    /// The target wants no requests before this time.
    pub paused_until: Time,
}

/// The remaining capacity of a service's targets whose leases are held.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Headroom {
    /// The number of offered slots.
    pub slots: u32,
    /// The number of offered slots that are not in use.
    pub free: u32,
    /// The number of queued requests.
    pub queued: u32,
    /// The mean latency of requests at the targets, in microseconds; zero if
    /// there are no samples.
    pub latency_us: u64,
}
