//! What the listeners of one process share.

use crate::{Node, metrics::Metrics};
use actix::Addr;
use arc_swap::ArcSwap;
use pimento_control::{Control, ControlClient};
use pimento_core::Clock;
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

/// The state that worker threads read, and the way to the node.
#[derive(Debug)]
#[expect(
    dead_code,
    reason = "the single-VM path has no instances to tell apart"
)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) node: Addr<Node>,
    pub(crate) control: ControlClient,
    /// The replica of this VM, if it has the control role.
    pub(crate) replica: Option<Addr<Control>>,
    pub(crate) rules: Arc<ArcSwap<Rules>>,
    pub(crate) budget: Mutex<RetryBudget>,
    pub(crate) metrics: Metrics,
    /// The bearer token of operators.
    pub(crate) token: String,
    /// The proof of the shared key on forwarded requests.
    pub(crate) proof: String,
    /// The start of this process, in milliseconds since the Unix epoch.
    pub(crate) instance: u64,
    pub(crate) stopping: AtomicBool,
    /// Requests whose answer has not ended.
    pub(crate) open: AtomicUsize,
    /// Told when an operator drains this VM.
    pub(crate) drain: Notify,
    pub(crate) ids: AtomicU64,
}

impl Shared {
    /// A number for a request, unique in this process.
    pub(crate) fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether the process no longer takes part in look-ups.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }
}

/// The wall clock, in milliseconds since the Unix epoch.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

/// Counts an open request until it is dropped, so that a planned stop can wait.
#[derive(Debug)]
pub(crate) struct OpenRequest(actix_web::web::Data<Shared>);

impl OpenRequest {
    pub(crate) fn begin(shared: &actix_web::web::Data<Shared>) -> Self {
        shared.open.fetch_add(1, Ordering::AcqRel);
        Self(shared.clone())
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::AcqRel);
    }
}
