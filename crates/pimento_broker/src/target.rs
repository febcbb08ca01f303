//! The permits and the observed health of one target.

use crate::{RequestOutcome, RequestReport, health::Health, rate::RateLimiter};
use pimento_core::{Time, hash};
use pimento_notices::{MAX_PAUSE, TargetNotice};
use std::{sync::Arc, time::Duration};

/// The number of affinity keys that a target is assumed to be warm for.
const MAX_WARM_KEYS: usize = 24;

/// How long a target is ejected after a connection failure; each further
/// failure doubles the time.
const MIN_EJECTION: Duration = Duration::from_millis(300);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(5);
/// How long a target that refused a request because it was full gets no
/// requests: about the time in which one of its running requests ends.
const SHED_PAUSE: Duration = Duration::from_millis(100);
/// The share of a cold target's request rate that is used, since two VMs may
/// grant its permits while they disagree on who owns the shard.
const USABLE_COLD_SHARE: f64 = 0.8;

/// The state of a target, as the caller of the broker knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The target's name, which a later incarnation may reuse.
    pub id: Arc<str>,
    /// A hash of the name and the incarnation, the same on all VMs.
    pub incarnation_hash: u64,
    /// The name of the service that the target runs.
    pub service: Arc<str>,
    /// The failure domain that the target runs in.
    pub domain: Arc<str>,
    /// The index of its shard within the service's targets of that domain.
    pub shard: u32,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether new requests may be sent to the target at all.
    pub accepting: bool,
    /// When the target stops being cold.
    pub cold_until: Time,
    /// The requests per second that the target can handle while it is cold.
    pub cold_rate: f64,
}

/// The affinity of a request that holds a permit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitAffinity {
    pub key: Option<u64>,
    /// Whether the target was warm for the key when the permit was granted.
    pub warm: bool,
}

/// The highest standby rank at which a VM grants permits on cold targets. Each
/// rank may use half the rate of the one before it.
const MAX_COLD_STANDBY: u32 = 2;

/// The permits and the observed health of one target.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub view: TargetView,
    /// The permits in use.
    pub in_use: u32,
    /// The number of permits that are granted at a time: at most the target's
    /// slots, less while the target refuses requests.
    limit: u32,
    /// The affinity keys that the target is warm for, least recent first.
    warm_keys: Vec<u64>,
    /// Consecutive failures; a failure to connect counts as two.
    failures: u32,
    /// No requests are sent before this time, since the target failed or was full.
    paused_until: Time,
    /// The target said that it shuts down.
    leaving: bool,
    /// The target wants no requests before this time.
    held_until: Time,
    health: Health,
    /// When the next request may be sent while the target is cold.
    next_cold: Time,
    /// Follows the requests per second that the target takes.
    rate: RateLimiter,
}

impl Target {
    pub(crate) fn new(view: TargetView) -> Self {
        Self {
            limit: view.slots,
            view,
            in_use: 0,
            warm_keys: Vec::new(),
            failures: 0,
            paused_until: Time::ZERO,
            leaving: false,
            held_until: Time::ZERO,
            health: Health::NEW,
            next_cold: Time::ZERO,
            rate: RateLimiter::default(),
        }
    }

    /// Applies a newer view of the same incarnation.
    pub(crate) fn set_view(&mut self, view: TargetView) {
        self.limit = self.limit.max(1).min(view.slots);
        self.view = view;
    }

    pub(crate) const fn is_accepting(&self) -> bool {
        self.view.accepting && self.view.slots > 0 && !self.leaving
    }

