//! The actor that drives the fleet core with datagrams and timers.

use crate::{
    Effect, Fleet, FleetConfig, PermitDecision, RefusalReason, SharedView, Stage,
    effect::OutgoingMessage, message::PermitRequestMessage, unsent::UnsentDatagrams,
};
use actix::prelude::*;
use bytes::Bytes;
use pimento_core::{Clock, Time};
use pimento_items::Catalog;
use pimento_log::{Event, Logger, event};
use pimento_poison::{Decision, Verdict};
use pimento_registry::Target;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::UdpSocket, sync::oneshot};

/// How often the core is ticked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The size of the receive buffer: the largest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// The capacity of the mailbox, in messages.
const MAILBOX_CAPACITY: usize = 4_096;

/// The UDP socket of the fleet could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("can't receive datagrams at {address}: {source}")]
pub struct StartError {
    /// The address that the socket should have been bound to.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub source: std::io::Error,
}

/// The actor that drives the fleet core with datagrams and timers.
#[derive(Debug)]
pub struct FleetActor {
    pub(crate) fleet: Fleet,
    socket: Arc<UdpSocket>,
    shared: SharedView,
    log: Logger,
    clock: Clock,
    /// The id of the last message that was sent.
    last_message: u64,
    view_changed: bool,
    /// Requests that wait for a decision on their permit, by serial number.
    waiting_requests: Vec<(u64, oneshot::Sender<PermitDecision>)>,
    /// Reports that wait for confirmation, by the id of the update.
    waiting_reports: Vec<(u64, oneshot::Sender<()>)>,
    /// The readiness that was logged last.
    logged_ready: bool,
    /// The revision of items that was logged last.
    logged_revision: u64,
    unsent: UnsentDatagrams,
}

impl FleetActor {
    /// Opens the socket and starts the actor on the current arbiter.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if the socket can't be opened.
    pub fn start(
        config: FleetConfig,
        bind: SocketAddr,
        shared: SharedView,
        log: Logger,
    ) -> Result<Addr<Self>, StartError> {
        let open_socket = || {
            let socket = std::net::UdpSocket::bind(bind)?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        };
        let socket = open_socket().map_err(|source| StartError {
            address: bind,
            source,
        })?;
        let actor = Self {
            fleet: Fleet::new(config),
            socket: Arc::new(socket),
            shared,
            log,
            clock: Clock::start(),
            last_message: 0,
            view_changed: false,
            waiting_requests: Vec::new(),
            waiting_reports: Vec::new(),
            logged_ready: false,
            logged_revision: 0,
            unsent: UnsentDatagrams::default(),
        };
        Ok(Actor::start(actor))
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(to, message),
                Effect::Decided { serial, decision } => self.deliver_decision(serial, decision),
                Effect::Confirmed { update_id } => self.confirm_report(update_id),
                Effect::Suspected(address) => {
                    event!(self.log, Event::VmSuspected, "vm_address" => %address);
                }
                Effect::Lagging {
                    vm,
                    revision,
                    newest,
                    lost_heartbeats,
                } => {
                    event!(self.log, Event::VmLagging, "vm_address" => %vm,
                        "revision" => revision, "newest" => newest,
                        "lost_heartbeats" => lost_heartbeats);
                }
                Effect::Ruled(decision) => self.log_ruling(&decision),
                Effect::ViewChanged => self.view_changed = true,
            }
        }
        if std::mem::take(&mut self.view_changed) {
            self.publish_view();
        }
    }

    fn send(&mut self, to: SocketAddr, message: OutgoingMessage) {
        self.last_message += 1;
        for datagram in message.into_datagrams(self.last_message) {
            // If the send buffer is full the rest of the message is dropped.
            // The protocol tolerates lost datagrams.
            if let Err(e) = self.socket.try_send_to(&datagram, to) {
                self.unsent.record(&e);
                return;
            }
        }
    }

    /// Logs the datagrams that could not be sent, at most once a second.
    fn log_unsent(&mut self) {
        if let Some((count, cause)) = self.unsent.take_due(self.now()) {
            event!(self.log, Event::DatagramsDropped, "count" => count, "cause" => %cause);
        }
    }

    fn deliver_decision(&mut self, serial: u64, decision: PermitDecision) {
        let Some(index) = self.waiting_requests.iter().position(|(s, _)| *s == serial) else {
            return;
        };
        // If the request is gone, its `ReleasePermit` returns the permit.
        drop(self.waiting_requests.swap_remove(index).1.send(decision));
    }

    /// Logs a verdict, but for requests that met a single crash: a loss of power is
    /// met by many.
    fn log_ruling(&self, decision: &Decision) {
        let ruling = &decision.ruling;
        let is_refusal = ruling.verdict == Verdict::Refused || decision.was_refused;
        if !is_refusal && decision.crashes.is_none_or(|n| n < 2) {
            return;
        }
        event!(self.log, Event::RequestRuled, "request" => %ruling.request,
            "verdict" => ruling.verdict.name(), "version" => ruling.version,
            "age_ms" => ruling.age.as_millis() as u64, "crashes" => decision.crashes);
    }

    fn confirm_report(&mut self, update_id: u64) {
        for (_, sender) in self
            .waiting_reports
            .extract_if(.., |(id, _)| *id == update_id)
        {
            // The receiver is gone if the report timed out; the target then
            // reports to another VM.
            sender.send(()).unwrap_or_default();
        }
    }

    fn publish_view(&mut self) {
        let view = self.fleet.view();
        if view.ready != self.logged_ready {
            self.logged_ready = view.ready;
            let (targets, revision) = (view.targets.all().len(), view.catalog.revision());
            event!(self.log, Event::ReadyChanged, "ready" => view.ready,
                "targets" => targets, "revision" => revision, "vms" => view.entry_count);
        }
        if view.catalog.revision() != self.logged_revision {
            self.logged_revision = view.catalog.revision();
            let from = self.fleet.items_sender().map(|from| from.to_string());
            event!(self.log, Event::RulesApplied, "revision" => self.logged_revision,
                "from" => from);
        }
        self.shared.store(Arc::new(view));
    }
}

