//! Acquiring a permit to run a request on a target.

use crate::gateway::Inner;
use pimento_broker::{Shard, ShardRefusal, ShardSearch};
use pimento_fleet::{AcquirePermit, PermitDecision, RefusalReason, ReleasePermit, RequestReport};
use pimento_log::{Event, event};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::Instant;

/// How long other requests skip a shard that has no usable target or whose
/// owner is unreachable.
const UNUSABLE_SHARD_BACKOFF: Duration = Duration::from_millis(200);

/// The maximum number of owners of a shard that a request tries while they are
/// unreachable.
const MAX_OWNERS_TRIED: usize = 3;

/// A permit that is requested or held; dropping it releases it.
#[derive(Debug)]
pub(crate) struct Permit {
    inner: Rc<Inner>,
    serial: u64,
    report: Option<RequestReport>,
}

impl Permit {
    /// Releases the permit with what is known about the attempt.
    pub(crate) fn release(mut self, report: RequestReport) {
        self.report = Some(report);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.inner.fleet.do_send(ReleasePermit {
            serial: self.serial,
            report: self.report.take().unwrap_or(RequestReport::CANCELLED),
        });
    }
}

/// The request that a permit is acquired for.
#[derive(Debug)]
pub(crate) struct PermitNeeds<'a> {
    pub service: &'a Arc<str>,
    /// The shards to try, most preferred first.
    pub shards: &'a [Shard],
    /// The hash of the affinity key.
    pub affinity: Option<u64>,
    pub priority: u32,
    /// When the response should arrive according to the latency objective.
    pub objective: Instant,
    pub deadline: Instant,
    /// How long a request that can no longer meet its objective may wait before
    /// it is refused.
    pub max_wait: Duration,
    /// The targets that earlier attempts used.
    pub tried: &'a [Arc<str>],
    /// The request's id, for logs.
    pub id: &'a str,
}

/// Why a request gets no permit.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NoPermit {
    /// All slots are in use, for about this long.
    Full(Duration),
    /// All targets want no requests, for this much longer.
    Paused(Duration),
    /// No target is usable.
    Unusable,
    /// The process shuts down, and exits before the request's deadline.
    ShutsDown,
}

impl NoPermit {
    /// The refusal that ends first.
    fn earliest(self, other: Self) -> Self {
        match (self.wait(), other.wait()) {
            (Some(wait), Some(other_wait)) if wait <= other_wait => self,
            (Some(_), None) => self,
            _ => other,
        }
    }

    /// When a permit may be available, if that is known.
    const fn wait(self) -> Option<Duration> {
        match self {
            Self::Full(wait) | Self::Paused(wait) => Some(wait),
            Self::Unusable | Self::ShutsDown => None,
        }
    }
}

/// Requests a permit from one shard after another until one is granted.
pub(crate) async fn acquire(
    inner: &Rc<Inner>,
    needs: &PermitNeeds<'_>,
) -> Result<(Arc<str>, Permit), NoPermit> {
    let mut refusal = NoPermit::Unusable;
    let mut search = ShardSearch::default();
    while let Some(shard) = next_shard(inner, needs, &mut search) {
        let preferred = search.is_preferred();
        let mut decision = request_permit(inner, needs, shard, preferred).await;
        for _ in 1..MAX_OWNERS_TRIED {
            if !matches!(decision, Err(RefusalReason::Unreachable))
                || Instant::now() >= needs.deadline
            {
                break;
            }
            // The unreachable owner is excluded, so another VM owns the shard now.
            decision = request_permit(inner, needs, shard, preferred).await;
        }
        let reason = match decision {
            Ok(granted) => return Ok(granted),
            Err(reason) => reason,
        };
        log_refusal(inner, needs, shard, reason);
        record_refusal(inner, needs, shard, preferred, reason);
        search.record_refusal(shard_refusal(needs, reason));
        match reason {
            RefusalReason::Full(wait) | RefusalReason::Foreign(wait) => {
                refusal = refusal.earliest(NoPermit::Full(wait));
            }
            RefusalReason::Paused(left) => refusal = refusal.earliest(NoPermit::Paused(left)),
            RefusalReason::Unusable | RefusalReason::Unreachable => {}
        }
        if Instant::now() >= needs.deadline {
            break;
        }
    }
    Err(refusal)
}

