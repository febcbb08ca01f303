//! The places of one target.

use crate::{RequestOutcome, RequestReport, pace::Pace};
use pimento_core::{Time, hash};
use std::{sync::Arc, time::Duration};

/// The objects that a target is taken to remember.
const WARM: usize = 24;

/// The first pause after a target broke off or could not be reached; each
/// further failure doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// The longest such pause.
const LAST_PAUSE: Duration = Duration::from_secs(5);
/// How long a target that refused gets nothing: about the time after which one
/// of its requests has ended.
const SHED_PAUSE: Duration = Duration::from_millis(100);
/// The weight of a new ending in the share of failures.
const FAILURE_GAIN: f64 = 0.15;
/// How much more than its like a target must fail so that others go first.
const DOUBTED: f64 = 0.25;
/// How much slower than its like a target must be so that others go first.
const SLOW: f64 = 2.5;
/// The part of the rate that a cold target bears which is used, since two VMs
/// may grant its places while they disagree on who does.
const COLD_SHARE: f64 = 0.8;

/// What a broker knows of a target from others.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The name.
    pub id: Arc<str>,
    /// A number of the lifetime, the same on all VMs.
    pub incarnation_hash: u64,
    /// The service.
    pub service: Arc<str>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// The shard of the service's targets there that it is in.
    pub shard: u32,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// Whether it may get requests.
    pub accepting: bool,
    /// Until when it is cold.
    pub cold_until: Time,
    /// The requests a second that it bears while cold.
    pub cold_rate: f64,
}

/// What a target gave a place to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    /// What the request is about.
    pub affinity: Option<u64>,
    /// Whether the target knew the object.
    pub warm: bool,
}

/// The deputy up to which VMs grant places on cold targets: each one gets half
/// of the rate of the one before it.
const MAX_COLD_STANDBY: u32 = 2;

/// The places of one target.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub view: TargetView,
    /// The places that are taken.
    pub running: u32,
    /// The places that are offered; at most those that the target has.
    limit: u32,
    /// The objects seen, oldest first.
    warm: Vec<u64>,
    /// The failures in a row; one that could not be reached counts as two.
    failures: u32,
    /// Until when it gets nothing.
    paused: Time,
    /// The share of requests that it failed or refused with places free.
    doubt: f64,
    /// Run times in relation to those of its like.
    ratio: Pace,
    /// When the next request may be sent while it is cold.
    next_cold: Time,
}

impl Target {
    pub(crate) fn new(view: TargetView) -> Self {
        Self {
            limit: view.slots,
            view,
            running: 0,
            warm: Vec::new(),
            failures: 0,
            paused: Time::ZERO,
            doubt: 0.0,
            ratio: Pace::default(),
            next_cold: Time::ZERO,
        }
    }

    /// Takes a newer view of the same lifetime.
    pub(crate) fn set(&mut self, view: TargetView) {
        self.limit = self.limit.max(1).min(view.slots);
        self.view = view;
    }

    /// Whether it may get a request at all.
    pub(crate) const fn open(&self) -> bool {
        self.view.accepting && self.view.slots > 0
    }

    /// Whether it is known to be out of order.
    pub(crate) fn broken(&self, now: Time) -> bool {
        self.failures > 1 && now < self.paused
    }

    /// Whether it may get a request now.
    ///
    /// A cold target gets less from a VM that grants in the stead of others,
    /// since they may still do so.
    pub(crate) fn free(&self, now: Time, standby: u32) -> bool {
        let limit = if self.failures > 1 { 1 } else { self.limit };
        let early = now < self.next_cold || standby > MAX_COLD_STANDBY;
        let cold = now < self.view.cold_until && early;
        self.open() && now >= self.paused && self.running < limit && !cold
    }

    pub(crate) fn is_warm(&self, affinity: u64) -> bool {
        self.warm.contains(&affinity)
    }

