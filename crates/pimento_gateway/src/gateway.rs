//! The gateway that runs on an entry VM.

use crate::{
    ConnectionLimits, GracefulShutdown, HeaderNames, ResponseBody,
    crash_probes::CrashProbes,
    handler::{RESPONSE_MARGIN, RequestHandler},
    inbound::Inbound,
    link_usage::LinkUsage,
    log_limiter::LogLimiter,
    metrics::Metrics,
    open_requests::OpenRequests,
    pool::Pool,
    retry_budgets::{RetryBudgetConfig, RetryBudgets},
};
use actix::Addr;
use hyper::{Request, Response, body::Incoming};
use pimento_broker::ShardBackoff;
use pimento_core::Clock;
use pimento_fleet::{FleetActor, SetLoad, SharedView};
use pimento_items::WeightedRoundRobin;
use pimento_log::{Event, Logger, event};
use pimento_notices::TargetNotices;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// The idle timeout of callers' connections until the limits item is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum request head until the limits item is known, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// The room for request heads, in multiples of the limit, so that open connections
/// can follow when the limit grows. [`Inbound::read`] refuses larger heads.
const HEAD_ROOM: usize = 2;
/// How often expired connections to targets and outdated notices are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// The configuration of a gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// The names of headers.
    pub header_names: HeaderNames,
    /// The region of this VM.
    pub region: Arc<str>,
    /// The number of regions.
    pub region_count: usize,
    /// Limits on retries, shared by all VMs.
    pub retry_budget: RetryBudgetConfig,
    /// The capacity of the VM's link in each direction, in bytes per second; 0 if
    /// unknown.
    pub link_rate: f64,
}

/// The gateway that runs on an entry VM; clones share their state.
#[derive(Clone, Debug)]
pub struct Gateway(pub(crate) Rc<Inner>);

#[derive(Debug)]
pub(crate) struct Inner {
    pub config: GatewayConfig,
    pub fleet: Addr<FleetActor>,
    pub shared: SharedView,
    pub shutdown: GracefulShutdown,
    pub open_requests: OpenRequests,
    pub log: Logger,
    pub log_limiter: LogLimiter,
    pub metrics: Metrics,
    pub clock: Clock,
    pub pool: Rc<Pool>,
    pub retry_budgets: RetryBudgets,
    pub shard_backoff: RefCell<ShardBackoff>,
    /// What targets said of themselves in their responses.
    pub notices: RefCell<TargetNotices>,
    pub crash_probes: CrashProbes,
    pub link_usage: LinkUsage,
    /// The traffic split of each route with several services, sorted by route
    /// name.
    pub splits: RefCell<Vec<(Arc<str>, WeightedRoundRobin)>>,
    /// The serial number of the next permit request.
    pub serial: Cell<u64>,
}

impl Gateway {
    /// Creates a gateway that routes by the shared view, requests permits from a
    /// fleet, and follows the shutdown of its process.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics can't be set up.
    pub fn new(
        config: GatewayConfig,
        fleet: Addr<FleetActor>,
        shared: SharedView,
        shutdown: GracefulShutdown,
        log: Logger,
    ) -> anyhow::Result<Self> {
        let link_rate = config.link_rate;
        let inner = Rc::new(Inner {
            config,
            fleet,
            shared,
            shutdown,
            open_requests: OpenRequests::default(),
            log,
            log_limiter: LogLimiter::default(),
            metrics: Metrics::new()?,
            clock: Clock::start(),
            pool: Rc::default(),
            retry_budgets: RetryBudgets::default(),
            shard_backoff: RefCell::default(),
            notices: RefCell::default(),
            crash_probes: CrashProbes::default(),
            link_usage: LinkUsage::new(link_rate),
            splits: RefCell::default(),
            serial: Cell::new(1),
        });
        actix_rt::spawn(remove_expired(Rc::clone(&inner)));
        actix_rt::spawn(report_link_usage(Rc::clone(&inner)));
        Ok(Self(inner))
    }

