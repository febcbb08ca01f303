//! Tracks the requests that this VM sent to each destination for each service.

use crate::{Outcome, SteeringConfig, spillover::SpilloverLimit};
use pimento_admit::Headroom;
use pimento_core::prelude::*;

/// The requests in flight from this VM to one destination, which is another VM
/// or failure domain, for one service.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    /// The name of the VM or failure domain.
    pub(crate) name: String,
    pub(crate) service: ServiceId,
    /// When each request in flight was sent, oldest first.
    send_times: Vec<Time>,
    pub(crate) spillover: SpilloverLimit,
    /// When the destination last refused a request.
    last_refusal: Option<Time>,
    /// Failures since the last response or refusal.
    failures: u32,
    /// Nothing is sent to the destination before this time.
    resume_at: Time,
}

/// The number of consecutive failures after which a destination is paused.
const FAILURES_BEFORE_PAUSE: u32 = 2;
/// The first pause; it doubles with each further failure.
const INITIAL_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(4);

impl Destination {
    pub(crate) fn new(now: Time, name: &str, service: &ServiceId, floor: f64) -> Self {
        Self {
            name: name.to_owned(),
            service: service.clone(),
            send_times: Vec::new(),
            spillover: SpilloverLimit::new(now, floor),
            last_refusal: None,
            failures: 0,
            resume_at: Time::ZERO,
        }
    }

    /// Whether the record still contains state that matters.
    pub(crate) fn is_in_use(&self, now: Time) -> bool {
        !self.send_times.is_empty() || self.failures > 0 || self.spillover.is_recent(now)
    }

    pub(crate) fn record_start(&mut self, now: Time) {
        self.send_times.push(now);
        self.spillover.record_spill();
    }

    /// Records the end of a request. `outcome` shows whether the destination is
    /// reachable.
    pub(crate) fn record_end(&mut self, now: Time, outcome: Outcome) {
        if !self.send_times.is_empty() {
            self.send_times.remove(0);
        }
        match outcome {
            Outcome::Answered { .. } => self.failures = 0,
            Outcome::Refused => {
                self.failures = 0;
                self.last_refusal = Some(now);
                self.spillover.record_refusal(now);
            }
            Outcome::Failed { .. } => self.record_failure(now),
        }
    }

    /// Pauses a destination that failed repeatedly, since the known state of it
    /// may be outdated.
    fn record_failure(&mut self, now: Time) {
        self.failures = self.failures.saturating_add(1);
        let Some(extra_failures) = self.failures.checked_sub(FAILURES_BEFORE_PAUSE) else {
            return;
        };
        let pause = INITIAL_PAUSE * 2_u32.pow(extra_failures.min(3));
        self.resume_at = now + pause.min(MAX_PAUSE);
    }

    pub(crate) fn is_paused(&self, now: Time) -> bool {
        now < self.resume_at
    }

    /// The number of requests in flight that the received headroom does not
    /// include yet: those sent less than a round trip before it was received.
    fn count_unreported(&self, received_at: Time, rtt: Duration) -> usize {
        let first = self
            .send_times
            .partition_point(|sent| *sent + rtt < received_at);
        self.send_times.len() - first
    }

    /// The remaining headroom: what was last received, discounted by its age
    /// and by the requests that this VM has sent since.
    pub(crate) fn remaining(
        &self,
        now: Time,
        received_at: Time,
        rtt: Duration,
        headroom: Headroom,
        config: &SteeringConfig,
    ) -> RemainingHeadroom {
        let unreported = self.count_unreported(received_at, rtt) as f64;
        // A refusal is newer than headroom that was received before it.
        let was_refused = self
            .last_refusal
            .is_some_and(|refused| refused >= received_at);
        let free = if was_refused { 0 } else { headroom.free };
        RemainingHeadroom {
            free: discounted(free, now.since(received_at), config) - unreported,
            queued: f64::from(headroom.queued) + (unreported - f64::from(free)).max(0.0),
            slots: headroom.slots,
            latency: headroom.latency_us as f64,
        }
    }
}

/// The estimated remaining headroom of a destination.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RemainingHeadroom {
    /// Free slots; negative if more requests were sent than slots were free.
    pub(crate) free: f64,
    /// The number of queued requests.
    pub(crate) queued: f64,
    /// The number of offered slots.
    pub(crate) slots: u32,
    /// The mean latency at a target, in microseconds.
    pub(crate) latency: f64,
}

impl RemainingHeadroom {
    /// The headroom of this VM itself, which is exact.
    pub(crate) fn exact(headroom: Headroom) -> Self {
        Self {
            free: f64::from(headroom.free),
            queued: f64::from(headroom.queued),
            slots: headroom.slots,
            latency: headroom.latency_us as f64,
        }
    }

    /// The expected time until the response of a destination with this
    /// round-trip time, in microseconds.
    pub(crate) fn cost(&self, rtt: Duration) -> f64 {
        let network = rtt.as_micros() as f64;
        let service_interval = self.latency / f64::from(self.slots.max(1));
        let wait = if self.free >= 1.0 {
            0.0
        } else {
            (self.queued + 1.0) * service_interval
        };
        network + wait + self.latency
    }
}

/// The free slots, discounted by the age of the information.
fn discounted(free: u32, age: Duration, config: &SteeringConfig) -> f64 {
    if age > config.headroom_ttl {
        return 0.0;
    }
    let halvings = age.as_secs_f64() / config.half_life.as_secs_f64();
    f64::from(free) * 0.5_f64.powf(halvings)
}
