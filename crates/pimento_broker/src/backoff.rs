//! Backoff from shards that recently refused a request.

use crate::Shard;
use pimento_core::Time;
use std::{sync::Arc, time::Duration};

/// The longest time for which one refusal keeps requests away from a shard.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

#[derive(Clone, Debug)]
struct RefusedShard {
    service: Arc<str>,
    domain: Arc<str>,
    shard: u32,
    until: Time,
}

/// Remembers the shards that recently refused a request, so that further
/// requests skip them for a moment.
///
/// During a load peak most requests are refused, and each one tries several
/// shards in turn. Without backoff, shard owners receive several permit requests
/// for each request, until their links are full and they stop answering.
#[derive(Clone, Debug, Default)]
pub struct ShardBackoff(Vec<RefusedShard>);

impl ShardBackoff {
    /// Records a refusal that any other request would have received as well;
    /// the backoff lasts for `wait`, up to an upper limit.
    pub fn record_refusal(&mut self, now: Time, service: &Arc<str>, shard: &Shard, wait: Duration) {
        self.0.retain(|r| r.until > now);
        if !self.is_active(now, service, shard) {
            self.0.push(RefusedShard {
                service: Arc::clone(service),
                domain: Arc::clone(&shard.domain),
                shard: shard.index,
                until: now + wait.min(MAX_BACKOFF),
            });
        }
    }

    /// Whether requests should skip the shard for now.
    pub fn is_active(&self, now: Time, service: &Arc<str>, shard: &Shard) -> bool {
        let is_same = |r: &RefusedShard| {
            r.service == *service && r.domain == shard.domain && r.shard == shard.index
        };
        self.0.iter().any(|r| r.until > now && is_same(r))
    }
}
