//! The gateway of an entry VM.

use crate::{
    Dialect, Idle, ResponseBody,
    budgets::{Budgets, Repeats},
    course::Course,
    inbound::Inbound,
    lines::Lines,
    metrics::Metrics,
    pool::Pool,
    traffic::Traffic,
};
use actix::Addr;
use hyper::{Request, Response, body::Incoming};
use pimento_broker::ShardBackoff;
use pimento_core::Clock;
use pimento_fleet::{FleetActor, SetLoad, SharedView};
use pimento_items::WeightedRoundRobin;
use pimento_log::{Event, Logger, event};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

/// How long a caller's connection may stay idle until limits are known.
const IDLE: Duration = Duration::from_secs(15);
/// The largest head until limits are known, in bytes.
const HEAD: usize = 16 * 1024;
/// How often idle connections to targets are looked through.
const SWEEP: Duration = Duration::from_secs(2);

/// What a gateway needs.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// The names of headers.
    pub dialect: Dialect,
    /// The region of this VM.
    pub region: Arc<str>,
    /// The number of regions.
    pub regions: usize,
    /// What all VMs together may repeat.
    pub repeats: Repeats,
    /// What the VM's link carries each way, in bytes a second; 0 if unknown.
    pub link: f64,
}

/// The gateway of an entry VM.
#[derive(Clone, Debug)]
pub struct Gateway(pub(crate) Rc<Inner>);

#[derive(Debug)]
pub(crate) struct Inner {
    pub config: GatewayConfig,
    pub fleet: Addr<FleetActor>,
    pub shared: SharedView,
    pub log: Logger,
    pub lines: Lines,
    pub metrics: Metrics,
    pub clock: Clock,
    pub pool: Rc<Pool>,
    pub budgets: Budgets,
    pub closures: RefCell<ShardBackoff>,
    pub traffic: Traffic,
    /// How the routes with several services are divided, by name.
    pub splits: RefCell<Vec<(Arc<str>, WeightedRoundRobin)>>,
    pub serial: Cell<u64>,
}

impl Gateway {
    /// A gateway that decides by a view and has places granted by a fleet.
    ///
    /// # Errors
    ///
    /// Returns the library's error if the metrics can't be set up.
    pub fn new(
        config: GatewayConfig,
        fleet: Addr<FleetActor>,
        shared: SharedView,
        log: Logger,
    ) -> anyhow::Result<Self> {
        let link = config.link;
        let inner = Rc::new(Inner {
            config,
            fleet,
            shared,
            log,
            lines: Lines::default(),
            metrics: Metrics::new()?,
            clock: Clock::start(),
            pool: Rc::default(),
            budgets: Budgets::default(),
            closures: RefCell::default(),
            traffic: Traffic::new(link),
            splits: RefCell::default(),
            serial: Cell::new(1),
        });
        let pool = Rc::clone(&inner.pool);
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(SWEEP).await;
                pool.sweep();
            }
        });
        actix_rt::spawn(tell_load(Rc::clone(&inner)));
        Ok(Self(inner))
    }

    /// Writes all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns the library's error if a metric can't be written.
    pub fn metrics(&self) -> anyhow::Result<Vec<u8>> {
        self.0.metrics.render()
    }

    /// What callers may send, by the limits in force.
    pub fn idle(&self) -> Idle {
        let view = self.0.shared.load();
        let limits = view.catalog.limits();
        Idle {
            limit: limits.map_or(IDLE, |l| Duration::from_millis(l.idle_ms.into())),
            head: limits.map_or(HEAD, |l| l.head_bytes as usize),
        }
    }

    /// Answers a caller's request.
    pub async fn answer(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let view = self.0.shared.load_full();
        let limits = view.catalog.limits();
        let inbound = Inbound::read(request, &self.0.config.dialect, limits).await;
        match inbound {
            Ok(inbound) => Course::new(&self.0, view, inbound).run().await,
            Err(answer) => {
                if let Some(dropped) = self.0.may_log(true) {
                    event!(self.0.log, Event::RequestFailed, "reason" => answer.reason(),
                        "status" => answer.status().as_u16(), "dropped" => dropped);
                }
                answer
            }
        }
        .into_response()
    }
}

/// Tells how much of the link requests take, for as long as the VM serves.
async fn tell_load(inner: Rc<Inner>) {
    loop {
        tokio::time::sleep(Traffic::SPAN).await;
        inner.fleet.do_send(SetLoad(inner.traffic.percent()));
    }
}

impl Inner {
    /// Whether a line about a request may be written; the lines that were not
    /// written before it, if so.
    pub(crate) fn may_log(&self, failure: bool) -> Option<u64> {
        let dropped = self.lines.allow(failure)?;
        self.metrics.dropped(dropped);
        Some(dropped)
    }

    /// A number that was never used before.
    pub(crate) fn next_serial(&self) -> u64 {
        let serial = self.serial.get();
        self.serial.set(serial + 1);
        serial
    }
}
