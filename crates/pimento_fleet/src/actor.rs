//! The actor that carries datagrams and time to and from the core.

use crate::{
    Effect, Fleet, FleetConfig, PermitDecision, RefusalReason, SharedView, Stage,
    effect::OutgoingMessage, message::AskMessage,
};
use actix::prelude::*;
use bytes::Bytes;
use pimento_core::{Clock, Time};
use pimento_items::Catalog;
use pimento_log::{Event, Logger, event};
use pimento_registry::Target;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{net::UdpSocket, sync::oneshot};

/// How often the core is told the time.
const TICK: Duration = Duration::from_millis(50);
/// The largest datagram, in bytes.
const DATAGRAM: usize = 65_536;
/// The messages that may wait for the actor.
const MAILBOX: usize = 4_096;

/// The socket of the fleet can't be used.
#[derive(Debug, thiserror::Error)]
#[error("can't take datagrams at {address}: {source}")]
pub struct StartError {
    /// The address.
    pub address: SocketAddr,
    /// What the system said.
    pub source: std::io::Error,
}

/// The actor that carries datagrams and time to and from the core.
#[derive(Debug)]
pub struct FleetActor {
    fleet: Fleet,
    socket: Arc<UdpSocket>,
    shared: SharedView,
    log: Logger,
    clock: Clock,
    messages: u64,
    changed: bool,
    /// Requests that wait for a decision.
    asking: Vec<(u64, oneshot::Sender<PermitDecision>)>,
    /// Reports that wait to be known.
    reporting: Vec<(u64, oneshot::Sender<()>)>,
    /// Whether the process served when its state was last logged.
    ready: bool,
    /// The revision of items that was logged last.
    revision: u64,
}

impl FleetActor {
    /// Begins to take datagrams on the current arbiter.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if the socket can't be used.
    pub fn start(
        config: FleetConfig,
        bind: SocketAddr,
        shared: SharedView,
        log: Logger,
    ) -> Result<Addr<Self>, StartError> {
        let open = || {
            let socket = std::net::UdpSocket::bind(bind)?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        };
        let socket = open().map_err(|source| StartError {
            address: bind,
            source,
        })?;
        let actor = Self {
            fleet: Fleet::new(config),
            socket: Arc::new(socket),
            shared,
            log,
            clock: Clock::start(),
            messages: 0,
            changed: false,
            asking: Vec::new(),
            reporting: Vec::new(),
            ready: false,
            revision: 0,
        };
        Ok(Actor::start(actor))
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn run(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(to, message),
                Effect::Decided { serial, decision } => self.decide(serial, decision),
                Effect::Confirmed { update_id } => self.acknowledge(update_id),
                Effect::Suspected(vm) => {
                    event!(self.log, Event::VmSuspected, "vm_address" => %vm);
                }
                Effect::ViewChanged => self.changed = true,
            }
        }
        if std::mem::take(&mut self.changed) {
            self.publish();
        }
    }

    fn send(&mut self, to: SocketAddr, message: OutgoingMessage) {
        self.messages += 1;
        for datagram in message.into_datagrams(self.messages) {
            // A datagram that the system can't take now is lost like others.
            if self.socket.try_send_to(&datagram, to).is_err() {
                return;
            }
        }
    }

    fn decide(&mut self, serial: u64, decision: PermitDecision) {
        let Some(at) = self.asking.iter().position(|(s, _)| *s == serial) else {
            return;
        };
        // A request that has gone gives its place back by itself.
        drop(self.asking.swap_remove(at).1.send(decision));
    }

    fn acknowledge(&mut self, update_id: u64) {
        for (_, done) in self.reporting.extract_if(.., |(t, _)| *t == update_id) {
            // A target that no longer waits asks another VM.
            done.send(()).unwrap_or_default();
        }
    }

    fn publish(&mut self) {
        let view = self.fleet.view();
        if view.ready != self.ready {
            self.ready = view.ready;
            let (targets, revision) = (view.targets.all().len(), view.catalog.revision());
            event!(self.log, Event::ReadyChanged, "ready" => view.ready,
                "targets" => targets, "revision" => revision, "vms" => view.entry_count);
        }
        if view.catalog.revision() != self.revision {
            self.revision = view.catalog.revision();
            event!(self.log, Event::RulesApplied, "revision" => self.revision);
        }
        self.shared.store(Arc::new(view));
    }
}

impl Actor for FleetActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.set_mailbox_capacity(MAILBOX);
        ctx.run_interval(TICK, |actor, _| {
            let effects = actor.fleet.tick(actor.now());
            actor.run(effects);
        });
        let (socket, addr) = (Arc::clone(&self.socket), ctx.address());
        actix_rt::spawn(receive(socket, addr));
    }
}

/// Hands datagrams to the actor for as long as it lives.
async fn receive(socket: Arc<UdpSocket>, addr: Addr<FleetActor>) {
    let mut buffer = vec![0; DATAGRAM];
    while addr.connected() {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => {
                let payload = Bytes::copy_from_slice(&buffer[..length]);
                addr.do_send(Datagram { from, payload });
            }
            // An earlier datagram was refused by its receiver.
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
        self.run(effects);
    }
}

