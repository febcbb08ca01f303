//! The actor that owns the decision cores of an entry VM.

mod admission;
mod leasing;
mod messages;
mod routing;
mod status;

pub(crate) use messages::{
    Announce, BeginStop, Drain, GetStatus, Hop, Lookup, NodeStatus, Route, SetRules, TargetStatus,
};

use crate::permit::{Grant, Refusal};
use actix::prelude::*;
use pimento_admit::{Admit, AdmitConfig};
use pimento_core::{Clock, Time};
use pimento_lease::{Candidate, LeaseConfig, Leases};
use pimento_link::Links;
use pimento_log::Logger;
use pimento_rules::Rules;
use pimento_settings::Settings;
use std::{sync::Arc, time::Duration};
use tokio::sync::oneshot;

/// The time between two looks at queues and slots.
const ADMIT_TICK: Duration = Duration::from_millis(10);

/// The time between two looks at leases.
const LEASE_TICK: Duration = Duration::from_millis(100);

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
    rules: Arc<Rules>,
    leases: Leases,
    admit: Admit,
    /// Ascending by request.
    waiters: Vec<Waiter>,
    stopping: bool,
}

/// What a [`Node`] is made of.
#[derive(Debug)]
pub(crate) struct NodeParts {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) links: Links,
    pub(crate) log: Logger,
    /// The start of the process, in milliseconds since the Unix epoch.
    pub(crate) instance: u64,
}

impl Node {
    pub(crate) fn new(parts: NodeParts) -> Self {
        let listen = &parts.settings.listen;
        let listener = listen.targets.unwrap_or(listen.operators);
        let config = LeaseConfig::new(parts.settings.vm.clone(), listener, parts.instance);
        Self {
            clock: parts.clock,
            links: parts.links,
            log: parts.log,
            rules: Arc::default(),
            leases: Leases::new(config),
            admit: Admit::new(AdmitConfig::default(), parts.instance),
            waiters: Vec::new(),
            stopping: false,
            settings: parts.settings,
        }
    }

    /// The entry VMs of the failure domain that seem alive.
    fn live(&self) -> Vec<Candidate> {
        let listen = &self.settings.listen;
        let listener = listen.targets.unwrap_or(listen.operators);
        vec![Candidate {
            vm: self.settings.vm.clone(),
            listener,
        }]
    }

    fn now(&self) -> Time {
        self.clock.now()
    }
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(ADMIT_TICK, |node, _| node.tick_admission());
        ctx.run_interval(LEASE_TICK, |node, _| node.tick_leases());
    }
}

impl Handler<SetRules> for Node {
    type Result = ();

    fn handle(&mut self, msg: SetRules, _ctx: &mut Self::Context) {
        self.rules = msg.rules;
    }
}
