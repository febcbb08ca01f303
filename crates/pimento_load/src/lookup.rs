//! Look-ups and their cache.

use crate::Args;
use awc::Client;
use pimento_core::ServiceId;
use serde::Deserialize;
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tokio::time::Instant;

/// The longest wait for the answer to a look-up.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The answer to a look-up.
#[derive(Debug, Deserialize)]
struct Reply {
    ttl_ms: u64,
    entries: Vec<SocketAddr>,
}

/// What a caller remembers of a service.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    /// Entry VMs in the order of preference.
    pub(crate) entries: Vec<SocketAddr>,
    until: Instant,
}

impl Known {
    /// Whether the look-up may still be used.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        now < self.until
    }
}

/// Asks the entry VMs in turn, starting at a given one, until one answers.
pub(crate) async fn ask(
    client: &Client,
    args: &Args,
    service: &ServiceId,
    block: Option<IpAddr>,
    first: usize,
) -> Option<Known> {
    let callers = &args.callers;
    for i in 0..callers.len() {
        let caller = callers[(first + i) % callers.len()];
        if let Some(known) = ask_one(client, caller, service, block).await {
            return Some(known);
        }
    }
    None
}

async fn ask_one(
    client: &Client,
    caller: SocketAddr,
    service: &ServiceId,
    block: Option<IpAddr>,
) -> Option<Known> {
    let block = block.map_or(String::new(), |block| format!("&block={block}"));
    let url = format!("http://{caller}/v1/lookup?service={service}{block}");
    let asked = Instant::now();
    let mut response = client.get(url).timeout(TIMEOUT).send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let reply: Reply = response.json().await.ok()?;
    if reply.entries.is_empty() {
        return None;
    }
    Some(Known {
        entries: reply.entries,
        until: asked + Duration::from_millis(reply.ttl_ms),
    })
}
