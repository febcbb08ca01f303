//! Permit requests, the broker's decisions and the reports on finished
//! requests.

use pimento_core::Time;
use pimento_notices::TargetNotice;
use std::{sync::Arc, time::Duration};

/// Identifies a permit request across all processes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId {
    /// The process that sent the request, as the number drawn at its start.
    pub process: u64,
    /// The request's sequence number within that process.
    pub serial: u64,
}

/// Asks for a permit to run one request on a target of a shard.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// Makes resubmissions of the same request idempotent.
    pub id: RequestId,
    /// The name of the service to run the request.
    pub service: Arc<str>,
    /// The failure domain whose targets may run the request.
    pub domain: Arc<str>,
    /// The index of the shard within the service's targets of that domain.
    pub shard: u32,
    /// The affinity key: targets answer faster if they have recently run a
    /// request with the same key.
    pub affinity: Option<u64>,
    /// Whether requests with this affinity key try this failure domain first.
    pub preferred: bool,
    /// The standby rank of this VM: how many VMs would own the shard before
    /// this one if they were not suspected.
    pub standby: u32,
    /// The priority class; 0 is the most urgent.
    pub priority: u32,
    /// The time by which the response should arrive for full value.
    pub objective: Time,
    /// The time after which a response has no value.
    pub deadline: Time,
    /// How long a request that can no longer meet its objective may wait before
    /// it is refused. After a longer wait, a refusal would harm its caller.
    pub max_wait: Duration,
    /// The targets that the request was already sent to; they are not used
    /// again.
    pub tried: Vec<Arc<str>>,
}

/// The broker's decision on a permit request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request holds a permit on a target until it is released.
    Grant {
        /// The permit request.
        id: RequestId,
        /// The target to send the request to.
        target: Arc<str>,
    },
    /// No target can run the request in time.
    Refuse {
        /// The permit request.
        id: RequestId,
        /// When another attempt may succeed.
        wait: ExpectedWait,
    },
}

/// An estimate of how long it takes until a permit becomes available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExpectedWait {
    /// Estimated from the queue and the mean run time.
    For(Duration),
    /// The free slots are kept for affinity keys that the targets are warm for;
    /// they may be given to others then.
    Foreign(Duration),
    /// All usable targets want no requests; the first of these pauses ends then.
    Paused(Duration),
    /// No target is usable, so there is no estimate.
    Unknown,
}

/// How a request that held a permit ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The target answered without a server error.
    Answered,
    /// The target refused the request without running it.
    Shed,
    /// The target answered with a server error or not in time.
    Failed,
    /// The connection broke or the response was malformed.
    Broken,
    /// The request could not be sent to the target.
    Unreachable,
    /// A different target answers at the address.
    Replaced,
    /// The caller disconnected, or the request was never sent.
    Cancelled,
}

/// What the sender of a request reports when it releases the permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestReport {
    /// How the request ended.
    pub outcome: RequestOutcome,
    /// The time from sending the request to its outcome.
    pub took: Duration,
    /// The requests running and queued at the target, as the target reported.
    pub load: Option<(u32, u32)>,
    /// How much longer the target stays cold, if it reported that.
    pub cold: Option<Duration>,
    /// What the target has said of itself, as the sender of the request knows it.
    pub notice: TargetNotice,
}

impl RequestReport {
    /// Releases the permit without any information about the target.
    pub const CANCELLED: Self = Self {
        outcome: RequestOutcome::Cancelled,
        took: Duration::ZERO,
        load: None,
        cold: None,
        notice: TargetNotice::NONE,
    };
}
