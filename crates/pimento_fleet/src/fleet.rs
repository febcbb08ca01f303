//! The pure core.

use crate::{
    Effect, FleetConfig, Stage,
    asks::Asks,
    board::RoutableTargets,
    effect::OutgoingMessage,
    members::Members,
    message::{Body, DonePlace},
    news::Confirmed,
    parts::Assembly,
    shards::Shards,
    spread::Spread,
    suspects::Suspects,
};
use pimento_broker::Broker;
use pimento_core::Time;
use pimento_items::{Catalog, RouteTable};
use pimento_registry::{Registry, Target};
use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

/// How often a process shows that it lives.
const BEAT: Duration = Duration::from_millis(500);
/// How often a process asks that does not know enough to serve.
const FIRST_BEATS: Duration = Duration::from_millis(100);

/// A place that a request of this process has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldPlace {
    /// The number of the ask.
    pub serial: u64,
    /// The process that granted it; none for this one.
    pub granter: Option<SocketAddr>,
}

/// The processes of the system as one of them knows them, and what spreads
/// between them.
///
/// Every operation takes the time first and returns what the shell must do.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) config: FleetConfig,
    pub(crate) members: Members,
    pub(crate) registry: Registry,
    pub(crate) catalog: Arc<Catalog>,
    /// The routes of the catalog.
    pub(crate) routes: Arc<RouteTable>,
    /// How the targets of the registry are divided.
    pub(crate) shards: Shards,
    /// The targets of the registry that may get requests.
    pub(crate) routable: Arc<RoutableTargets>,
    pub(crate) broker: Broker,
    pub(crate) spread: Spread,
    /// News that followers are told of with the next tick.
    pub(crate) untold: Vec<Target>,
    pub(crate) asks: Asks,
    pub(crate) assembly: Assembly,
    pub(crate) suspects: Suspects,
    /// The places that requests of this process have.
    pub(crate) held: Vec<HeldPlace>,
    /// The last places given back, by who granted them.
    pub(crate) returned: Vec<(SocketAddr, VecDeque<DonePlace>)>,
    /// Where asking processes are reached, the newest last.
    pub(crate) askers: Vec<(u64, SocketAddr)>,
    /// Whether the targets were once those of a control VM.
    pub(crate) level: bool,
    /// The digest of the newest roster.
    pub(crate) roster: u64,
    /// Reports that are known wherever they must be.
    pub(crate) confirmed: VecDeque<Confirmed>,
    next_beat: Time,
    /// When this control VM last got newer items.
    pub(crate) changed: Time,
    /// Counts the control VMs that were asked in turn.
    pub(crate) turn: usize,
    /// The share of this VM's link that requests take, in percent.
    pub(crate) load: u32,
}

impl Fleet {
    /// A process that knows nothing but its settings.
    pub fn new(config: FleetConfig) -> Self {
        Self {
            config,
            members: Members::default(),
            registry: Registry::default(),
            catalog: Arc::default(),
            routes: Arc::default(),
            shards: Shards::default(),
            routable: Arc::default(),
            broker: Broker::default(),
            spread: Spread::default(),
            untold: Vec::new(),
            asks: Asks::default(),
            assembly: Assembly::default(),
            suspects: Suspects::default(),
            held: Vec::new(),
            returned: Vec::new(),
            askers: Vec::new(),
            level: false,
            roster: 0,
            confirmed: VecDeque::new(),
            next_beat: Time::ZERO,
            changed: Time::ZERO,
            turn: 0,
            load: 0,
        }
    }

    /// Lets time pass; call it each few tens of milliseconds.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now >= self.next_beat {
            let starting = self.config.local.stage == Stage::Starting as i32;
            self.next_beat = now + if starting { FIRST_BEATS } else { BEAT };
            self.members.forget(now);
            self.registry.expire_ended(now);
            effects.extend(self.beats(now));
            effects.extend(self.become_ready());
        }
        self.suspects.forget(now);
        self.excuse_lost(now);
        effects.extend(self.settle_news());
        let news = self.spread.due(now);
        effects.extend(news.into_iter().map(|(to, body)| send(to, body)));
        effects.extend(self.tell_followers(now));
        effects.extend(self.chase(now));
        if self.broker.needs_tick(now) {
            let decided = self.broker.tick(now);
            effects.extend(self.broker_effects(decided));
        }
        effects
    }

    /// The processes that were heard lately.
    pub(crate) fn alive(&self, now: Time) -> impl Iterator<Item = &crate::Node> {
        self.members.heard(now, self.config.failure_timeout)
    }
}

pub(crate) const fn send(to: SocketAddr, body: Body) -> Effect {
    let message = OutgoingMessage(body);
    Effect::Send { to, message }
}
