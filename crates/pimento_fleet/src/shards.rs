//! How the targets of a service in a failure domain are divided.

use pimento_core::hash;
use pimento_registry::Target;

/// The targets at which a shard is divided into two, so that a shard has six to
/// eleven: at six slots and four requests a second for each slot, who grants
/// its places spends a quarter of a link of 1.4 Mbit/s on it.
const MOST: usize = 11;

#[derive(Clone, Debug)]
struct Area {
    service: String,
    domain: String,
    /// A power of two, so that more shards divide each one.
    shards: u32,
}

/// How the targets of a service in a failure domain are divided, so that
/// several VMs grant their places.
///
/// All VMs that know the same targets divide them alike. Targets that drain
/// count too: while targets are replaced, the number stays.
#[derive(Clone, Debug, Default)]
pub(crate) struct Shards(Vec<Area>);

impl Shards {
    /// Divides all targets.
    pub(crate) fn new(targets: &[Target]) -> Self {
        let mut pairs: Vec<_> = targets.iter().map(pair).collect();
        pairs.sort_unstable();
        let areas = pairs.chunk_by(|a, b| a == b).map(|same| Area {
            service: same[0].0.to_owned(),
            domain: same[0].1.to_owned(),
            shards: shards(same.len()),
        });
        Self(areas.collect())
    }

    /// The shard of a target.
    pub(crate) fn of(&self, target: &Target) -> u32 {
        let shards = self.find(target).map_or(1, |i| self.0[i].shards);
        let lot = hash::mix(hash::fnv([target.id.as_bytes()]));
        (lot % u64::from(shards)) as u32
    }

    /// Whether the targets of a target's service and failure domain are to be
    /// divided anew, now that there are so many.
    pub(crate) fn differ(&self, target: &Target, count: usize) -> bool {
        let held = self.find(target).map_or(1, |i| self.0[i].shards);
        held != shards(count)
    }

    fn find(&self, target: &Target) -> Result<usize, usize> {
        let wanted = pair(target);
        let held = |a: &Area| (a.service.as_str(), a.domain.as_str()).cmp(&wanted);
        self.0.binary_search_by(held)
    }
}

/// Whether two targets are divided together.
pub(crate) fn together(a: &Target, b: &Target) -> bool {
    pair(a) == pair(b)
}

fn pair(target: &Target) -> (&str, &str) {
    (&target.service, &target.domain)
}

const fn shards(count: usize) -> u32 {
    let mut shards = 1;
    while count >= MOST * shards {
        shards *= 2;
    }
    shards as u32
}
