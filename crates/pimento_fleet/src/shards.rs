//! How the targets of a service in a failure domain are split into shards.

use pimento_core::hash;
use pimento_registry::Target;

/// The number of targets per shard at which the number of shards doubles, so
/// that shards have about six to eleven targets. At six slots per target and
/// four requests a second per slot, granting the permits of such a shard takes
/// its owner a quarter of a link of 1.4 Mbit/s.
const SPLIT_THRESHOLD: usize = 11;

#[derive(Clone, Debug)]
struct ShardCount {
    service: String,
    domain: String,
    /// A power of two, so that doubling it splits each shard in two.
    count: u32,
}

/// The number of shards of each service in each failure domain. Sharding lets
/// several VMs grant the permits of one service.
///
/// All VMs that know the same targets compute the same shards. Draining targets
/// count too, so that the number of shards is stable while targets are
/// replaced.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardMap(Vec<ShardCount>);

impl ShardMap {
    /// Computes the number of shards for all services and failure domains.
    pub(crate) fn new(targets: &[Target]) -> Self {
        let mut keys: Vec<_> = targets.iter().map(group_key).collect();
        keys.sort_unstable();
        let counts = keys.chunk_by(|a, b| a == b).map(|group| ShardCount {
            service: group[0].0.to_owned(),
            domain: group[0].1.to_owned(),
            count: shard_count(group.len()),
        });
        Self(counts.collect())
    }

    /// The shard of a target: the hash of its name modulo the number of shards.
    pub(crate) fn shard_of(&self, target: &Target) -> u32 {
        let shards = self.find_group(target).map_or(1, |i| self.0[i].count);
        let hash = hash::mix(hash::fnv([target.id.as_bytes()]));
        (hash % u64::from(shards)) as u32
    }

    /// Whether the number of shards changes for a target's service and failure
    /// domain if it has this many targets.
    pub(crate) fn needs_resharding(&self, target: &Target, targets: usize) -> bool {
        let current = self.find_group(target).map_or(1, |i| self.0[i].count);
        current != shard_count(targets)
    }

    fn find_group(&self, target: &Target) -> Result<usize, usize> {
        let key = group_key(target);
        let order = |c: &ShardCount| (c.service.as_str(), c.domain.as_str()).cmp(&key);
        self.0.binary_search_by(order)
    }
}

/// Whether two targets belong to the same service and failure domain.
pub(crate) fn is_same_group(a: &Target, b: &Target) -> bool {
    group_key(a) == group_key(b)
}

fn group_key(target: &Target) -> (&str, &str) {
    (&target.service, &target.domain)
}

const fn shard_count(targets: usize) -> u32 {
    let mut shards = 1;
    while targets >= SPLIT_THRESHOLD * shards {
        shards *= 2;
    }
    shards as u32
}
