//! The gateway's own responses, and when their callers may try again.

use crate::{GatewayResponse, notices::hold_reason, permits::NoPermit};
use hyper::StatusCode;
use pimento_notices::{Hold, MIN_DELAY, UNUSABLE_DELAY};
use std::time::Duration;

/// The response to a request that gets no permit. `fallback` is the response of
/// an earlier attempt; the time until a permit is available says more than that.
pub(crate) fn final_refusal(
    refusal: NoPermit,
    has_shards: bool,
    fallback: Option<GatewayResponse>,
) -> GatewayResponse {
    match (fallback, refusal) {
        (Some(GatewayResponse::NotRun { .. }), NoPermit::Full(_) | NoPermit::Paused(_))
        | (None, _) => no_permit(refusal, has_shards),
        (Some(fallback), _) => fallback,
    }
}

fn no_permit(refusal: NoPermit, has_shards: bool) -> GatewayResponse {
    let (retry_after, reason) = match refusal {
        NoPermit::Full(wait) => (with_jitter(wait), "all places are taken"),
        NoPermit::Paused(left) => (after_pause(left), "all targets pause"),
        NoPermit::Unusable if has_shards => {
            let wait = with_jitter(UNUSABLE_DELAY);
            (wait, "no target can be used")
        }
        NoPermit::Unusable => {
            let wait = with_jitter(UNUSABLE_DELAY);
            (wait, "the service has no targets")
        }
        NoPermit::ShutsDown => return not_run("this VM shuts down"),
    };
    GatewayResponse::NotRun {
        retry_after: Some(retry_after),
        reason,
    }
}

/// The response to a request that its target refused, which may have asked for
/// a pause.
pub(crate) fn shed(objective: Duration, pause: Option<Duration>) -> GatewayResponse {
    let retry_after = pause.map_or_else(|| with_jitter(objective / 4), after_pause);
    GatewayResponse::NotRun {
        retry_after: Some(retry_after),
        reason: "the target refused the request",
    }
}

/// The response to a request that was not sent.
pub(crate) fn not_run(reason: &'static str) -> GatewayResponse {
    GatewayResponse::NotRun {
        retry_after: Some(with_jitter(MIN_DELAY)),
        reason,
    }
}

/// The response to a request whose target wants no requests.
pub(crate) fn held(hold: Hold) -> GatewayResponse {
    let retry_after = match hold {
        Hold::Leaving => with_jitter(MIN_DELAY),
        Hold::Paused(left) => after_pause(left),
    };
    GatewayResponse::NotRun {
        retry_after: Some(retry_after),
        reason: hold_reason(hold),
    }
}

/// The response to a request that was sent and got no complete response.
pub(crate) const fn may_have_run(timeout: bool, reason: &'static str) -> GatewayResponse {
    GatewayResponse::MayHaveRun { timeout, reason }
}

/// The response to a request that crashes targets. It has no time after which the
/// caller may return, and a status after which callers don't repeat a request.
pub(crate) const fn poison() -> GatewayResponse {
    GatewayResponse::Refused {
        status: StatusCode::BAD_REQUEST,
        reason: "the request crashes its targets",
    }
}

fn with_jitter(wait: Duration) -> Duration {
    pimento_notices::with_jitter(wait, &mut rand::rng())
}

fn after_pause(left: Duration) -> Duration {
    pimento_notices::after_pause(left, &mut rand::rng())
}
