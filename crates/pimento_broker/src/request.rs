//! What a broker is asked and what it answers.

use pimento_core::Time;
use std::{sync::Arc, time::Duration};

/// The number of an ask: the asking process and its own count.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId {
    /// The process that asks.
    pub process: u64,
    /// Its count.
    pub serial: u64,
}

/// A request that needs a place.
#[derive(Clone, Debug)]
pub struct PermitRequest {
    /// The number.
    pub id: RequestId,
    /// The service.
    pub service: Arc<str>,
    /// The failure domain whose targets are meant.
    pub domain: Arc<str>,
    /// The shard of the targets there.
    pub shard: u32,
    /// What the request is about, where a target that has seen it is faster.
    pub affinity: Option<u64>,
    /// Whether other requests about the same come to this failure domain first.
    pub preferred: bool,
    /// How many VMs would grant this place in front of this one if they were
    /// not taken for lost.
    pub standby: u32,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
    /// When the answer should be there to be worth most.
    pub objective: Time,
    /// When an answer is worth nothing any more.
    pub deadline: Time,
    /// The longest wait that may end in a refusal without harm.
    pub max_wait: Duration,
    /// The targets that the request was sent to before.
    pub tried: Vec<Arc<str>>,
}

/// What the broker decided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// A place on a target is the request's until it is done.
    Grant {
        /// The ask.
        id: RequestId,
        /// The target.
        target: Arc<str>,
    },
    /// There is no place in time.
    Refuse {
        /// The ask.
        id: RequestId,
        /// How long until there may be one.
        wait: ExpectedWait,
    },
}

/// How long until there may be a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExpectedWait {
    /// About so long.
    For(Duration),
    /// No target can be used.
    Unknown,
}

/// How a request that had a place ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The target answered.
    Answered,
    /// The target refused it before running it.
    Shed,
    /// The target failed it.
    Failed,
    /// The target broke off.
    Broken,
    /// The target could not be reached.
    Unreachable,
    /// Another target has the address.
    Replaced,
    /// The caller left, or the request was not sent after all.
    Cancelled,
}

/// What is known once a request is done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestReport {
    /// How it ended.
    pub outcome: RequestOutcome,
    /// The time from sending to the answer.
    pub took: Duration,
    /// The requests that run and that wait at the target, by its own account.
    pub load: Option<(u32, u32)>,
    /// How long the target stays cold, if it said so.
    pub cold: Option<Duration>,
}

impl RequestReport {
    /// Nothing is known but that the place is not used any more.
    pub const CANCELLED: Self = Self {
        outcome: RequestOutcome::Cancelled,
        took: Duration::ZERO,
        load: None,
        cold: None,
    };
}
