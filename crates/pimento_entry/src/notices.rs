//! What this VM has heard from targets about themselves.
//!
//! Worker threads record a notice before the answer with it is passed on, and
//! ask right before they send a request; the node passes it to admission. See
//! `docs/design/notices.md`.

use crate::{answer::Answer, headers, metrics::Metrics, permit::Grant};
use actix_web::http::StatusCode;
use pimento_core::{Clock, ServiceId, TargetId, Time, Verdict};
use pimento_log::{Event, Logger, event};
use pimento_notices::{Hold, RetryAfter, TargetNotice, TargetNotices};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The notices of all targets, shared by the node and the worker threads.
#[derive(Debug)]
pub(crate) struct Notices {
    clock: Clock,
    log: Logger,
    inner: Mutex<TargetNotices>,
}

impl Notices {
    pub(crate) fn new(clock: Clock, log: Logger) -> Self {
        let inner = Mutex::default();
        Self { clock, log, inner }
    }

    /// Records what a target said in its answer to the request of a permit.
    ///
    /// Returns whether the target wants no requests now.
    pub(crate) fn record(&self, grant: &Grant, notice: TargetNotice) -> bool {
        if notice == TargetNotice::NONE {
            return false;
        }
        let (target, born) = (&grant.target, grant.incarnation);
        let name = Arc::from(target.as_str());
        let news = self.lock().record(self.clock.now(), &name, born, notice);
        if news.leaving {
            event!(self.log, Event::TargetLeaves, "target" => %target, "born" => born,
                "id" => grant.id);
        }
        if let Some(pause) = news.pause {
            event!(self.log, Event::TargetPaused, "target" => %target, "born" => born,
                "id" => grant.id, "pause_s" => pause.as_secs_f64());
        }
        true
    }

    /// Why no request may be sent to a target now; `None` if it may.
    pub(crate) fn hold(&self, now: Time, target: &TargetId, incarnation: u64) -> Option<Hold> {
        self.lock().hold(now, target, incarnation)
    }

    /// Forgets the pauses that have ended.
    pub(crate) fn forget_ended(&self) {
        let ended = self.lock().take_ended(self.clock.now());
        for ended in ended {
            event!(self.log, Event::TargetResumed, "target" => &*ended.target,
                "born" => ended.incarnation, "ended_s" => ended.ended_for.as_secs_f64());
        }
    }

    /// Forgets what the earlier incarnations of a target said.
    pub(crate) fn forget_others(&self, target: &TargetId, incarnation: u64) {
        self.lock().forget_others(target, incarnation);
    }

    fn lock(&self) -> MutexGuard<'_, TargetNotices> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a target says of itself in an answer. Only a refusal can ask for a
/// pause: otherwise `Retry-After` is a part of the answer to the caller.
pub(crate) fn read(answer: &Answer, service: &ServiceId, metrics: &Metrics) -> TargetNotice {
    let is_refusal = answer.status == StatusCode::SERVICE_UNAVAILABLE
        && answer.verdict() == Some(Verdict::NotRun);
    let retry_after = answer.header(headers::RETRY_AFTER).filter(|_| is_refusal);
    let pause = retry_after.and_then(|text| {
        let retry_after = RetryAfter::parse(text);
        metrics.record_pause(service, retry_after);
        retry_after.pause()
    });
    TargetNotice {
        leaving: answer.leaving,
        pause,
        limit: None,
    }
}
