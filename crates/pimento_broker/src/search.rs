//! Which shards a request asks for a permit, one after another.

use crate::{Shard, ShardBackoff};
use pimento_core::Time;
use std::sync::Arc;

/// The maximum number of shards with usable targets that a request asks.
const MAX_BUSY_SHARDS: usize = 4;
/// The maximum number of shards that a request asks in all. After the loss of a
/// failure domain its shards are found unusable first.
const MAX_SHARDS: usize = 8;

/// How a shard refused a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShardRefusal {
    /// The shard may have permits later, or its owner did not answer.
    Busy,
    /// No target of the shard can be used.
    Unusable,
}

/// The progress of a request through its ranked shards.
///
/// The first shard is preferred: its targets may be warm for the request's
/// affinity key, so it is asked even if it refused other requests a moment ago.
/// A shard without usable targets doesn't count, and the next one takes its
/// place. Otherwise all requests that prefer a lost failure domain are refused
/// while others have slots left.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShardSearch {
    /// The index of the next shard.
    next: usize,
    /// The number of shards asked.
    asked: usize,
    /// The number of shards that were busy, or are skipped because they were.
    busy: usize,
}

impl ShardSearch {
    /// The next shard to ask; `None` if the request is refused.
    pub fn next_shard<'a>(
        &mut self,
        now: Time,
        service: &Arc<str>,
        shards: &'a [Shard],
        backoff: &ShardBackoff,
    ) -> Option<&'a Shard> {
        while self.busy < MAX_BUSY_SHARDS && self.asked < MAX_SHARDS {
            let shard = shards.get(self.next)?;
            self.next += 1;
            match backoff.active(now, service, shard) {
                Some(ShardRefusal::Unusable) => {}
                Some(ShardRefusal::Busy) if !self.is_preferred() => self.busy += 1,
                _ => {
                    self.asked += 1;
                    return Some(shard);
                }
            }
        }
        None
    }

    /// Whether the shard returned last is the preferred one.
    pub const fn is_preferred(&self) -> bool {
        self.busy == 0
    }

    /// Records that the shard returned last refused a permit.
    pub const fn record_refusal(&mut self, refusal: ShardRefusal) {
        if matches!(refusal, ShardRefusal::Busy) {
            self.busy += 1;
        }
    }
}
