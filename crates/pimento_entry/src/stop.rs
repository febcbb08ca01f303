//! Graceful shutdown: requests in flight are completed.

use crate::{node::BeginStop, shared::Shared};
use actix_web::dev::ServerHandle;
use pimento_core::Time;
use std::{sync::atomic::Ordering, time::Duration};

/// Interval between checks for requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the leave message to reach the entry VMs of all failure domains.
/// Look-ups that are answered before may be cached for their TTL.
const LEAVE_PROPAGATION: Duration = Duration::from_millis(250);

/// Keeps serving until cached look-ups have expired and the requests in flight
/// have ended. Returns the number of requests that were cut off.
pub(crate) async fn run(shared: &Shared, servers: &[ServerHandle]) -> usize {
    shared.stopping.store(true, Ordering::Release);
    shared.node.do_send(BeginStop);
    let rules = shared.rules.load();
    let max_ttl = rules.services.iter().map(|s| s.ttl).max().unwrap_or(0);
    let max_timeout = rules.services.iter().map(|s| s.timeout).max().unwrap_or(0);
    tokio::time::sleep(LEAVE_PROPAGATION + Duration::from_millis(u64::from(max_ttl))).await;
    let deadline = shared.clock.now() + Duration::from_millis(u64::from(max_timeout));
    shared.set_last_deadline(deadline);
    wait_for_requests(shared, deadline).await;
    // Kept connections may still send requests until their server has stopped.
    shared.set_last_deadline(Time::ZERO);
    wait_for_requests(shared, deadline).await;
    let cut_off = shared.open_requests();
    for server in servers {
        server.stop(true).await;
    }
    cut_off
}

async fn wait_for_requests(shared: &Shared, deadline: Time) {
    while shared.open_requests() > 0 && shared.clock.now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
