//! Graceful shutdown of callers' connections.

use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// The fraction of the grace period during which requests are still accepted:
/// callers learn from the directory that the VM stops, and some learn it late.
const ACCEPTING_SHARE: f64 = 0.75;
/// The fraction of the grace period by whose end the deadline of a request must
/// pass for the request to be accepted.
const LAST_DEADLINE_SHARE: f64 = 0.9;
/// The fraction of the grace period after which the process exits.
const DRAIN_SHARE: f64 = 0.95;
/// How often a stopping process checks whether all connections have closed.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Phase {
    /// Connections are kept alive.
    Running,
    /// Each connection closes after its next response.
    Draining,
    /// Connections without an active request close at once.
    ClosingIdle,
}

/// The times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    begun_at: Instant,
    /// The latest deadline of a request whose response the process still sends.
    last_deadline: Instant,
}

/// Tells all connections of a process to close, and counts those still open.
#[derive(Clone, Debug)]
pub struct GracefulShutdown {
    phase: Rc<watch::Sender<Phase>>,
    schedule: Rc<Cell<Option<Schedule>>>,
    open_connections: Rc<Cell<usize>>,
    active_requests: Rc<Cell<usize>>,
}

impl Default for GracefulShutdown {
    fn default() -> Self {
        Self {
            phase: Rc::new(watch::Sender::new(Phase::Running)),
            schedule: Rc::default(),
            open_connections: Rc::default(),
            active_requests: Rc::default(),
        }
    }
}

impl GracefulShutdown {
    /// Closes each connection after its next response, which carries
    /// `Connection: close`. A gateway refuses requests whose deadline is later
    /// than `last_deadline` from now, because the exit could cut them off.
    pub fn begin(&self, last_deadline: Duration) {
        let begun_at = Instant::now();
        self.schedule.set(Some(Schedule {
            begun_at,
            last_deadline: begun_at + last_deadline,
        }));
        self.phase.send_replace(Phase::Draining);
    }

    /// Closes connections as soon as they have no active request.
    pub fn close_idle(&self) {
        self.phase.send_replace(Phase::ClosingIdle);
    }

    /// Whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        *self.phase.borrow() > Phase::Running
    }

    /// When the shutdown began.
    pub fn begun_at(&self) -> Option<Instant> {
        self.schedule.get().map(|s| s.begun_at)
    }

    /// Waits until the process can't be sure to send a response by `deadline`.
    pub async fn wait_until_too_late(&self, deadline: Instant) {
        let is_too_late = || {
            self.schedule
                .get()
                .is_some_and(|s| s.last_deadline < deadline)
        };
        let mut receiver = self.phase.subscribe();
        // This can't fail: the sender lives as long as this handle.
        drop(receiver.wait_for(|_| is_too_late()).await);
    }

    /// The number of connections that are still open.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// The number of requests without a response.
    pub fn active_requests(&self) -> usize {
        self.active_requests.get()
    }

    /// Begins the shutdown, keeps serving arriving requests that end in time,
    /// closes idle connections, and returns within the grace period.
    pub async fn drain(&self, grace: Duration) {
        self.begin(grace.mul_f64(LAST_DEADLINE_SHARE));
        self.finish(grace.mul_f64(ACCEPTING_SHARE), grace).await;
    }

    /// Accepts requests for `accepting` more, closes idle connections, and waits
    /// for the others to close; returns within the grace period, which began with
    /// the shutdown.
    pub async fn finish(&self, accepting: Duration, grace: Duration) {
        let begun_at = self.begun_at().unwrap_or_else(Instant::now);
        let exit_at = begun_at + grace.mul_f64(DRAIN_SHARE);
        sleep_until(exit_at.min(Instant::now() + accepting)).await;
        self.close_idle();
        // A connection stays open until its response is written.
        while self.open_connections() > 0 && Instant::now() < exit_at {
            sleep_until(exit_at.min(Instant::now() + POLL_INTERVAL)).await;
        }
    }

    /// Waits until idle connections must close.
    pub(crate) async fn wait_for_idle_close(&self) {
        let mut receiver = self.phase.subscribe();
        // This can't fail: the sender lives as long as this handle.
        drop(
            receiver
                .wait_for(|phase| *phase == Phase::ClosingIdle)
                .await,
        );
    }

    pub(crate) fn count_connection(&self) -> CountGuard {
        CountGuard::new(&self.open_connections)
    }

    pub(crate) fn count_request(&self) -> CountGuard {
        CountGuard::new(&self.active_requests)
    }
}

/// Increments a counter until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        Self(Rc::clone(counter))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
