//! One held target and the exact count of what it runs.

use crate::{AdmissionConfig, LoadReport, TargetView, health::Health, limit::Limit};
use pimento_core::prelude::*;
use pimento_lease::TargetState;

/// A held target.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// What the lease says of it.
    pub(crate) view: TargetView,
    /// Slots in use by requests of this holder.
    pub(crate) used: u32,
    /// Open connections of this holder.
    pub(crate) open: u32,
    /// The adaptive limit.
    pub(crate) limit: Limit,
    /// Its recent answers.
    pub(crate) health: Health,
    /// The start of the slow start, while it lasts.
    ramp: Option<Time>,
    /// The most slots in use since the newest report, and in the report before.
    peaks: (u32, u32),
}

impl Target {
    pub(crate) fn new(now: Time, view: TargetView, config: &AdmissionConfig) -> Self {
        let ramp = (view.state == TargetState::Cold).then_some(now);
        Self {
            limit: Limit::new(view.slots, config),
            view,
            used: 0,
            open: 0,
            health: Health::default(),
            ramp,
            peaks: (0, 0),
        }
    }

    /// Takes over what the target now says.
    pub(crate) fn update(&mut self, now: Time, view: TargetView, config: &AdmissionConfig) {
        let cold = view.state == TargetState::Cold;
        if cold && self.view.state != TargetState::Cold {
            self.ramp = Some(now);
        }
        if view.slots != self.view.slots {
            self.limit = Limit::new(view.slots, config);
        }
        if view.report != self.view.report {
            self.peaks = (self.used, self.peaks.0);
        }
        self.view = view;
        if !cold && self.ramped(now, config) >= self.view.slots {
            self.ramp = None;
        }
    }

    /// The slots that neither limits nor reports lower.
    fn base(&self) -> u32 {
        self.view.slots.min(self.view.connections)
    }

    /// The slots that the slow start allows.
    fn ramped(&self, now: Time, config: &AdmissionConfig) -> u32 {
        let Some(from) = self.ramp else {
            return u32::MAX;
        };
        let steps = now.since(from).as_micros() / config.ramp_interval.as_micros().max(1);
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        steps.saturating_add(1)
    }

    /// Slots that someone else uses by the target's fresh report.
    pub(crate) fn foreign(&self, now: Time, config: &AdmissionConfig) -> u32 {
        let fresh = |report: &LoadReport| now.since(report.received_at) <= config.report_ttl;
        let Some(report) = self.view.report.filter(fresh) else {
            return 0;
        };
        // The report lags, so it is compared with the most that was in use.
        let own = self.peaks.0.max(self.peaks.1) + self.view.inherited;
        report.load.saturating_sub(own)
    }

    /// Whether the target may be given anything now.
    pub(crate) fn usable(&self, now: Time) -> bool {
        self.view.state != TargetState::Draining && !self.health.ejected(now)
    }

    /// The slots that are offered to requests of this holder.
    pub(crate) fn offered(&self, now: Time, trust: bool, config: &AdmissionConfig) -> u32 {
        if !self.usable(now) {
            return 0;
        }
        let foreign = if trust { self.foreign(now, config) } else { 0 };
        let left = self.base().saturating_sub(self.view.inherited);
        // One slot stays, so that a false report can't starve the target.
        let told = left.saturating_sub(foreign).max(left.min(1));
        told.min(self.limit.get(now)).min(self.ramped(now, config))
    }

    /// Puts a slot in use.
    pub(crate) fn take(&mut self) {
        self.used += 1;
        self.peaks.0 = self.peaks.0.max(self.used);
    }

    /// The next time at which more is offered without any event.
    pub(crate) fn wake(&self, now: Time, config: &AdmissionConfig) -> Option<Time> {
        let ramp = self
            .ramp
            .map(|from| from + config.ramp_interval * self.ramped(now, config));
        let pauses = [ramp, self.limit.wake(now), self.health.wake(now)];
        pauses.into_iter().flatten().min()
    }
}
