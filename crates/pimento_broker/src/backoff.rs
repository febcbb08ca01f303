//! Backoff from shards that recently refused a request.

use crate::{Shard, ShardRefusal};
use pimento_core::Time;
use std::{sync::Arc, time::Duration};

/// The longest time for which one refusal keeps requests away from a shard.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

#[derive(Clone, Debug)]
struct RefusedShard {
    service: Arc<str>,
    domain: Arc<str>,
    shard: u32,
    refusal: ShardRefusal,
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
    pub fn record_refusal(
        &mut self,
        now: Time,
        service: &Arc<str>,
        shard: &Shard,
        refusal: ShardRefusal,
        wait: Duration,
    ) {
        self.0.retain(|r| r.until > now);
        if self.active(now, service, shard) == Some(refusal) {
            return;
        }
        self.0.retain(|r| !r.is_of(service, shard));
        self.0.push(RefusedShard {
            service: Arc::clone(service),
            domain: Arc::clone(&shard.domain),
            shard: shard.index,
            refusal,
            until: now + wait.min(MAX_BACKOFF),
        });
    }

    /// How the shard refused others, if requests should skip it for now.
    pub fn active(&self, now: Time, service: &Arc<str>, shard: &Shard) -> Option<ShardRefusal> {
        let mut refused = self.0.iter();
        let active = refused.find(|r| r.until > now && r.is_of(service, shard));
        active.map(|r| r.refusal)
    }
}

impl RefusedShard {
    fn is_of(&self, service: &Arc<str>, shard: &Shard) -> bool {
        self.service == *service && self.domain == shard.domain && self.shard == shard.index
    }
}
