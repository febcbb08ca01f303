//! One target whose lease is held, and the exact count of the slots and
//! connections in use.

use crate::{AdmissionConfig, LoadReport, TargetView, health::Health, limit::Limit};
use pimento_core::prelude::*;
use pimento_lease::TargetState;

/// A target whose lease this VM holds.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The state that the lease reports.
    pub(crate) view: TargetView,
    /// Slots in use by requests that this VM started.
    pub(crate) used: u32,
    /// Open connections of this VM to the target.
    pub(crate) open_connections: u32,
    pub(crate) limit: Limit,
    pub(crate) health: Health,
    /// When slow start began; `None` once the target runs at full capacity.
    ramp_start: Option<Time>,
    /// The maximum number of used slots since the newest report, and between
    /// that report and the one before.
    peaks: (u32, u32),
}

impl Target {
    pub(crate) fn new(now: Time, view: TargetView, config: &AdmissionConfig) -> Self {
        let ramp_start = (view.state == TargetState::Cold).then_some(now);
        Self {
            limit: Limit::new(view.slots, config),
            view,
            used: 0,
            open_connections: 0,
            health: Health::default(),
            ramp_start,
            peaks: (0, 0),
        }
    }

    /// Replaces the reported state of the target.
    pub(crate) fn update(&mut self, now: Time, view: TargetView, config: &AdmissionConfig) {
        let cold = view.state == TargetState::Cold;
        if cold && self.view.state != TargetState::Cold {
            self.ramp_start = Some(now);
        }
        if view.slots != self.view.slots {
            self.limit = Limit::new(view.slots, config);
        }
        if view.report != self.view.report {
            self.peaks = (self.used, self.peaks.0);
        }
        self.view = view;
        if !cold && self.ramp_slots(now, config) >= self.view.slots {
            self.ramp_start = None;
        }
    }

    /// The slots of the target before any limits and load reports apply.
    fn full_slots(&self) -> u32 {
        self.view.slots.min(self.view.connections)
    }

    /// The number of slots that slow start allows.
    fn ramp_slots(&self, now: Time, config: &AdmissionConfig) -> u32 {
        let Some(start) = self.ramp_start else {
            return u32::MAX;
        };
        let steps = now.since(start).as_micros() / config.ramp_interval.as_micros().max(1);
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        steps.saturating_add(1)
    }

    /// The number of slots that others use, according to the target's report if
    /// it is still valid.
    pub(crate) fn foreign_slots(&self, now: Time, config: &AdmissionConfig) -> u32 {
        let fresh = |report: &LoadReport| now.since(report.received_at) <= config.report_ttl;
        let Some(report) = self.view.report.filter(fresh) else {
            return 0;
        };
        // Reports lag behind, so the reported load is compared with the maximum
        // number of slots that were in use recently.
        let own_peak = self.peaks.0.max(self.peaks.1) + self.view.inherited;
        report.load.saturating_sub(own_peak)
    }

    /// Whether the target may get new requests.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.is_healthy(now) && now >= self.view.paused_until
    }

    /// When the target may get new requests again, if it pauses.
    pub(crate) fn pause_end(&self, now: Time) -> Option<Time> {
        let is_paused = self.is_healthy(now) && now < self.view.paused_until;
        is_paused.then_some(self.view.paused_until)
    }

    /// Whether the target is neither draining nor ejected.
    fn is_healthy(&self, now: Time) -> bool {
        self.view.state != TargetState::Draining && !self.health.is_ejected(now)
    }

    /// The number of slots that are offered to requests of this VM.
    pub(crate) fn offered_slots(
        &self,
        now: Time,
        trust_reports: bool,
        config: &AdmissionConfig,
    ) -> u32 {
        if !self.is_usable(now) {
            return 0;
        }
        let foreign = if trust_reports {
            self.foreign_slots(now, config)
        } else {
            0
        };
        let remaining = self.full_slots().saturating_sub(self.view.inherited);
        // At least one slot stays available, so that a wrong report can't
        // starve the target.
        let available = remaining.saturating_sub(foreign).max(remaining.min(1));
        available
            .min(self.limit.slots(now))
            .min(self.ramp_slots(now, config))
    }

    pub(crate) fn take_slot(&mut self) {
        self.used += 1;
        self.peaks.0 = self.peaks.0.max(self.used);
    }

    /// The next time at which the number of offered slots rises without any
    /// event.
    pub(crate) fn next_wake(&self, now: Time, config: &AdmissionConfig) -> Option<Time> {
        let next_step = self
            .ramp_start
            .map(|start| start + config.ramp_interval * self.ramp_slots(now, config));
        let pauses = [
            next_step,
            self.limit.pause_end(now),
            self.pause_end(now),
            self.health.ejection_end(now),
        ];
        pauses.into_iter().flatten().min()
    }
}
