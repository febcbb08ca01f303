//! The core of the fleet, without I/O.

use crate::{
    Effect, FleetConfig, Stage,
    applied::AppliedRevisions,
    broadcast::UpdateBroadcast,
    crash_reports::CrashReports,
    effect::OutgoingMessage,
    fragments::Reassembly,
    item_parts::{ItemRanges, PartialSets},
    members::Members,
    message::{Body, ReleasedPermit},
    pending_requests::PendingRequests,
    propagation::ConfirmedReport,
    routable::RoutableTargets,
    settling::Settling,
    shards::ShardMap,
    suspects::Suspects,
};
use pimento_broker::Broker;
use pimento_core::Time;
use pimento_items::{Catalog, RouteTable};
use pimento_poison::{Fingerprint, Judge, RecentAnswers, Verdict};
use pimento_registry::{Registry, Target};
use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

/// How often a process sends heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How often a process sends heartbeats while it lacks the state to serve.
const STARTUP_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// A permit that a request of this process holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldPermit {
    /// The serial number of the request.
    pub serial: u64,
    /// The shard owner that granted it; `None` if that is this process.
    pub owner: Option<SocketAddr>,
}

/// The state that one process has of all others, of items and of targets, and
/// the protocol that keeps it up to date.
///
/// Every operation takes the current time and returns the effects that the
/// caller must carry out.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) config: FleetConfig,
    pub(crate) members: Members,
    pub(crate) registry: Registry,
    pub(crate) catalog: Arc<Catalog>,
    /// The sets of items of which some parts have arrived.
    pub(crate) partial_items: PartialSets,
    /// The sets of items that have arrived before those that precede them.
    pub(crate) item_ranges: ItemRanges,
    /// Whether items were merged since the routing table was built.
    pub(crate) items_merged: bool,
    /// The routing table built from the catalog.
    pub(crate) routes: Arc<RouteTable>,
    /// The control VM that sent the newest items to this entry VM.
    pub(crate) items_sender: Option<SocketAddr>,
    /// The control VMs that sent items since the revision was last reported.
    pub(crate) items_senders: Vec<SocketAddr>,
    /// How the targets of the registry are split into shards.
    pub(crate) shards: ShardMap,
    /// The targets of the registry that may receive requests.
    pub(crate) routable: Arc<RoutableTargets>,
    pub(crate) broker: Broker,
    pub(crate) broadcast: UpdateBroadcast,
    /// Target updates that are sent to followers with the next tick.
    pub(crate) pending_updates: Vec<Target>,
    pub(crate) requests: PendingRequests,
    pub(crate) reassembly: Reassembly,
    pub(crate) suspects: Suspects,
    /// The permits that requests of this process hold.
    pub(crate) permits: Vec<HeldPermit>,
    /// The most recent releases, by the shard owner that granted the permits.
    pub(crate) releases: Vec<(SocketAddr, VecDeque<ReleasedPermit>)>,
    /// The addresses of requesting processes by incarnation, newest last.
    pub(crate) requesters: Vec<(u64, SocketAddr)>,
    /// Whether the targets were synchronized with a control VM at least once.
    pub(crate) in_sync: bool,
    /// The digest of the newest member list.
    pub(crate) list_digest: u64,
    /// Whether the list of live entry VMs is complete.
    pub(crate) settling: Settling,
    /// Reports that were acknowledged by all processes that must have them.
    pub(crate) confirmed: VecDeque<ConfirmedReport>,
    next_heartbeat: Time,
    /// The number of the newest heartbeat.
    pub(crate) heartbeat_sequence: u64,
    /// Which requests crash targets.
    pub(crate) judge: Judge,
    /// The verdicts of `judge` that requests must be compared with.
    pub(crate) open_verdicts: Arc<[(Fingerprint, Verdict)]>,
    pub(crate) crash_reports: CrashReports,
    /// The requests of this process that targets have answered lately.
    pub(crate) recent_answers: RecentAnswers,
    /// When this control VM applied its newest revisions of items.
    pub(crate) applied: AppliedRevisions,
    /// Counts the round-robin choices of a control VM.
    pub(crate) rotation: usize,
    /// The share of this VM's link bandwidth that requests use, in percent.
    pub(crate) load: u32,
}

impl Fleet {
    /// Creates a process that has only its settings, and no items, targets or
    /// members yet.
    pub fn new(config: FleetConfig) -> Self {
        Self {
            config,
            members: Members::default(),
            registry: Registry::default(),
            catalog: Arc::default(),
            partial_items: PartialSets::default(),
            item_ranges: ItemRanges::default(),
            items_merged: false,
            routes: Arc::default(),
            items_sender: None,
            items_senders: Vec::new(),
            shards: ShardMap::default(),
            routable: Arc::default(),
            broker: Broker::default(),
            broadcast: UpdateBroadcast::default(),
            pending_updates: Vec::new(),
            requests: PendingRequests::default(),
            reassembly: Reassembly::default(),
            suspects: Suspects::default(),
            permits: Vec::new(),
            releases: Vec::new(),
            requesters: Vec::new(),
            in_sync: false,
            list_digest: 0,
            settling: Settling::default(),
            confirmed: VecDeque::new(),
            next_heartbeat: Time::ZERO,
            heartbeat_sequence: 0,
            judge: Judge::default(),
            open_verdicts: Arc::default(),
            crash_reports: CrashReports::default(),
            recent_answers: RecentAnswers::default(),
            applied: AppliedRevisions::default(),
            rotation: 0,
            load: 0,
        }
    }

    /// Advances the time. It must be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.settling.record_tick(now, self.config.failure_timeout);
        if now >= self.next_heartbeat {
            let starting = self.config.local.stage == Stage::Starting as i32;
            self.next_heartbeat = now
                + if starting {
                    STARTUP_HEARTBEAT_INTERVAL
                } else {
                    HEARTBEAT_INTERVAL
                };
            self.members.expire(now);
            self.registry.expire_gone(now);
            effects.extend(self.expire_poison(now));
            effects.extend(self.heartbeats(now));
            effects.extend(self.update_readiness());
        }
        if self.items_merged {
            effects.extend(self.apply_items(now));
        }
        effects.extend(self.report_revision());
        effects.extend(self.resend_items(now));
        self.suspects.expire(now);
        self.drop_dead_recipients(now);
        effects.extend(self.confirm_updates(now));
        let updates = self.broadcast.take_due(now);
        effects.extend(updates.into_iter().map(|(to, body)| send(to, body)));
        effects.extend(self.flush_updates(now));
        effects.extend(self.retransmit_requests(now));
        effects.extend(self.tick_poison(now));
        if self.broker.needs_tick(now) {
            let decisions = self.broker.tick(now);
            effects.extend(self.deliver_decisions(decisions));
        }
        effects
    }

    /// The control VM that sent the newest items to this entry VM.
    pub const fn items_sender(&self) -> Option<SocketAddr> {
        self.items_sender
    }

    /// Whether a process was heard within the failure timeout.
    pub(crate) fn is_live(&self, now: Time, address: &SocketAddr) -> bool {
        let timeout = self.config.failure_timeout;
        self.members.is_heard_within(now, address, timeout)
    }

    /// The processes that were heard within the failure timeout.
    pub(crate) fn live_nodes(&self, now: Time) -> impl Iterator<Item = &crate::Node> {
        self.members.heard_within(now, self.config.failure_timeout)
    }
}

pub(crate) const fn send(to: SocketAddr, body: Body) -> Effect {
    let message = OutgoingMessage(body);
    Effect::Send { to, message }
}
