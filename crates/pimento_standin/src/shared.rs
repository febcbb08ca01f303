//! State shared by the threads of a stand-in target.

use crate::{Counters, Fault, StandinConfig, keys::KeyLog};
use pimento_lease::TargetState;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::sync::Notify;

/// State shared by the worker threads and the announcer.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) config: StandinConfig,
    pub(crate) started: Instant,
    /// Wakes the announcer when the target starts to drain.
    pub(crate) drain_started: Notify,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    counters: Counters,
    keys: KeyLog,
    fault: Fault,
    draining: bool,
    rng: SmallRng,
    /// Connections opened since the start.
    opened: u64,
    /// The value of `opened` when the fault was set; connections with a lower
    /// serial are older than the fault.
    fault_serial: u64,
}

impl Shared {
    pub(crate) fn new(config: StandinConfig) -> Self {
        let inner = Inner {
            counters: Counters::default(),
            keys: KeyLog::default(),
            fault: config.fault,
            draining: false,
            rng: SmallRng::seed_from_u64(config.seed),
            opened: 0,
            fault_serial: 0,
        };
        Self {
            config,
            started: Instant::now(),
            drain_started: Notify::new(),
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The state to announce: draining, cold or ready.
    pub(crate) fn state(&self) -> TargetState {
        if self.lock().draining {
            TargetState::Draining
        } else if self.is_cold() {
            TargetState::Cold
        } else {
            TargetState::Ready
        }
    }

    fn is_cold(&self) -> bool {
        self.started.elapsed() < self.config.cold_start.period
    }

    pub(crate) fn drain(&self) {
        self.lock().draining = true;
        self.drain_started.notify_one();
    }

    pub(crate) fn fault(&self) -> Fault {
        self.lock().fault
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        let mut inner = self.lock();
        inner.fault = fault;
        inner.fault_serial = inner.opened;
    }

    /// Draws a random number below 100.
    pub(crate) fn draw_percentile(&self) -> u8 {
        self.lock().rng.random_range(0..100)
    }

    /// Draws the service time of a request, which is longer while cold.
    pub(crate) fn draw_service_time(&self) -> Duration {
        let time = self.config.service_time.draw(&mut self.lock().rng);
        if self.is_cold() {
            time.mul_f64(self.config.cold_start.factor)
        } else {
            time
        }
    }

    /// The counters, with the keys that ran at least `min_runs` times.
    pub(crate) fn counters(&self, min_runs: u32) -> Counters {
        let inner = self.lock();
        let mut counters = inner.counters.clone();
        counters.keys = inner.keys.list(min_runs);
        counters
    }

    pub(crate) fn running(&self) -> u32 {
        self.lock().counters.running
    }

    pub(crate) fn record_refusal(&self) {
        self.lock().counters.refused += 1;
    }

    pub(crate) fn record_overrun(&self) {
        self.lock().counters.overruns += 1;
    }
}

/// A running request. Dropped before [`Run::finish`], it counts as cancelled.
#[derive(Debug)]
pub(crate) struct Run {
    shared: Arc<Shared>,
    finished: bool,
}

impl Run {
    /// Counts a run and takes a slot for it.
    pub(crate) fn start(shared: Arc<Shared>, key: Option<&str>) -> Self {
        let mut inner = shared.lock();
        let duplicate = key.is_some_and(|key| inner.keys.record_run(key));
        let counters = &mut inner.counters;
        counters.duplicates += u64::from(duplicate);
        counters.runs += 1;
        counters.running += 1;
        counters.peak = counters.peak.max(counters.running);
        drop(inner);
        Self {
            shared,
            finished: false,
        }
    }

    /// Counts the run as completed and frees its slot.
    pub(crate) fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut inner = self.shared.lock();
        inner.counters.running -= 1;
        if self.finished {
            inner.counters.finished += 1;
        } else {
            inner.counters.cancelled += 1;
        }
    }
}

/// An open connection; dropped when it closes.
#[derive(Debug)]
pub(crate) struct Connection {
    shared: Arc<Shared>,
    /// Number of connections opened before this one.
    serial: u64,
}

impl Connection {
    /// Counts a new connection.
    pub(crate) fn open(shared: Arc<Shared>) -> Self {
        let mut inner = shared.lock();
        let serial = inner.opened;
        inner.opened += 1;
        inner.counters.connections += 1;
        let excess = inner.counters.connections > shared.config.connections;
        inner.counters.excess += u64::from(excess);
        drop(inner);
        Self { shared, serial }
    }

    /// Whether the connection was opened before the fault was set.
    pub(crate) fn is_older_than_fault(&self) -> bool {
        self.serial < self.shared.lock().fault_serial
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.lock().counters.connections -= 1;
    }
}