impl Actor for FleetActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        ctx.run_interval(TICK_INTERVAL, |actor, _| {
            let effects = actor.fleet.tick(actor.now());
            actor.apply_effects(effects);
            actor.log_unsent();
        });
        let (socket, addr) = (Arc::clone(&self.socket), ctx.address());
        actix_rt::spawn(receive_datagrams(socket, addr));
    }
}

/// Forwards datagrams to the actor until it stops.
async fn receive_datagrams(socket: Arc<UdpSocket>, addr: Addr<FleetActor>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while addr.connected() {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let payload = Bytes::copy_from_slice(&buffer[..length]);
                addr.do_send(Datagram { from, payload });
            }
            // An ICMP error: the receiver of an earlier datagram refused it.
            Err(_) => tokio::task::yield_now().await,
        }
    }
}

#[derive(Message)]
#[rtype(result = "()")]
struct Datagram {
    from: SocketAddr,
    payload: Bytes,
}

impl Handler<Datagram> for FleetActor {
    type Result = ();

    fn handle(&mut self, msg: Datagram, _: &mut Context<Self>) {
        let effects = self.fleet.receive(self.now(), msg.from, msg.payload);
        self.apply_effects(effects);
    }
}

/// Requests a permit for a target.
#[derive(Debug, Message)]
#[rtype(result = "PermitDecision")]
pub struct AcquirePermit {
    /// A serial number that is unique in this process.
    pub serial: u64,
    /// The name of the service.
    pub service: Arc<str>,
    /// The failure domain of the shard.
    pub domain: Arc<str>,
    /// The index of the shard within the service's targets of that domain.
    pub shard: u32,
    /// The hash of the affinity key.
    pub affinity: Option<u64>,
    /// Whether this failure domain is the preferred one of the affinity key.
    pub preferred: bool,
    /// The priority class; 0 is the most urgent.
    pub priority: u32,
    /// The time left until the latency objective, in milliseconds; negative
    /// once it has passed.
    pub objective_ms: i64,
    /// The time left until the deadline.
    pub deadline: Duration,
    /// How long a request that can no longer meet its objective may wait before
    /// it is refused.
    pub max_wait: Duration,
    /// The targets that the request was already sent to.
    pub tried: Vec<Arc<str>>,
}

impl Handler<AcquirePermit> for FleetActor {
    type Result = ResponseFuture<PermitDecision>;

    fn handle(&mut self, msg: AcquirePermit, _: &mut Context<Self>) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.waiting_requests.push((msg.serial, sender));
        let effects = self.fleet.request_permit(self.now(), &msg);
        self.apply_effects(effects);
        Box::pin(async move {
            let unreachable = PermitDecision::Refuse(RefusalReason::Unreachable);
            receiver.await.unwrap_or(unreachable)
        })
    }
}

