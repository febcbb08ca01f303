//! Hedged requests: a second, concurrent attempt if the first one is slow.

use crate::{
    answer::Answer,
    attempt::{self, Attempt, FailedAttempt, SentTarget},
    body::Body,
};
use futures_util::future::{Either, select};
use pimento_core::{TargetId, VmId};
use pimento_steer::{Attempts, Hop};
use std::pin::pin;

/// Sends an attempt. If the service's rules enable hedging and no response
/// arrives within the hedge delay, sends a second attempt concurrently.
///
/// The first response wins. The other attempt is dropped, which closes its
/// connection. Only repeatable requests of the critical class are hedged, and
/// each hedge is charged to the retry budget; see `docs/design/retries.md`.
pub(crate) async fn send(
    first: &Attempt<'_>,
    body: Body,
    attempts: &mut Attempts,
) -> Result<Answer, FailedAttempt> {
    let timeout = attempt::head_timeout(first, &body);
    let tried = attempts.tried_targets().to_vec();
    let hedge_body = body.try_clone();
    let sent = SentTarget::default();
    let mut primary = pin!(first.send(body, &tried, timeout, &sent));
    let (Some(delay), Some(hedge_body)) = (attempts.hedge_after(), hedge_body) else {
        return primary
            .await
            .map_err(|error| FailedAttempt::new(error, first));
    };
    let delay = pin!(tokio::time::sleep(delay));
    if let Either::Left((result, _)) = select(primary.as_mut(), delay).await {
        return result.map_err(|error| FailedAttempt::new(error, first));
    }
    let Some(second) = plan_hedge(first, &sent, attempts).await else {
        return primary
            .await
            .map_err(|error| FailedAttempt::new(error, first));
    };
    let avoid = avoided_targets(&tried, &sent);
    let hedge_sent = SentTarget::default();
    let hedge = pin!(second.send(hedge_body, &avoid, timeout, &hedge_sent));
    match select(primary, hedge).await {
        Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(_), hedge)) => hedge
            .await
            .map_err(|error| FailedAttempt::new(error, &second)),
        Either::Right((Err(_), primary)) => primary
            .await
            .map_err(|error| FailedAttempt::new(error, first)),
    }
}

/// Routes the hedge and charges it to the retry budget.
async fn plan_hedge<'a>(
    first: &Attempt<'a>,
    sent: &SentTarget,
    attempts: &mut Attempts,
) -> Option<Attempt<'a>> {
    let shared = first.shared;
    let mut tried: Vec<VmId> = attempts.tried_vms().to_vec();
    match &first.routed.hop {
        Hop::Vm { vm, .. } => tried.push(vm.clone()),
        // While the first attempt is queued here, a hedge would only queue a
        // second time.
        Hop::Local if sent.borrow().is_none() => tried.push(shared.settings.vm.clone()),
        Hop::Local => {}
    }
    let routed = attempt::route(shared, first.inbound, &tried).await?;
    let second = Attempt { routed, ..*first };
    let now = shared.clock.now();
    let mut budget = shared.retry_budget.lock().expect("no holder panics");
    let may_hedge = attempts.try_hedge(now, second.routed.expected, &mut budget);
    may_hedge.then_some(second)
}

/// The targets that the hedge must not use.
fn avoided_targets(tried: &[TargetId], sent: &SentTarget) -> Vec<TargetId> {
    tried.iter().cloned().chain(sent.borrow().clone()).collect()
}
