//! Shards that refused lately, and need not be asked again yet.

use crate::Shard;
use pimento_core::Time;
use std::{sync::Arc, time::Duration};

/// The longest that a shard is not asked because of one refusal.
const LONGEST: Duration = Duration::from_millis(250);

#[derive(Clone, Debug)]
struct Closure {
    service: Arc<str>,
    domain: Arc<str>,
    shard: u32,
    until: Time,
}

/// Shards that refused lately, and need not be asked again yet.
///
/// The load that it answers: a peak at which most requests are refused. Each of
/// them asks one shard after the other, so the VMs that grant get several times
/// as many asks as there are requests, until their links are full and they
/// don't answer any more.
#[derive(Clone, Debug, Default)]
pub struct ShardBackoff(Vec<Closure>);

impl ShardBackoff {
    /// Notes that a shard refused a request that any other one might have made.
    pub fn record_refusal(&mut self, now: Time, service: &Arc<str>, place: &Shard, wait: Duration) {
        self.0.retain(|c| c.until > now);
        if !self.is_active(now, service, place) {
            self.0.push(Closure {
                service: Arc::clone(service),
                domain: Arc::clone(&place.domain),
                shard: place.index,
                until: now + wait.min(LONGEST),
            });
        }
    }

    /// Whether a shard need not be asked yet.
    pub fn is_active(&self, now: Time, service: &Arc<str>, place: &Shard) -> bool {
        let same = |c: &Closure| {
            c.service == *service && c.domain == place.domain && c.shard == place.index
        };
        self.0.iter().any(|c| c.until > now && same(c))
    }
}
