//! What goes into admission and what comes out.

use pimento_core::prelude::*;
use pimento_lease::TargetState;
use pimento_rules::Queue;

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Request {
    /// The number of the request, unique in this process.
    pub id: u64,
    /// The service that it is for.
    pub service: ServiceId,
    /// The tenant that it belongs to.
    pub tenant: TenantId,
    /// Its class.
    pub class: Class,
    /// The time by which its answer must have ended.
    pub deadline: Time,
    /// The service's rule for its queue.
    pub queue: Queue,
    /// Targets that already had an attempt of this request.
    pub avoid: Vec<TargetId>,
    /// The share of the slots, in percent, that the request may not take, for
    /// one that another region passed on; none for the region's own.
    pub reserve: Option<u8>,
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Completion {
    /// The target answered.
    Ok {
        /// From the start to the end of the answer.
        latency: Duration,
    },
    /// The target refused the request before running it, and said so.
    Shed,
    /// No connection could be opened, so nothing was sent. The target is left
    /// alone for a moment: it fails faster than others answer, and would draw
    /// ever more requests.
    Unreachable,
    /// The connection failed, or the target answered with a fault of its own.
    Failed,
    /// Nothing came in time; the target may still be running the request, so
    /// its slot stays in use until the deadline.
    TimedOut,
    /// The request was abandoned and its connection closed.
    Cancelled,
}

/// Why a request was refused. A refused request never reached a target, so
/// each reason means [`Verdict::NotRun`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No usable target that the request has not tried is held here.
    NoTarget,
    /// The queue is full and holds nothing that ranks lower.
    QueueFull,
    /// The request waited, or would wait, longer than the rule allows.
    QueueWait,
    /// The request can't finish before its deadline.
    Deadline,
    /// The request came from another region, and what is left is reserved for
    /// this one.
    Reserve,
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
        }
    }

    /// Whether a request ran that was refused for this reason.
    pub const fn verdict(self) -> Verdict {
        Verdict::NotRun
    }
}

/// What the caller of admission must do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send the request to the target now; end it with
    /// [`Admission::finish`](crate::Admission::finish).
    Start {
        /// The request.
        id: u64,
        /// The target that gave it a slot.
        target: TargetId,
    },
    /// Answer that the request was not run.
    Refuse {
        /// The request.
        id: u64,
        /// Why.
        reason: RefusalReason,
    },
}

/// A target's own count of what it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// The requests that it runs.
    pub load: u32,
    /// When the report was received.
    pub received_at: Time,
}

/// What is known of a target whose lease is held.
#[derive(Clone, Debug)]
pub struct TargetView {
    /// The name of the target.
    pub target: TargetId,
    /// The service that it serves.
    pub service: ServiceId,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// The connections that it accepts.
    pub connections: u32,
    /// Whether it takes work.
    pub state: TargetState,
    /// Its newest report, if any.
    pub report: Option<LoadReport>,
    /// Slots that requests of an earlier lease holder may still use.
    pub inherited: u32,
}

/// What a service's held targets can still take.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Headroom {
    /// The slots that are offered.
    pub slots: u32,
    /// The offered slots that are not in use.
    pub free: u32,
    /// The requests that wait.
    pub queued: u32,
    /// The mean time that a request takes at a target, in microseconds; zero
    /// if none was measured.
    pub latency_us: u64,
}
