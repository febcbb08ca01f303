//! A second attempt beside a slow first one.

use crate::{
    answer::Answer,
    body::Body,
    hops::{self, Attempt, Lost, Sent},
};
use futures_util::future::{Either, select};
use pimento_core::{TargetId, VmId};
use pimento_steer::{Attempts, Hop};
use std::pin::pin;

/// Sends an attempt, and a hedge beside it if the service's rule calls for one.
///
/// The first answer wins and the other attempt is dropped, which closes its
/// connection. Only repeatable requests of the critical class are hedged, from
/// the retry budget; see `docs/design/retries.md`.
pub(crate) async fn send(
    first: &Attempt<'_>,
    body: Body,
    attempts: &mut Attempts,
) -> Result<Answer, Lost> {
    let limit = hops::patience(first, &body);
    let tried = attempts.tried_targets().to_vec();
    let spare = body.again();
    let sent = Sent::default();
    let mut main = pin!(first.send(body, &tried, limit, &sent));
    let (Some(delay), Some(spare)) = (attempts.hedge_after(), spare) else {
        return main.await.map_err(|failed| Lost::new(failed, first));
    };
    let delay = pin!(tokio::time::sleep(delay));
    if let Either::Left((result, _)) = select(main.as_mut(), delay).await {
        return result.map_err(|failed| Lost::new(failed, first));
    }
    let Some(second) = second(first, &sent, attempts).await else {
        return main.await.map_err(|failed| Lost::new(failed, first));
    };
    let avoid = avoid(&tried, &sent);
    let other = Sent::default();
    let hedge = pin!(second.send(spare, &avoid, limit, &other));
    match select(main, hedge).await {
        Either::Left((Ok(answer), _)) | Either::Right((Ok(answer), _)) => Ok(answer),
        Either::Left((Err(_), hedge)) => hedge.await.map_err(|e| Lost::new(e, &second)),
        Either::Right((Err(_), main)) => main.await.map_err(|e| Lost::new(e, first)),
    }
}

/// Finds a place for the hedge and takes it from the budget.
async fn second<'a>(
    first: &Attempt<'a>,
    sent: &Sent,
    attempts: &mut Attempts,
) -> Option<Attempt<'a>> {
    let shared = first.shared;
    let mut tried: Vec<VmId> = attempts.tried_vms().to_vec();
    match &first.routed.hop {
        Hop::Vm { vm, .. } => tried.push(vm.clone()),
        // A request that still waits here would only wait twice.
        Hop::Local if sent.borrow().is_none() => tried.push(shared.settings.vm.clone()),
        Hop::Local => {}
    }
    let routed = hops::route(shared, first.inbound, &tried).await?;
    let second = Attempt { routed, ..*first };
    let now = shared.clock.now();
    let mut budget = shared.budget.lock().expect("no holder panics");
    let allowed = attempts.try_hedge(now, second.routed.expected, &mut budget);
    allowed.then_some(second)
}

/// The targets that the hedge must avoid.
fn avoid(tried: &[TargetId], sent: &Sent) -> Vec<TargetId> {
    tried.iter().cloned().chain(sent.borrow().clone()).collect()
}