/// Asks for a place on a target.
#[derive(Debug, Message)]
#[rtype(result = "PermitDecision")]
pub struct AcquirePermit {
    /// A number that this process never used before.
    pub serial: u64,
    /// The service.
    pub service: Arc<str>,
    /// The failure domain whose targets are meant.
    pub domain: Arc<str>,
    /// The shard of the targets there.
    pub shard: u32,
    /// What the request is about.
    pub affinity: Option<u64>,
    /// Whether other requests about the same come to this failure domain first.
    pub preferred: bool,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
    /// The time left until the objective, in milliseconds.
    pub objective_ms: i64,
    /// The time left until the deadline.
    pub deadline: Duration,
    /// The longest wait that may end in a refusal.
    pub max_wait: Duration,
    /// The targets that the request was sent to before.
    pub tried: Vec<Arc<str>>,
}

impl Handler<AcquirePermit> for FleetActor {
    type Result = ResponseFuture<PermitDecision>;

    fn handle(&mut self, msg: AcquirePermit, _: &mut Context<Self>) -> Self::Result {
        let (sender, receiver) = oneshot::channel();
        self.asking.push((msg.serial, sender));
        let effects = self.fleet.ask(self.now(), &msg);
        self.run(effects);
        Box::pin(async move {
            let unreachable = PermitDecision::Refuse(RefusalReason::Unreachable);
            receiver.await.unwrap_or(unreachable)
        })
    }
}

impl AcquirePermit {
    pub(crate) fn message(&self, process: u64) -> AskMessage {
        AskMessage {
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
            max_wait_ms: self.max_wait.as_millis() as u64,
            tried: self.tried.iter().map(ToString::to_string).collect(),
        }
    }
}

/// Gives a place back, or withdraws an ask.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ReleasePermit {
    /// The number of the ask.
    pub serial: u64,
    /// What became of the request.
    pub report: RequestReport,
}

/// What is known of a request that had a place.
pub type RequestReport = pimento_broker::RequestReport;

impl Handler<ReleasePermit> for FleetActor {
    type Result = ();

    fn handle(&mut self, msg: ReleasePermit, _: &mut Context<Self>) {
        self.asking.retain(|(serial, _)| *serial != msg.serial);
        let effects = self.fleet.done(self.now(), msg.serial, &msg.report);
        self.run(effects);
    }
}

/// A target's own report; the answer is whether it may be acknowledged.
#[derive(Debug, Message)]
#[rtype(result = "bool")]
pub enum TargetReport {
    /// The state of a lifetime.
    State(Target),
    /// The end of one.
    Leave {
        /// The name.
        id: String,
        /// When the lifetime began, if it said so.
        born: Option<u64>,
    },
}

/// The longest that a report waits to be known: less than the second after
/// which a target asks another VM.
const REPORT: Duration = Duration::from_millis(900);

impl Handler<TargetReport> for FleetActor {
    type Result = ResponseFuture<bool>;

    fn handle(&mut self, msg: TargetReport, _: &mut Context<Self>) -> Self::Result {
        let now = self.now();
        let (update_id, effects) = match &msg {
            TargetReport::State(target) => self.fleet.report(now, target),
            TargetReport::Leave { id, born } => self.fleet.leave(now, id, *born),
        };
        let known = update_id.map(|update_id| {
            let (sender, receiver) = oneshot::channel();
            self.reporting.push((update_id, sender));
            receiver
        });
        self.run(effects);
        Box::pin(async move {
            let Some(known) = known else { return true };
            let known = tokio::time::timeout(REPORT, known).await;
            matches!(known, Ok(Ok(())))
        })
    }
}

/// Takes the items that this control VM has applied.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetCatalog(pub Arc<Catalog>);

impl Handler<SetCatalog> for FleetActor {
    type Result = ();

    fn handle(&mut self, msg: SetCatalog, _: &mut Context<Self>) {
        let effects = self.fleet.set_catalog(self.now(), msg.0);
        self.run(effects);
    }
}

/// Notes how far this process has come, and newer seeds.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub enum UpdateProcess {
    /// How far the process has come.
    Stage(Stage),
    /// The control VMs of changed settings.
    Seeds(Vec<SocketAddr>),
}

impl Handler<UpdateProcess> for FleetActor {
    type Result = ();

    fn handle(&mut self, msg: UpdateProcess, _: &mut Context<Self>) {
        match msg {
            UpdateProcess::Stage(stage) => {
                let effects = self.fleet.set_stage(self.now(), stage);
                self.run(effects);
            }
            UpdateProcess::Seeds(seeds) => self.fleet.set_seeds(seeds),
        }
    }
}

/// Notes the share of this VM's link that requests take, in percent.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetLoad(pub u32);

impl Handler<SetLoad> for FleetActor {
    type Result = ();

    fn handle(&mut self, msg: SetLoad, _: &mut Context<Self>) {
        self.fleet.set_load(msg.0);
    }
}

/// Asks where callers of a failure domain are to go.
#[derive(Debug, Message)]
#[rtype(result = "Vec<SocketAddr>")]
pub struct GetEntries(pub String);

impl Handler<GetEntries> for FleetActor {
    type Result = MessageResult<GetEntries>;

    fn handle(&mut self, msg: GetEntries, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.fleet.entries(self.now(), &msg.0))
    }
}