    /// How well it suits a request, with the mean doubt of its like; the
    /// greatest is chosen.
    pub(crate) fn fitness(&self, now: Time, affinity: Option<u64>, doubt: f64) -> Fitness {
        let spare = f64::from(self.limit - self.running.min(self.limit));
        let spare = spare / f64::from(self.view.slots.max(1));
        Fitness {
            sound: self.sound(doubt),
            warm: affinity.is_some_and(|affinity| self.is_warm(affinity)),
            started: now >= self.view.cold_until,
            lot: affinity.map_or(0, |affinity| {
                hash::mix(affinity ^ self.view.incarnation_hash)
            }),
            spare: (spare * 1_000.0) as u32,
        }
    }

    /// The share of requests that it failed or refused with places free.
    pub(crate) const fn doubt(&self) -> f64 {
        self.doubt
    }

    /// Whether it neither fails more than its like, whose mean doubt is given,
    /// nor is slower.
    pub(crate) fn sound(&self, doubt: f64) -> bool {
        let quick = self.ratio.secs().is_none_or(|ratio| ratio < SLOW);
        self.failures < 2 && self.doubt < doubt + DOUBTED && quick
    }

    /// Gives a place to a request.
    pub(crate) fn begin(&mut self, now: Time, affinity: Option<u64>, standby: u32) {
        self.running += 1;
        if now < self.view.cold_until && self.view.cold_rate > 0.0 {
            let share = COLD_SHARE / f64::from(2_u32.pow(standby.min(MAX_COLD_STANDBY)));
            let gap = Duration::from_secs_f64(1.0 / (self.view.cold_rate * share));
            self.next_cold = now + gap;
        }
        if let Some(affinity) = affinity {
            self.warm.retain(|other| *other != affinity);
            if self.warm.len() >= WARM {
                self.warm.remove(0);
            }
            self.warm.push(affinity);
        }
    }

    /// Takes a place back.
    ///
    /// An object that it didn't know before is known only once it has run.
    pub(crate) fn end(
        &mut self,
        now: Time,
        place: &Held,
        report: &RequestReport,
        like: Option<f64>,
    ) {
        self.running = self.running.saturating_sub(1);
        if let Some(cold) = report.cold {
            self.view.cold_until = self.view.cold_until.max(now + cold);
        }
        if report.outcome != RequestOutcome::Answered && !place.warm {
            self.warm.retain(|known| Some(*known) != place.affinity);
        }
        match report.outcome {
            RequestOutcome::Answered => self.succeed(report, like),
            RequestOutcome::Failed => self.fail(1.0),
            RequestOutcome::Shed => self.shed(now, report),
            RequestOutcome::Broken if self.failures == 0 => {
                // One answer may be spoilt; the next one tells.
                self.failures = 1;
                self.fail(1.0);
            }
            RequestOutcome::Broken | RequestOutcome::Unreachable => self.break_off(now),
            RequestOutcome::Replaced => self.view.accepting = false,
            RequestOutcome::Cancelled => {}
        }
    }

    fn succeed(&mut self, report: &RequestReport, like: Option<f64>) {
        self.failures = 0;
        self.fail(0.0);
        self.limit = (self.limit + 1).min(self.view.slots);
        if let Some(like) = like.filter(|like| *like > 0.0) {
            let ratio = report.took.as_secs_f64() / like;
            self.ratio.note(Duration::from_secs_f64(ratio));
        }
    }

    fn fail(&mut self, value: f64) {
        self.doubt += FAILURE_GAIN * (value - self.doubt);
    }

    /// Others send to it too, or it is out of order.
    fn shed(&mut self, now: Time, report: &RequestReport) {
        let full = report
            .load
            .is_some_and(|(running, _)| running >= self.view.slots);
        if full {
            self.limit = (self.limit / 2).max(1);
            self.paused = self.paused.max(now + SHED_PAUSE);
        } else {
            // It says that it has room: the next request may fare better.
            self.fail(1.0);
        }
    }

    fn break_off(&mut self, now: Time) {
        self.fail(1.0);
        self.failures = (self.failures.max(1) + 1).min(8);
        let pause = FIRST_PAUSE * 2_u32.pow(self.failures.saturating_sub(2));
        self.paused = now + pause.min(LAST_PAUSE);
        self.warm.clear();
    }
}

/// How well a target suits a request: what matters more comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Fitness {
    sound: bool,
    pub warm: bool,
    started: bool,
    /// The same on all VMs, so that an object meets the same targets again.
    lot: u64,
    spare: u32,
}