    /// Whether the target is ejected because it could not be reached.
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        self.failures > 1 && now < self.paused_until
    }

    /// Whether the target wants no requests for now.
    pub(crate) fn is_held(&self, now: Time) -> bool {
        now < self.held_until
    }

    /// How much longer the target wants no requests.
    pub(crate) const fn held_for(&self, now: Time) -> Duration {
        self.held_until.since(now)
    }

    /// Follows what the target said of itself. That is no fault, so it changes
    /// neither the health nor the limit.
    pub(crate) fn apply_notice(&mut self, now: Time, notice: TargetNotice) {
        self.leaving |= notice.leaving;
        if let Some(pause) = notice.pause {
            self.held_until = self.held_until.max(now + pause.min(MAX_PAUSE));
        }
        if let Some(limit) = notice.limit {
            self.rate.set_rate(now, limit.rate, self.in_use);
        }
    }

    /// The requests that can run at a time, given how long they take.
    pub(crate) fn usable_slots(&self, run_time: Duration) -> f64 {
        let slots = f64::from(self.view.slots);
        let allowed = self.rate.per_second();
        allowed.map_or(slots, |rate| slots.min(rate * run_time.as_secs_f64()))
    }

    /// How long until this many requests have started, one after the other,
    /// given how long they take.
    pub(crate) fn wait_for(&self, now: Time, requests: f64, run_time: Duration) -> Duration {
        let slots = f64::from(self.view.slots);
        let until_free = run_time.mul_f64(requests / slots);
        until_free.max(self.rate.wait_for(now, requests))
    }

    /// Whether a permit can be granted now.
    ///
    /// A standby grants permits on cold targets at a reduced rate or not at
    /// all, since the VMs ranked before it may still grant them too.
    pub(crate) fn has_permit(&self, now: Time, standby: u32) -> bool {
        let limit = if self.failures > 1 { 1 } else { self.limit };
        let too_early = now < self.next_cold || standby > MAX_COLD_STANDBY;
        let cold = now < self.view.cold_until && too_early;
        let is_paused = now < self.paused_until || self.is_held(now);
        let is_due = self.rate.is_due(now, standby);
        self.is_accepting() && !is_paused && self.in_use < limit && !cold && is_due
    }

    pub(crate) fn is_warm(&self, affinity: u64) -> bool {
        self.warm_keys.contains(&affinity)
    }

    /// How well the target suits a request; the request goes to the target with
    /// the greatest value. `mean_rate` is the mean failure rate of the pool.
    pub(crate) fn fitness(&self, now: Time, affinity: Option<u64>, mean_rate: f64) -> Fitness {
        let spare = f64::from(self.limit - self.in_use.min(self.limit));
        let spare = spare / f64::from(self.view.slots.max(1));
        Fitness {
            healthy: self.is_healthy(now, mean_rate),
            warm: affinity.is_some_and(|affinity| self.is_warm(affinity)),
            started: now >= self.view.cold_until,
            score: affinity.map_or(0, |affinity| {
                hash::mix(affinity ^ self.view.incarnation_hash)
            }),
            spare_permille: (spare * 1_000.0) as u32,
        }
    }

    /// The average share of requests that the target failed, or refused with
    /// slots free.
    pub(crate) const fn failure_rate(&self) -> f64 {
        self.health.failure_rate()
    }

    /// Whether the target neither fails much more often than the pool, whose mean
    /// failure rate is `mean_rate`, nor takes much longer.
    pub(crate) fn is_healthy(&self, now: Time, mean_rate: f64) -> bool {
        self.failures < 2 && self.health.is_good(now, mean_rate)
    }

    /// Counts a permit for a request, and assumes that the target becomes warm
    /// for the request's affinity key.
    pub(crate) fn acquire(&mut self, now: Time, affinity: Option<u64>, standby: u32) {
        self.in_use += 1;
        self.rate.acquire(now, standby);
        if now < self.view.cold_until && self.view.cold_rate > 0.0 {
            let share = USABLE_COLD_SHARE / f64::from(2_u32.pow(standby.min(MAX_COLD_STANDBY)));
            let gap = Duration::from_secs_f64(1.0 / (self.view.cold_rate * share));
            self.next_cold = now + gap;
        }
        if let Some(affinity) = affinity {
            self.warm_keys.retain(|other| *other != affinity);
            if self.warm_keys.len() >= MAX_WARM_KEYS {
                self.warm_keys.remove(0);
            }
            self.warm_keys.push(affinity);
        }
    }

    /// Releases a permit and records how its request ended. `mean_secs` is the
    /// mean run time of similar requests in the pool.
    ///
    /// The target becomes warm for a new affinity key only if the request was
    /// answered, so other outcomes remove the key again.
    pub(crate) fn release(
        &mut self,
        now: Time,
        affinity: &PermitAffinity,
        report: &RequestReport,
        mean_secs: Option<f64>,
    ) {
        self.in_use = self.in_use.saturating_sub(1);
        if let Some(cold) = report.cold {
            self.view.cold_until = self.view.cold_until.max(now + cold);
        }
        if report.outcome != RequestOutcome::Answered && !affinity.warm {
            self.warm_keys.retain(|key| Some(*key) != affinity.key);
        }
        match report.outcome {
            RequestOutcome::Answered => self.record_success(now, report, mean_secs),
            RequestOutcome::Failed => self.health.record_failure(now),
            // A pause that the target asks for is no fault.
            RequestOutcome::Shed if report.notice.pause.is_some() => {}
            RequestOutcome::Shed => self.record_shed(now, report),
            RequestOutcome::Broken if self.failures == 0 => {
                // A single malformed response doesn't eject the target; a second
                // failure in a row does.
                self.failures = 1;
                self.health.record_failure(now);
            }
            RequestOutcome::Broken | RequestOutcome::Unreachable => self.eject(now),
            RequestOutcome::Replaced => self.view.accepting = false,
            RequestOutcome::Cancelled => {}
        }
    }

    fn record_success(&mut self, now: Time, report: &RequestReport, mean_secs: Option<f64>) {
        self.failures = 0;
        self.limit = (self.limit + 1).min(self.view.slots);
        let mean = mean_secs.filter(|mean| *mean > 0.0);
        let ratio = mean.map(|mean| report.took.as_secs_f64() / mean);
        self.health.record_success(now, ratio);
    }

    /// Records that the target refused a request: either other VMs send
    /// requests to it too, or it is faulty.
    fn record_shed(&mut self, now: Time, report: &RequestReport) {
        let is_full = report
            .load
            .is_some_and(|(running, _)| running >= self.view.slots);
        if is_full {
            self.limit = (self.limit / 2).max(1);
            self.paused_until = self.paused_until.max(now + SHED_PAUSE);
        } else {
            // The target reports free slots, so it isn't paused: the next
            // request may succeed.
            self.health.record_failure(now);
        }
    }

    /// Sends no requests for a time that doubles with each failure, and forgets
    /// which affinity keys the target was warm for.
    fn eject(&mut self, now: Time) {
        self.health.record_failure(now);
        self.failures = (self.failures.max(1) + 1).min(8);
        let ejection = MIN_EJECTION * 2_u32.pow(self.failures.saturating_sub(2));
        self.paused_until = now + ejection.min(MAX_EJECTION);
        self.warm_keys.clear();
    }
}

/// How well a target suits a request, compared field by field in order of
/// importance.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Fitness {
    healthy: bool,
    pub warm: bool,
    started: bool,
    /// The rendezvous score, the same on all VMs, so that an affinity key
    /// reaches the same targets again.
    score: u64,
    spare_permille: u32,
}