fn next_shard<'a>(
    inner: &Inner,
    needs: &PermitNeeds<'a>,
    search: &mut ShardSearch,
) -> Option<&'a Shard> {
    let backoff = inner.shard_backoff.borrow();
    search.next_shard(inner.clock.now(), needs.service, needs.shards, &backoff)
}

/// How a shard refused a permit. A retry doesn't use the targets of earlier
/// attempts, so for other requests the shard may have usable ones.
const fn shard_refusal(needs: &PermitNeeds<'_>, reason: RefusalReason) -> ShardRefusal {
    match reason {
        RefusalReason::Unusable if needs.tried.is_empty() => ShardRefusal::Unusable,
        RefusalReason::Unusable
        | RefusalReason::Full(_)
        | RefusalReason::Foreign(_)
        | RefusalReason::Paused(_)
        | RefusalReason::Unreachable => ShardRefusal::Busy,
    }
}

/// Records a refusal that other requests would get as well. If the preferred
/// shard was full, nothing is recorded, because its wait depends on the request.
fn record_refusal(
    inner: &Inner,
    needs: &PermitNeeds<'_>,
    shard: &Shard,
    preferred: bool,
    reason: RefusalReason,
) {
    let wait = match reason {
        RefusalReason::Full(wait) | RefusalReason::Foreign(wait) if !preferred => wait,
        RefusalReason::Paused(left) => left,
        RefusalReason::Unusable | RefusalReason::Unreachable => UNUSABLE_SHARD_BACKOFF,
        RefusalReason::Full(_) | RefusalReason::Foreign(_) => return,
    };
    let (now, refusal) = (inner.clock.now(), shard_refusal(needs, reason));
    let mut shard_backoff = inner.shard_backoff.borrow_mut();
    shard_backoff.record_refusal(now, needs.service, shard, refusal, wait);
}

/// Logs that a shard granted no permit.
fn log_refusal(inner: &Inner, needs: &PermitNeeds<'_>, shard: &Shard, reason: RefusalReason) {
    let (cause, wait) = match reason {
        RefusalReason::Full(wait) => ("all places are taken", Some(wait)),
        RefusalReason::Foreign(wait) => ("free places are kept for other objects", Some(wait)),
        RefusalReason::Paused(left) => ("all targets pause", Some(left)),
        RefusalReason::Unusable => ("no target can be used", None),
        RefusalReason::Unreachable => ("the granting VM did not answer", None),
    };
    if let Some(dropped) = inner.may_log(true) {
        event!(inner.log, Event::PlaceRefused, "id" => needs.id, "service" => &**needs.service,
            "domain" => &*shard.domain, "shard" => shard.index, "places" => shard.slots, "cause" => cause,
            "wait_ms" => wait.map(|w| w.as_millis() as u64), "dropped" => dropped);
    }
}

async fn request_permit(
    inner: &Rc<Inner>,
    needs: &PermitNeeds<'_>,
    shard: &Shard,
    preferred: bool,
) -> Result<(Arc<str>, Permit), RefusalReason> {
    let serial = inner.next_serial();
    let permit = Permit {
        inner: Rc::clone(inner),
        serial,
        report: None,
    };
    let now = Instant::now();
    let acquire = AcquirePermit {
        serial,
        service: Arc::clone(needs.service),
        domain: Arc::clone(&shard.domain),
        shard: shard.index,
        affinity: needs.affinity,
        preferred,
        priority: needs.priority,
        objective_ms: signed_ms(needs.objective, now),
        deadline: needs.deadline.saturating_duration_since(now),
        max_wait: needs.max_wait,
        tried: needs.tried.to_vec(),
    };
    match inner.fleet.send(acquire).await {
        Ok(PermitDecision::Grant(target)) => Ok((target, permit)),
        Ok(PermitDecision::Refuse(reason)) => Err(reason),
        Err(_) => Err(RefusalReason::Unreachable),
    }
}

/// Milliseconds until `at`; negative if it has passed.
fn signed_ms(at: Instant, now: Instant) -> i64 {
    let ahead = at.saturating_duration_since(now).as_millis() as i64;
    let behind = now.saturating_duration_since(at).as_millis() as i64;
    ahead - behind
}
