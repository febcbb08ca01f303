//! The actor that owns the decision cores of an entry VM.

mod admission;
mod draining;
mod leasing;
mod membership;
mod messages;
mod pausing;
mod routing;
mod rules;
mod status;

pub(crate) use messages::{
    Announce, ApplyNotice, BeginStop, DomainStatus, DrainTarget, FirstPauseEnd, GetStatus, Lookup,
    NodeStatus, PauseScope, PeerStatus, RecordOutcome, RecordPause, Route, Routed, RulesPulled,
    TargetStatus,
};

use crate::{
    notices::Notices,
    permit::{Grant, Refusal},
};
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
use rules::RulesState;
use std::{sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// Interval between ticks of admission.
const ADMISSION_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between ticks of the leases.
const LEASE_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between ticks of membership, the view of steering and the rules.
const MEMBER_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The channels whose messages the node receives.
const SUBSCRIBED_CHANNELS: [Channel; 4] = [
    Channel::Members,
    Channel::Lease,
    Channel::Rules,
    Channel::Drain,
];

/// The id of a request that waits for a permit, and where its result goes.
type Waiter = (u64, oneshot::Sender<Result<Grant, Refusal>>);

/// Owns the decision cores of an entry VM.
///
/// The cores do no I/O and read no clock. This actor passes time and messages
/// to them and executes the effects that they return.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    clock: Clock,
    links: Links,
    log: Logger,
    control: ControlClient,
    self_addr: Addr<Self>,
    /// The rules in force, shared with the listeners.
    rules: Arc<ArcSwap<Rules>>,
    follower: Follower,
    rules_state: RulesState,
    /// Background tasks that fetch or apply newer rules.
    tasks: rules::Tasks,
    next_poll: Time,
    block_table: Arc<BlockTable>,
    leases: Leases,
    admission: Admission,
    members: Members,
    steering: Steering,
    /// Sorted by request id.
    waiters: Vec<Waiter>,
    /// Sorted by target.
    drains: Vec<draining::RememberedDrain>,
    /// What targets said of themselves, shared with the worker threads.
    notices: Arc<Notices>,
    pauses: pausing::ToldPauses,
    stopping: bool,
}

/// The dependencies of a [`Node`].
#[derive(Debug)]
pub(crate) struct NodeParts {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) log: Logger,
    pub(crate) control: ControlClient,
    pub(crate) rules: Arc<ArcSwap<Rules>>,
    pub(crate) notices: Arc<Notices>,
    /// Start of this process, in milliseconds since the Unix epoch.
    pub(crate) incarnation: u64,
}

impl Node {
    pub(crate) fn new(parts: NodeParts, self_addr: Addr<Self>) -> Self {
        let settings = parts.settings;
        let incarnation = parts.incarnation;
        let now = parts.clock.now();
        let listener = settings.listen.targets.unwrap_or(settings.listen.operators);
        let lease_config = LeaseConfig::new(settings.vm.clone(), listener, incarnation);
        let info = membership::member_info(&settings, incarnation);
        let member_config = Config::new(info, settings.seeds.clone());
        let location = Location {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
        };
        Self {
            clock: parts.clock,
            links: parts.links,
            log: parts.log,
            control: parts.control,
            self_addr,
            rules: parts.rules,
            follower: Follower::default(),
            rules_state: RulesState::Starting { since: now },
            tasks: rules::Tasks::default(),
            next_poll: now,
            block_table: Arc::default(),
            leases: Leases::new(lease_config),
            admission: Admission::new(AdmissionConfig::default(), incarnation),
            members: Members::new(member_config, now, incarnation),
            steering: Steering::new(SteeringConfig::default(), location, incarnation),
            waiters: Vec::new(),
            drains: Vec::new(),
            notices: parts.notices,
            pauses: pausing::ToldPauses::default(),
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
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        ctx.run_interval(ADMISSION_TICK_INTERVAL, |node, _| node.tick_admission());
        ctx.run_interval(LEASE_TICK_INTERVAL, |node, _| {
            node.tick_leases();
            node.notices.forget_ended();
        });
        ctx.run_interval(MEMBER_TICK_INTERVAL, |node, _| {
            node.tick_members();
            node.update_view();
            node.tick_rules();
        });
        for channel in SUBSCRIBED_CHANNELS {
            self.links.subscribe(channel, ctx.address().recipient());
        }
    }
}

/// Capacity of the actor's mailbox; requests that don't fit fail as not run.
const MAILBOX_CAPACITY: usize = 16_384;
