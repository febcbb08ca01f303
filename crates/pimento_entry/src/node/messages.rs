//! What the listeners ask the node.

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

/// A target's announcement.
#[derive(Debug, Message)]
#[rtype(result = "AnnounceReply")]
pub(crate) struct Announce {
    pub(crate) report: Announcement,
}

/// Asks where a caller should send its requests.
#[derive(Debug, Message)]
#[rtype(result = "Option<LookupReply>")]
pub(crate) struct Lookup {
    pub(crate) service: ServiceId,
    pub(crate) block: IpAddr,
}

/// Asks where the next attempt of a request goes.
#[derive(Debug, Message)]
#[rtype(result = "Option<Routed>")]
pub(crate) struct Route {
    pub(crate) service: ServiceId,
    pub(crate) class: Class,
    pub(crate) origin: Origin,
    /// Entry VMs that earlier attempts used.
    pub(crate) tried: Vec<VmId>,
}

/// Where an attempt goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Routed {
    pub(crate) hop: Hop,
    /// How long the attempt takes at least.
    pub(crate) expected: Duration,
}

/// Tells how a request ended that was passed to another VM.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Settle {
    pub(crate) service: ServiceId,
    pub(crate) hop: Hop,
    pub(crate) outcome: Outcome,
}

impl Settle {
    /// A request that was passed on and of which nothing more is known yet.
    pub(crate) const fn unknown(service: ServiceId, hop: Hop) -> Self {
        let outcome = Outcome::Failed { bytes: 0 };
        Self {
            service,
            hop,
            outcome,
        }
    }
}

/// What a pull of the rules brought.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Pulled {
    pub(crate) push: Option<RulesPush>,
    /// Whether a quorum of control VMs confirmed it.
    pub(crate) confirmed: bool,
}

/// An operator drains a target.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub(crate) struct Drain {
    pub(crate) target: TargetId,
}

/// A planned stop begins: leases are handed over.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct BeginStop;

/// Asks for the state of this VM.
#[derive(Debug, Message)]
#[rtype(result = "NodeStatus")]
pub(crate) struct GetStatus;

/// The state of this VM.
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

/// Another entry VM of the failure domain.
#[derive(Debug, Serialize)]
pub(crate) struct PeerStatus {
    pub(crate) vm: VmId,
    pub(crate) state: &'static str,
    pub(crate) alive: bool,
    pub(crate) version: u64,
}

/// Another failure domain, as its newest summary says.
#[derive(Debug, Serialize)]
pub(crate) struct DomainStatus {
    pub(crate) domain: DomainId,
    pub(crate) region: Option<RegionId>,
    pub(crate) live: u32,
    pub(crate) total: u32,
    /// The lowest version in force among its live VMs.
    pub(crate) low: u64,
    /// The highest one.
    pub(crate) high: u64,
    pub(crate) age_ms: u64,
}

/// A target whose lease this VM holds.
#[derive(Debug, Serialize)]
pub(crate) struct TargetStatus {
    pub(crate) target: TargetId,
    pub(crate) service: ServiceId,
    pub(crate) address: SocketAddr,
    pub(crate) state: TargetState,
    /// Whether this VM may send to it; a new holder waits for the old lease.
    pub(crate) open: bool,
    pub(crate) slots: u32,
    pub(crate) used: u32,
    pub(crate) carried: u32,
    pub(crate) epoch: u64,
}
