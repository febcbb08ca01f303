//! Getting a place on a target.

use crate::gateway::Inner;
use pimento_broker::Shard;
use pimento_fleet::{AcquirePermit, PermitDecision, RefusalReason, ReleasePermit, RequestReport};
use pimento_log::{Event, event};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::Instant;

/// The shards that a request tries.
const SHARDS: usize = 4;

/// How long a shard without any usable target is not asked by others.
const UNUSABLE: Duration = Duration::from_millis(200);

/// The granting VMs of a shard that a request asks while none answers.
const GRANTERS: usize = 3;

/// A place that a request asks for or has; it is given back when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    inner: Rc<Inner>,
    serial: u64,
    report: Option<RequestReport>,
}

impl Permit {
    /// Gives the place back with what is known of the request.
    pub(crate) fn finish(mut self, report: RequestReport) {
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

/// What a request needs.
#[derive(Debug)]
pub(crate) struct Need<'a> {
    pub service: &'a Arc<str>,
    pub places: &'a [Shard],
    pub object: Option<u64>,
    pub priority: u32,
    pub objective: Instant,
    pub deadline: Instant,
    pub patience: Duration,
    pub tried: &'a [Arc<str>],
    /// The request's id, for logs.
    pub id: &'a str,
}

/// Why a request gets no place.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NoPlace {
    /// All are taken for about so long.
    Full(Duration),
    /// No target can be used.
    Unusable,
}

/// Asks for one shard after the other until a place is granted.
pub(crate) async fn place(
    inner: &Rc<Inner>,
    need: &Need<'_>,
) -> Result<(Arc<str>, Permit), NoPlace> {
    let mut refusal = NoPlace::Unusable;
    for (i, place) in need.places.iter().take(SHARDS).enumerate() {
        let home = i == 0;
        if is_closed(inner, need, place, home) {
            continue;
        }
        let mut verdict = ask(inner, need, place, home).await;
        for _ in 1..GRANTERS {
            if !matches!(verdict, Err(RefusalReason::Unreachable))
                || Instant::now() >= need.deadline
            {
                break;
            }
            // Another VM grants in its stead.
            verdict = ask(inner, need, place, home).await;
        }
        if let Err(refused) = &verdict {
            note(inner, need, place, *refused);
            close(inner, need, place, home, *refused);
        }
        match verdict {
            Ok(granted) => return Ok(granted),
            Err(RefusalReason::Full(wait)) => refusal = sooner(refusal, wait),
            Err(RefusalReason::Unusable | RefusalReason::Unreachable) => {}
        }
        if Instant::now() >= need.deadline {
            break;
        }
    }
    Err(refusal)
}

/// Whether a shard refused others lately. One that may know the object is asked
/// all the same.
fn is_closed(inner: &Inner, need: &Need<'_>, place: &Shard, home: bool) -> bool {
    let now = inner.clock.now();
    !home && inner.closures.borrow().is_active(now, need.service, place)
}

/// Notes a refusal that others would get as well: it was not for a wait that
/// depends on the request.
fn close(inner: &Inner, need: &Need<'_>, place: &Shard, home: bool, refused: RefusalReason) {
    let wait = match refused {
        RefusalReason::Full(wait) if !home => wait,
        RefusalReason::Unusable | RefusalReason::Unreachable => UNUSABLE,
        RefusalReason::Full(_) => return,
    };
    let now = inner.clock.now();
    let mut closures = inner.closures.borrow_mut();
    closures.record_refusal(now, need.service, place, wait);
}

/// Logs that a failure domain granted no place.
fn note(inner: &Inner, need: &Need<'_>, place: &Shard, refused: RefusalReason) {
    let (cause, wait) = match refused {
        RefusalReason::Full(wait) => ("all places are taken", Some(wait)),
        RefusalReason::Unusable => ("no target can be used", None),
        RefusalReason::Unreachable => ("the granting VM did not answer", None),
    };
    if let Some(dropped) = inner.may_log(true) {
        event!(inner.log, Event::PlaceRefused, "id" => need.id, "service" => &**need.service,
            "domain" => &*place.domain, "shard" => place.index, "places" => place.slots, "cause" => cause,
            "wait_ms" => wait.map(|w| w.as_millis() as u64), "dropped" => dropped);
    }
}

const fn sooner(refusal: NoPlace, wait: Duration) -> NoPlace {
    match refusal {
        NoPlace::Full(other) if other.as_nanos() < wait.as_nanos() => refusal,
        _ => NoPlace::Full(wait),
    }
}

async fn ask(
    inner: &Rc<Inner>,
    need: &Need<'_>,
    place: &Shard,
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
        service: Arc::clone(need.service),
        domain: Arc::clone(&place.domain),
        shard: place.index,
        affinity: need.object,
        preferred,
        priority: need.priority,
        objective_ms: signed_ms(need.objective, now),
        deadline: need.deadline.saturating_duration_since(now),
        max_wait: need.patience,
        tried: need.tried.to_vec(),
    };
    match inner.fleet.send(acquire).await {
        Ok(PermitDecision::Grant(target)) => Ok((target, permit)),
        Ok(PermitDecision::Refuse(refused)) => Err(refused),
        Err(_) => Err(RefusalReason::Unreachable),
    }
}

/// The milliseconds until a moment, below zero if it has passed.
fn signed_ms(at: Instant, now: Instant) -> i64 {
    let ahead = at.saturating_duration_since(now).as_millis() as i64;
    let behind = now.saturating_duration_since(at).as_millis() as i64;
    ahead - behind
}
