//! The actor that owns the decision cores of an entry VM.

mod admission;
mod draining;
mod leasing;
mod membership;
mod messages;
mod routing;
mod rules;
mod status;

pub(crate) use messages::{
    Announce, BeginStop, DomainStatus, Drain, GetStatus, Lookup, NodeStatus, PeerStatus, Pulled,
    Route, Routed, Settle, TargetStatus,
};

use crate::permit::{Grant, Refusal};
use actix::prelude::*;
use arc_swap::ArcSwap;
use pimento_admit::{Admission, AdmissionConfig};
use pimento_control::ControlClient;
use pimento_core::{Clock, Time};
use pimento_lease::{LeaseConfig, Leases};
use pimento_link::{Channel, Links};
use pimento_log::Logger;
use pimento_members::{Config, Members};
use pimento_rules::{Follower, Rules};
use pimento_settings::Settings;
use pimento_steer::{BlockTable, Location, Steering, SteeringConfig};
use rules::Sync;
use std::{sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// The time between two looks at queues and slots.
const ADMIT_TICK: Duration = Duration::from_millis(10);

/// The time between two looks at leases.
const LEASE_TICK: Duration = Duration::from_millis(100);

/// The time between two looks at membership.
const MEMBER_TICK: Duration = Duration::from_millis(100);

/// The channels whose messages are for the node.
const CHANNELS: [Channel; 4] = [
    Channel::Members,
    Channel::Lease,
    Channel::Rules,
    Channel::Drain,
];

/// A request that waits for a slot.
type Waiter = (u64, oneshot::Sender<Result<Grant, Refusal>>);

/// The decision cores of an entry VM.
///
/// The cores are pure; this actor hands them the time and messages, and carries
/// out their effects.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    clock: Clock,
    links: Links,
    log: Logger,
    control: ControlClient,
    me: Addr<Self>,
    /// The rules in force, which the listeners read.
    rules: Arc<ArcSwap<Rules>>,
    follower: Follower,
    sync: Sync,
    /// What is under way to newer rules.
    work: rules::Work,
    next_ask: Time,
    table: Arc<BlockTable>,
    leases: Leases,
    admit: Admission,
    members: Members,
    steer: Steering,
    /// Ascending by request.
    waiters: Vec<Waiter>,
    /// Ascending by target.
    drains: Vec<draining::Drained>,
    stopping: bool,
}

/// What a [`Node`] is made of.
#[derive(Debug)]
pub(crate) struct NodeParts {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) log: Logger,
    pub(crate) control: ControlClient,
    pub(crate) rules: Arc<ArcSwap<Rules>>,
    /// The start of the process, in milliseconds since the Unix epoch.
    pub(crate) instance: u64,
}

impl Node {
    pub(crate) fn new(parts: NodeParts, me: Addr<Self>) -> Self {
        let settings = parts.settings;
        let instance = parts.instance;
        let now = parts.clock.now();
        let listener = settings.listen.targets.unwrap_or(settings.listen.operators);
        let lease = LeaseConfig::new(settings.vm.clone(), listener, instance);
        let info = membership::info(&settings, instance);
        let member = Config::new(info, settings.seeds.clone());
        let home = Location {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
        };
        Self {
            clock: parts.clock,
            links: parts.links,
            log: parts.log,
            control: parts.control,
            me,
            rules: parts.rules,
            follower: Follower::default(),
            sync: Sync::Starting { since: now },
            work: rules::Work::default(),
            next_ask: now,
            table: Arc::default(),
            leases: Leases::new(lease),
            admit: Admission::new(AdmissionConfig::default(), instance),
            members: Members::new(member, now, instance),
            steer: Steering::new(SteeringConfig::default(), home, instance),
            waiters: Vec::new(),
            drains: Vec::new(),
            stopping: false,
            settings,
        }
    }

    fn now(&self) -> Time {
        self.clock.now()
    }
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX);
        ctx.run_interval(ADMIT_TICK, |node, _| node.tick_admission());
        ctx.run_interval(LEASE_TICK, |node, _| node.tick_leases());
        ctx.run_interval(MEMBER_TICK, |node, _| {
            node.tick_members();
            node.tick_view();
            node.tick_rules();
        });
        for channel in CHANNELS {
            self.links.subscribe(channel, ctx.address().recipient());
        }
    }
}

/// The messages that may wait for the actor; requests beyond them fail as not
/// run.
const MAILBOX: usize = 16_384;
