//! When a process can know which entry VMs are alive.

use pimento_core::Time;
use std::time::Duration;

/// The time between two ticks after which a process counts as having stood still.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// When a process can know which entry VMs are alive: one that has just started, or
/// was frozen, has heard none of them lately, though they serve.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Settling {
    last_tick: Option<Time>,
    settled_at: Time,
}

impl Settling {
    /// Records that the process runs. After a gap it needs the time in which each
    /// live VM is heard.
    pub(crate) fn record_tick(&mut self, now: Time, failure_timeout: Duration) {
        self.settled_at = self.settled_at(now, failure_timeout);
        self.last_tick = Some(now);
    }

    /// From when on the list of live entry VMs is complete.
    pub(crate) fn settled_at(&self, now: Time, failure_timeout: Duration) -> Time {
        let runs = self
            .last_tick
            .is_some_and(|at| now.since(at) < MAX_TICK_GAP);
        if runs {
            self.settled_at
        } else {
            now + failure_timeout
        }
    }
}
