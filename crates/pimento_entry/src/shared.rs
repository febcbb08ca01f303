//! State that the listeners of a process share.

use crate::{Node, metrics::Metrics, notices::Notices};
use actix::Addr;
use arc_swap::ArcSwap;
use pimento_control::{Control, ControlClient};
use pimento_core::{Clock, Time};
use pimento_log::Logger;
use pimento_rules::Rules;
use pimento_settings::Settings;
use pimento_steer::RetryBudget;
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};
use tokio::sync::Notify;

/// State of the worker threads, and the address of the node.
#[derive(Debug)]
#[expect(
    dead_code,
    reason = "the address of the replica is stored but not read"
)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) node: Addr<Node>,
    pub(crate) control: ControlClient,
    /// The control replica of this VM, if it has the control role.
    pub(crate) replica: Option<Addr<Control>>,
    pub(crate) rules: Arc<ArcSwap<Rules>>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) metrics: Metrics,
    /// What targets said of themselves.
    pub(crate) notices: Arc<Notices>,
    /// The operators' bearer token.
    pub(crate) operator_token: String,
    /// The proof of the shared key on forwarded requests.
    pub(crate) link_proof: String,
    /// Start of this process, in milliseconds since the Unix epoch.
    pub(crate) incarnation: u64,
    pub(crate) stopping: AtomicBool,
    /// The latest deadline of a request that the process still waits for, in
    /// microseconds of its clock.
    pub(crate) last_deadline: AtomicU64,
    /// Number of requests whose response has not ended or whose outcome is not
    /// recorded.
    pub(crate) open_requests: AtomicUsize,
    /// Notified when an operator drains this VM.
    pub(crate) drain_requested: Notify,
    pub(crate) request_ids: AtomicU64,
}

impl Shared {
    /// Returns a request id that is unique within the process.
    pub(crate) fn next_request_id(&self) -> u64 {
        self.request_ids.fetch_add(1, Ordering::Relaxed)
    }

    /// Sets the latest deadline of a request that the process still waits for.
    pub(crate) fn set_last_deadline(&self, deadline: Time) {
        let micros = deadline.as_micros();
        self.last_deadline.store(micros, Ordering::SeqCst);
    }

    /// Whether the process may exit before a request with this deadline has ended.
    /// The request must count as open by now: then the shutdown sees it, or it sees
    /// the shutdown.
    pub(crate) fn may_exit_before(&self, deadline: Time) -> bool {
        deadline.as_micros() > self.last_deadline.load(Ordering::SeqCst)
    }

    /// The number of open requests.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::SeqCst)
    }

    /// Whether the graceful shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

/// The wall-clock time, in milliseconds since the Unix epoch.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

/// Counts an open request until it is dropped, so that the graceful shutdown
/// can wait for it.
#[derive(Debug)]
pub(crate) struct OpenRequest(actix_web::web::Data<Shared>);

impl OpenRequest {
    pub(crate) fn begin(shared: &actix_web::web::Data<Shared>) -> Self {
        shared.open_requests.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
