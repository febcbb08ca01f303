//! A planned stop that cuts off no request in flight.

use crate::{node::BeginStop, shared::Shared};
use actix_web::dev::ServerHandle;
use std::{sync::atomic::Ordering, time::Duration};

/// The time between two looks at the requests in flight.
const POLL: Duration = Duration::from_millis(20);

/// The time in which the news of a planned stop reaches the entry VMs of all
/// failure domains; a look-up answered until then may be cached for its TTL.
const SPREAD: Duration = Duration::from_millis(250);

/// Serves until cached look-ups have expired and requests in flight have
/// ended; returns the number of requests that were cut off.
pub(crate) async fn run(shared: &Shared, servers: &[ServerHandle]) -> usize {
    shared.stopping.store(true, Ordering::Release);
    shared.node.do_send(BeginStop);
    let rules = shared.rules.load();
    let ttl = rules.services.iter().map(|s| s.ttl).max().unwrap_or(0);
    let longest = rules.services.iter().map(|s| s.timeout).max().unwrap_or(0);
    tokio::time::sleep(SPREAD + Duration::from_millis(u64::from(ttl))).await;
    let end = shared.clock.now() + Duration::from_millis(u64::from(longest));
    while shared.open.load(Ordering::Acquire) > 0 && shared.clock.now() < end {
        tokio::time::sleep(POLL).await;
    }
    let cut = shared.open.load(Ordering::Acquire);
    for server in servers {
        server.stop(true).await;
    }
    cut
}
