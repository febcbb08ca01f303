//! Lookups of entry VMs, and the results that callers cache.

use crate::Args;
use awc::Client;
use pimento_core::ServiceId;
use serde::Deserialize;
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tokio::time::Instant;

const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// The body of a lookup response.
#[derive(Debug, Deserialize)]
struct Reply {
    ttl_ms: u64,
    entries: Vec<SocketAddr>,
}

/// The result of a lookup until its time to live (TTL) ends.
#[derive(Clone, Debug)]
pub(crate) struct CachedLookup {
    /// Entry VMs in order of preference.
    pub(crate) entries: Vec<SocketAddr>,
    expires_at: Instant,
}

impl CachedLookup {
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        now < self.expires_at
    }
}

/// Sends the lookup to the entry VMs in turn, starting at index `first`, until
/// one answers.
pub(crate) async fn look_up(
    client: &Client,
    args: &Args,
    service: &ServiceId,
    block: Option<IpAddr>,
    first: usize,
) -> Option<CachedLookup> {
    let callers = &args.callers;
    for i in 0..callers.len() {
        let entry = callers[(first + i) % callers.len()];
        if let Some(found) = look_up_at(client, entry, service, block).await {
            return Some(found);
        }
    }
    None
}

async fn look_up_at(
    client: &Client,
    entry: SocketAddr,
    service: &ServiceId,
    block: Option<IpAddr>,
) -> Option<CachedLookup> {
    let block = block.map_or(String::new(), |block| format!("&block={block}"));
    let url = format!("http://{entry}/v1/lookup?service={service}{block}");
    let sent_at = Instant::now();
    let mut response = client.get(url).timeout(LOOKUP_TIMEOUT).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let reply: Reply = response.json().await.ok()?;
    if reply.entries.is_empty() {
        return None;
    }
    Some(CachedLookup {
        entries: reply.entries,
        expires_at: sent_at + Duration::from_millis(reply.ttl_ms),
    })
}