    /// Renders all metrics as text.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be rendered.
    pub fn metrics(&self) -> anyhow::Result<Vec<u8>> {
        self.0.metrics.render()
    }

    /// The connection limits for callers, from the limits item in force.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let view = self.0.shared.load();
        let limits = view.catalog.limits();
        ConnectionLimits {
            idle_timeout: limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| {
                Duration::from_millis(l.idle_ms.into())
            }),
            head_bytes: HEAD_ROOM
                .saturating_mul(limits.map_or(DEFAULT_HEAD_BYTES, |l| l.head_bytes as usize)),
        }
    }

    /// Logs the requests that have no response when the process exits, with
    /// what decides whether they should have been accepted.
    pub fn log_cut_requests(&self) {
        /// The maximum number of lines written.
        const MAX_LINES: usize = 20;
        let inner = &self.0;
        let (count, requests) = inner.open_requests.oldest(MAX_LINES);
        inner.metrics.record_cut_requests(count as u64);
        let (now, begun_at) = (Instant::now(), inner.shutdown.begun_at());
        for request in requests {
            event!(inner.log, Event::RequestCut, "id" => request.id,
                "service" => &*request.service, "target" => request.target.as_deref(),
                "stopping_ms" => inner.stopping_ms(request.arrived_at),
                "age_ms" => now.saturating_duration_since(request.arrived_at).as_millis() as u64,
                "left_ms" => request.deadline.saturating_duration_since(now).as_millis() as u64,
                "exit_ms" => begun_at.map(|at| now.saturating_duration_since(at).as_millis() as u64));
        }
    }

    /// Handles a caller's request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let view = self.0.shared.load_full();
        let limits = view.catalog.limits();
        let route_timeout = |host: &str, path: &str| {
            let (_, route) = view.routes.find(host, path)?;
            Some(route.timeout().saturating_sub(RESPONSE_MARGIN))
        };
        let header_names = &self.0.config.header_names;
        let inbound = Inbound::read(request, header_names, limits, route_timeout).await;
        match inbound {
            Ok(inbound) => RequestHandler::new(&self.0, view, inbound).run().await,
            Err(response) => {
                if let Some(dropped) = self.0.may_log(true) {
                    event!(self.0.log, Event::RequestFailed, "reason" => response.reason(),
                        "status" => response.status().as_u16(), "dropped" => dropped);
                }
                response
            }
        }
        .into_response()
    }
}

/// Removes expired connections and outdated notices periodically.
async fn remove_expired(inner: Rc<Inner>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        inner.pool.remove_expired();
        inner.forget_old_notices();
    }
}

/// Reports the link usage to the fleet periodically.
async fn report_link_usage(inner: Rc<Inner>) {
    loop {
        tokio::time::sleep(LinkUsage::SAMPLE_INTERVAL).await;
        inner
            .fleet
            .do_send(SetLoad(inner.link_usage.sample_percent()));
    }
}

impl Inner {
    /// Returns the number of lines dropped since the last written one if a line
    /// about a request may be written, and `None` if it must be dropped.
    pub(crate) fn may_log(&self, failure: bool) -> Option<u64> {
        let dropped = self.log_limiter.allow(failure)?;
        self.metrics.record_dropped_lines(dropped);
        Some(dropped)
    }

    /// How long after the beginning of the shutdown an instant was, in
    /// milliseconds; `None` if it was before.
    pub(crate) fn stopping_ms(&self, at: Instant) -> Option<u64> {
        let since_begin = at.checked_duration_since(self.shutdown.begun_at()?)?;
        Some(since_begin.as_millis() as u64)
    }

    /// Returns a serial number for a permit request that this process hasn't used
    /// before.
    pub(crate) fn next_serial(&self) -> u64 {
        let serial = self.serial.get();
        self.serial.set(serial + 1);
        serial
    }
}
