//! What the listeners ask the node.

#![expect(dead_code, reason = "a single VM routes nothing to others")]

use crate::callers::LookupReply;
use actix::prelude::*;
use pimento_core::{DomainId, RegionId, ServiceId, TargetId, VmId};
use pimento_lease::{AnnounceReply, Announcement, TargetState};
use pimento_rules::Rules;
use serde::Serialize;
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
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
    pub(crate) block: Option<IpAddr>,
}

/// Asks where the next attempt of a request goes.
#[derive(Debug, Message)]
#[rtype(result = "Option<Hop>")]
pub(crate) struct Route {
    pub(crate) service: ServiceId,
    /// Entry VMs that earlier attempts used.
    pub(crate) tried: Vec<VmId>,
    /// Whether this VM's own targets may be used.
    pub(crate) local: bool,
}

/// The next hop of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Hop {
    /// A target whose lease this VM holds.
    Local,
    /// Another entry VM.
    Vm { vm: VmId, forwards: SocketAddr },
}

/// New rules are in force.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct SetRules {
    pub(crate) rules: Arc<Rules>,
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
}

/// A target whose lease this VM holds.
#[derive(Debug, Serialize)]
pub(crate) struct TargetStatus {
    pub(crate) target: TargetId,
    pub(crate) service: ServiceId,
    pub(crate) address: SocketAddr,
    pub(crate) state: TargetState,
    pub(crate) slots: u32,
    pub(crate) used: u32,
    pub(crate) carried: u32,
    pub(crate) epoch: u64,
}
