//! What this VM has sent to each other place for each service.

use crate::{Outcome, SteeringConfig, growth::Growth};
use pimento_admit::Headroom;
use pimento_core::prelude::*;

/// Requests that this VM has under way at another place for one service.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    /// The name of the VM or failure domain.
    pub(crate) name: String,
    pub(crate) service: ServiceId,
    /// When each request was sent, oldest first.
    sent: Vec<Time>,
    pub(crate) growth: Growth,
    /// When the place last refused a request.
    refused: Option<Time>,
    /// Failures since the last answer or refusal.
    fails: u32,
    /// Nothing is sent there before this time.
    resume: Time,
}

/// Failures in a row after which a place is left alone for a while.
const MAX_FAILS: u32 = 2;
/// The first such while; doubles with each failure that follows.
const PAUSE: Duration = Duration::from_millis(500);
/// The longest such while.
const MAX_PAUSE: Duration = Duration::from_secs(4);

impl Place {
    pub(crate) fn new(now: Time, name: &str, service: &ServiceId, floor: f64) -> Self {
        Self {
            name: name.to_owned(),
            service: service.clone(),
            sent: Vec::new(),
            growth: Growth::new(now, floor),
            refused: None,
            fails: 0,
            resume: Time::ZERO,
        }
    }

    /// Whether anything of the place needs to be remembered.
    pub(crate) fn in_use(&self, now: Time) -> bool {
        !self.sent.is_empty() || self.fails > 0 || self.growth.recent(now)
    }

    pub(crate) fn begin(&mut self, now: Time) {
        self.sent.push(now);
        self.growth.count();
    }

    /// Ends a request; `outcome` tells whether the place is there at all.
    pub(crate) fn end(&mut self, now: Time, outcome: Outcome) {
        if !self.sent.is_empty() {
            self.sent.remove(0);
        }
        match outcome {
            Outcome::Answered { .. } => self.fails = 0,
            Outcome::Refused => {
                self.fails = 0;
                self.refused = Some(now);
                self.growth.cut(now);
            }
            Outcome::Failed { .. } => self.failed(now),
        }
    }

    /// Leaves a place alone that failed repeatedly, since what is known of it
    /// may be old.
    fn failed(&mut self, now: Time) {
        self.fails = self.fails.saturating_add(1);
        let Some(more) = self.fails.checked_sub(MAX_FAILS) else {
            return;
        };
        let pause = PAUSE * 2_u32.pow(more.min(3));
        self.resume = now + pause.min(MAX_PAUSE);
    }

    /// Whether the place is left alone.
    pub(crate) fn paused(&self, now: Time) -> bool {
        now < self.resume
    }

    /// The requests under way that the headroom does not contain yet: those
    /// sent less than a round trip before it came.
    fn unseen(&self, came: Time, trip: Duration) -> usize {
        let first = self.sent.partition_point(|sent| *sent + trip < came);
        self.sent.len() - first
    }

    /// What is left of headroom that came at a time, discounted with its age
    /// and by what this VM has sent since.
    pub(crate) fn left(
        &self,
        now: Time,
        came: Time,
        trip: Duration,
        room: Headroom,
        config: &SteeringConfig,
    ) -> Left {
        let unseen = self.unseen(came, trip) as f64;
        // A refusal is newer than headroom that was measured before it.
        let refused = self.refused.is_some_and(|refused| refused >= came);
        let free = if refused { 0 } else { room.free };
        Left {
            free: discounted(free, now.since(came), config) - unseen,
            queued: f64::from(room.queued) + (unseen - f64::from(free)).max(0.0),
            slots: room.slots,
            latency: room.latency_us as f64,
        }
    }
}

/// What is left of a place's headroom.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Left {
    /// Free slots; below zero when more was sent than was free.
    pub(crate) free: f64,
    /// Requests that wait.
    pub(crate) queued: f64,
    /// The slots that are offered.
    pub(crate) slots: u32,
    /// The mean time at a target, in microseconds.
    pub(crate) latency: f64,
}

impl Left {
    /// The headroom of this VM itself, which is exact.
    pub(crate) fn exact(room: Headroom) -> Self {
        Self {
            free: f64::from(room.free),
            queued: f64::from(room.queued),
            slots: room.slots,
            latency: room.latency_us as f64,
        }
    }

    /// The expected time of an answer at a place that is `trip` away, in
    /// microseconds.
    pub(crate) fn cost(&self, trip: Duration) -> f64 {
        let path = trip.as_micros() as f64;
        let turn = self.latency / f64::from(self.slots.max(1));
        let wait = if self.free >= 1.0 {
            0.0
        } else {
            (self.queued + 1.0) * turn
        };
        path + wait + self.latency
    }
}

/// The free slots that are still worth something after a time.
fn discounted(free: u32, age: Duration, config: &SteeringConfig) -> f64 {
    if age > config.headroom_ttl {
        return 0.0;
    }
    let halvings = age.as_secs_f64() / config.half_life.as_secs_f64();
    f64::from(free) * 0.5_f64.powf(halvings)
}
