//! The messages that listeners and background tasks send to the node.

use crate::callers::LookupReply;
use actix::prelude::*;
use pimento_core::{Class, DomainId, RegionId, ServiceId, TargetId, VmId};
use pimento_lease::{AnnounceReply, Announcement, TargetState};
use pimento_rules::RulesPush;
use pimento_steer::{Hop, Origin, Outcome};
use serde::Serialize;
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// An announcement of a target.
#[derive(Debug, Message)]
#[rtype(result = "AnnounceReply")]
pub(crate) struct Announce {
    pub(crate) announcement: Announcement,
}

/// Asks for the entry VMs that a caller should use.
#[derive(Debug, Message)]
#[rtype(result = "Option<LookupReply>")]
pub(crate) struct Lookup {
    pub(crate) service: ServiceId,
    pub(crate) block: IpAddr,
}

/// Asks for the route of a request's next attempt.
#[derive(Debug, Message)]
#[rtype(result = "Option<Routed>")]
pub(crate) struct Route {
    pub(crate) service: ServiceId,
    pub(crate) class: Class,
    pub(crate) origin: Origin,
    /// Entry VMs that earlier attempts have tried.
    pub(crate) tried_vms: Vec<VmId>,
}

/// The route of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Routed {
    pub(crate) hop: Hop,
    /// The expected latency of the attempt; zero if unknown.
    pub(crate) expected: Duration,
}

/// Reports the outcome of a request that was forwarded to another VM.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct RecordOutcome {
    pub(crate) service: ServiceId,
    pub(crate) hop: Hop,
    pub(crate) outcome: Outcome,
}

impl RecordOutcome {
    /// The initial state of a forwarded request, whose outcome is not known
    /// yet.
    pub(crate) const fn unknown(service: ServiceId, hop: Hop) -> Self {
        let outcome = Outcome::Failed { bytes: 0 };
        Self {
            service,
            hop,
            outcome,
        }
    }
}

/// Applies what a target said of itself, which the worker thread has recorded.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct ApplyNotice {
    pub(crate) target: TargetId,
}

/// Reports that another VM refused a request since all its targets pause.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct RecordPause {
    pub(crate) service: ServiceId,
    /// The VM's address for forwarded requests.
    pub(crate) vm: SocketAddr,
    /// How long the targets pause.
    pub(crate) left: Duration,
}

/// Whose targets are meant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PauseScope {
    /// Those whose leases this VM holds.
    ThisVm,
    /// Those of all VMs, as far as this VM knows.
    AllVms,
}

/// Asks how long no target of a service will be usable because of pauses.
#[derive(Debug, Message)]
#[rtype(result = "Option<Duration>")]
pub(crate) struct FirstPauseEnd {
    pub(crate) service: ServiceId,
    pub(crate) scope: PauseScope,
}

/// The result of a pull of the rules.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct RulesPulled {
    pub(crate) push: Option<RulesPush>,
    /// Whether a quorum of control VMs confirmed the rules.
    pub(crate) confirmed: bool,
}

/// An operator's command to drain a target.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct DrainTarget {
    pub(crate) target: TargetId,
}

/// Starts the graceful shutdown: the node releases its leases and leaves the
/// membership.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct BeginStop;

/// Asks for the status of this VM.
#[derive(Debug, Message)]
#[rtype(result = "NodeStatus")]
pub(crate) struct GetStatus;

/// The status of this VM.
#[derive(Debug, Serialize)]
pub(crate) struct NodeStatus {
    pub(crate) vm: VmId,
    pub(crate) region: RegionId,
    pub(crate) domain: DomainId,
    pub(crate) version: u64,
    pub(crate) stopping: bool,
    pub(crate) targets: Vec<TargetStatus>,
    /// The other entry VMs of the failure domain.
    pub(crate) vms: Vec<PeerStatus>,
    /// The other failure domains.
    pub(crate) domains: Vec<DomainStatus>,
}

/// The status of another entry VM of the failure domain.
#[derive(Debug, Serialize)]
pub(crate) struct PeerStatus {
    pub(crate) vm: VmId,
    pub(crate) state: &'static str,
    pub(crate) alive: bool,
    pub(crate) version: u64,
}

/// The newest known summary of another failure domain.
#[derive(Debug, Serialize)]
pub(crate) struct DomainStatus {
    pub(crate) domain: DomainId,
    pub(crate) region: Option<RegionId>,
    pub(crate) live: u32,
    pub(crate) total: u32,
    /// The lowest version of the rules in force on its live VMs.
    pub(crate) low: u64,
    /// The highest version of the rules in force on its live VMs.
    pub(crate) high: u64,
    pub(crate) age_ms: u64,
}

/// The status of a target whose lease this VM holds.
#[derive(Debug, Serialize)]
pub(crate) struct TargetStatus {
    pub(crate) target: TargetId,
    pub(crate) service: ServiceId,
    pub(crate) address: SocketAddr,
    pub(crate) state: TargetState,
    /// Whether this VM may send to it already; a new holder waits until the
    /// previous lease has expired.
    pub(crate) open: bool,
    pub(crate) slots: u32,
    pub(crate) used: u32,
    /// Slots that may still be in use by requests of former holders.
    pub(crate) carried: u32,
    pub(crate) epoch: u64,
}