impl AcquirePermit {
    pub(crate) fn to_message(&self, process: u64) -> PermitRequestMessage {
        PermitRequestMessage {
            process,
            serial: self.serial,
            service: self.service.to_string(),
            domain: self.domain.to_string(),
            shard: self.shard,
            affinity: self.affinity,
            preferred: self.preferred,
            priority: self.priority,
            objective_ms: self.objective_ms,
            deadline_ms: self.deadline.as_millis() as u64,
            wait_ms: self.max_wait.as_millis() as u64,
            tried: self.tried.iter().map(ToString::to_string).collect(),
            attempt: 1,
        }
    }
}

/// Releases a permit, or withdraws a permit request.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ReleasePermit {
    /// The serial number of the permit request.
    pub serial: u64,
    /// What the request observed at the target.
    pub report: RequestReport,
}

/// What a request that held a permit observed.
pub type RequestReport = pimento_broker::RequestReport;

impl Handler<ReleasePermit> for FleetActor {
    type Result = ();

    fn handle(&mut self, msg: ReleasePermit, _: &mut Context<Self>) {
        self.waiting_requests
            .retain(|(serial, _)| *serial != msg.serial);
        let effects = self
            .fleet
            .release_permit(self.now(), msg.serial, &msg.report);
        self.apply_effects(effects);
    }
}

/// A target's report of its own state. The response says whether the report may
/// be acknowledged.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub enum TargetReport {
    /// The current state of an incarnation.
    State(Target),
    /// The end of an incarnation.
    Leave {
        /// The name of the target.
        id: String,
        /// The incarnation that ends, if the target named it.
        incarnation: Option<u64>,
    },
}

/// The longest that a report waits for confirmation. It is below the second
/// after which a target retries at another VM.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);

impl Handler<TargetReport> for FleetActor {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, msg: TargetReport, _: &mut Context<Self>) -> Self::Result {
        let now = self.now();
        let (update_id, effects) = match &msg {
            TargetReport::State(target) => self.fleet.report_target(now, target),
            TargetReport::Leave { id, incarnation } => self.fleet.end_target(now, id, *incarnation),
        };
        let pending = update_id.map(|update_id| {
            let (sender, receiver) = oneshot::channel();
            self.waiting_reports.push((update_id, sender));
            receiver
        });
        self.apply_effects(effects);
        Box::pin(async move {
            let Some(pending) = pending else { return true };
            let result = tokio::time::timeout(REPORT_TIMEOUT, pending).await;
            matches!(result, Ok(Ok(())))
        })
    }
}

/// Replaces the items by those that this control VM has applied.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetCatalog(pub Arc<Catalog>);

impl Handler<SetCatalog> for FleetActor {
    type Result = ();

    fn handle(&mut self, msg: SetCatalog, _: &mut Context<Self>) {
        let effects = self.fleet.set_catalog(self.now(), msg.0);
        self.apply_effects(effects);
    }
}

/// Changes the lifecycle stage or the seed addresses of this process.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum UpdateProcess {
    /// The new lifecycle stage.
    Stage(Stage),
    /// The addresses of control VMs, from reloaded settings.
    Seeds(Vec<SocketAddr>),
}

impl Handler<UpdateProcess> for FleetActor {
    type Result = ();

    fn handle(&mut self, msg: UpdateProcess, _: &mut Context<Self>) {
        match msg {
            UpdateProcess::Stage(stage) => {
                let effects = self.fleet.set_stage(self.now(), stage);
                self.apply_effects(effects);
            }
            UpdateProcess::Seeds(seeds) => self.fleet.set_seeds(seeds),
        }
    }
}

/// Sets the share of this VM's link bandwidth that requests use, in percent.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetLoad(pub u32);

impl Handler<SetLoad> for FleetActor {
    type Result = ();

    fn handle(&mut self, msg: SetLoad, _: &mut Context<Self>) {
        self.fleet.set_load(msg.0);
    }
}

/// Returns the addresses of the entry VMs that callers in a failure domain
/// should use.
#[derive(Debug, Message)]
#[rtype(result = "Vec<SocketAddr>")]
pub struct GetEntries(pub String);

impl Handler<GetEntries> for FleetActor {
    type Result = MessageResult<GetEntries>;

    fn handle(&mut self, msg: GetEntries, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.fleet.entry_addresses(self.now(), &msg.0))
    }
}
