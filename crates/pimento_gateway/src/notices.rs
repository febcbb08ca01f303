//! What this VM heard from targets about themselves, and the reports on
//! attempts for shard owners.
//!
//! The shard owner may not know yet, or be cut off, so each VM follows what it
//! has heard itself. See `docs/design/notices.md`.

use crate::{
    attempt::{LoadReport, Outcome},
    gateway::Inner,
};
use pimento_broker::RequestOutcome;
use pimento_fleet::{RequestReport, TargetInfo};
use pimento_log::{Event, event};
use pimento_notices::{Hold, RequestRate, TargetNotice};
use std::time::Duration;

impl Inner {
    /// Records what a target said of itself in its response to a request.
    pub(crate) fn record_notice(&self, target: &TargetInfo, request_id: &str, report: &LoadReport) {
        if let Some(retry_after) = report.retry_after {
            self.metrics.record_pause(&target.service, retry_after);
        }
        let (now, notice) = (self.clock.now(), report.notice());
        let mut notices = self.notices.borrow_mut();
        let news = notices.record(now, &target.id, target.incarnation, notice);
        self.log_notice(target, request_id, news);
    }

    fn log_notice(&self, target: &TargetInfo, request_id: &str, news: TargetNotice) {
        let (id, born) = (&*target.id, target.incarnation);
        if news.leaving
            && let Some(dropped) = self.may_log(true)
        {
            event!(self.log, Event::TargetLeaves, "target" => id, "born" => born,
                "id" => request_id, "dropped" => dropped);
        }
        if let Some(pause) = news.pause
            && let Some(dropped) = self.may_log(true)
        {
            event!(self.log, Event::TargetPaused, "target" => id, "born" => born,
                "id" => request_id, "pause_s" => pause.as_secs_f64(), "dropped" => dropped);
        }
        if let Some(limit) = news.limit
            && let Some(dropped) = self.may_log(true)
        {
            let per_second = limit.rate.map(RequestRate::per_second);
            event!(self.log, Event::TargetLimited, "target" => id, "born" => born,
                "id" => request_id, "per_second" => per_second, "dropped" => dropped);
        }
    }

    /// Why no request may be sent to a target now; `None` if it may.
    pub(crate) fn hold(&self, target: &TargetInfo) -> Option<Hold> {
        let notices = self.notices.borrow();
        notices.hold(self.clock.now(), &target.id, target.incarnation)
    }

    /// Forgets pauses that have ended, and what earlier incarnations said.
    pub(crate) fn forget_old_notices(&self) {
        let mut notices = self.notices.borrow_mut();
        if notices.is_empty() {
            return;
        }
        for ended in notices.take_ended(self.clock.now()) {
            if let Some(dropped) = self.may_log(true) {
                event!(self.log, Event::TargetResumed, "target" => &*ended.target,
                    "born" => ended.incarnation, "ended_s" => ended.ended_for.as_secs_f64(),
                    "dropped" => dropped);
            }
        }
        for target in self.shared.load().targets.all() {
            notices.forget_others(&target.id, target.incarnation);
        }
    }

    /// Builds the report about an attempt for the shard owner.
    ///
    /// It repeats all that this VM knows of the target, so that a new shard owner
    /// learns it from the next attempt.
    pub(crate) fn request_report(
        &self,
        target: &TargetInfo,
        outcome: &Outcome,
        load_report: &LoadReport,
        duration: Duration,
    ) -> RequestReport {
        let notices = self.notices.borrow();
        let mut notice = notices.notice(self.clock.now(), &target.id, target.incarnation);
        // Another VM may have heard a limit that this response ends.
        notice.limit = notice.limit.or(load_report.limit);
        RequestReport {
            outcome: request_outcome(outcome, load_report.notice()),
            took: duration,
            load: load_report.load,
            cold: load_report.cold,
            notice,
        }
    }
}

/// The outcome of an attempt as the shard owner sees it.
const fn request_outcome(outcome: &Outcome, notice: TargetNotice) -> RequestOutcome {
    match outcome {
        Outcome::Answered(_) if notice.pause.is_some() => RequestOutcome::Shed,
        Outcome::Answered(response) if response.is_server_error() => RequestOutcome::Failed,
        Outcome::Answered(_) => RequestOutcome::Answered,
        Outcome::Shed => RequestOutcome::Shed,
        Outcome::Replaced => RequestOutcome::Replaced,
        Outcome::NotSent(_) => RequestOutcome::Unreachable,
        Outcome::Broken(_) => RequestOutcome::Broken,
        Outcome::Timeout(true) => RequestOutcome::Failed,
        Outcome::Timeout(false) | Outcome::Held(_) => RequestOutcome::Cancelled,
    }
}

/// The reason that a request was not sent to a target.
pub(crate) const fn hold_reason(hold: Hold) -> &'static str {
    match hold {
        Hold::Leaving => "the target is leaving",
        Hold::Paused(_) => "the target is paused",
    }
}
