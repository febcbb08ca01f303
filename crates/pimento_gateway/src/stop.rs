//! The graceful stop of all connections.

use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

/// The part of the grace period for which requests are still taken: callers
/// learn from the directory that the VM stops, some of them late.
const TAKING: f64 = 0.75;
/// The part of the grace period after which the process ends.
const ENDING: f64 = 0.95;
/// How often a stopping process looks whether it is done.
const LOOK: Duration = Duration::from_millis(100);

/// How far a graceful stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Phase {
    /// Connections are kept.
    Running,
    /// Each connection closes after its next answer.
    Closing,
    /// Connections without a request close now.
    Ending,
}

/// Tells all connections of a process to end, and counts those that haven't.
#[derive(Clone, Debug)]
pub struct Stop {
    phase: Rc<watch::Sender<Phase>>,
    open: Rc<Cell<usize>>,
    busy: Rc<Cell<usize>>,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            phase: Rc::new(watch::Sender::new(Phase::Running)),
            open: Rc::default(),
            busy: Rc::default(),
        }
    }
}

impl Stop {
    /// Has each connection close after its next answer, which says so; a
    /// caller's request that is on its way is still served.
    pub fn begin(&self) {
        self.phase.send_replace(Phase::Closing);
    }

    /// Closes connections as soon as they have no request.
    pub fn finish(&self) {
        self.phase.send_replace(Phase::Ending);
    }

    /// Whether the stop has begun.
    pub fn begun(&self) -> bool {
        *self.phase.borrow() > Phase::Running
    }

    /// The connections that are still open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// The requests that have no answer yet.
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    /// Serves requests that are on their way, lets connections end, and returns
    /// within a grace period.
    pub async fn drain(&self, grace: Duration) {
        let begun = Instant::now();
        self.begin();
        while begun.elapsed() < grace.mul_f64(TAKING) {
            sleep(LOOK).await;
        }
        self.finish();
        while self.busy() > 0 && begun.elapsed() < grace.mul_f64(ENDING) {
            sleep(LOOK).await;
        }
    }

    /// Waits until connections without a request must close.
    pub(crate) async fn wait(&self) {
        let mut receiver = self.phase.subscribe();
        // The sender lives as long as this handle.
        drop(receiver.wait_for(|phase| *phase == Phase::Ending).await);
    }

    pub(crate) fn enter(&self) -> Count {
        Count::new(&self.open)
    }

    pub(crate) fn work(&self) -> Count {
        Count::new(&self.busy)
    }
}

/// Counts for as long as it lives.
#[derive(Debug)]
pub(crate) struct Count(Rc<Cell<usize>>);

impl Count {
    fn new(counter: &Rc<Cell<usize>>) -> Self {
        counter.set(counter.get() + 1);
        Self(Rc::clone(counter))
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
