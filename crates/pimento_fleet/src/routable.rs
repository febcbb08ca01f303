//! The targets that may receive requests, and the shards that they form.

use pimento_broker::Shard;
use pimento_core::hash;
use std::{net::SocketAddr, sync::Arc};

/// A target, as it is needed to send requests to it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    /// The name of the target.
    pub id: Arc<str>,
    /// The start of its process, which tells it from others of the same name.
    pub incarnation: u64,
    /// Where it receives requests.
    pub address: SocketAddr,
    /// The name of its service.
    pub service: Arc<str>,
    /// The name of its failure domain.
    pub domain: Arc<str>,
    /// The index of its shard within the service's targets of that domain.
    pub shard: u32,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
}

impl TargetInfo {
    /// A hash of the name and the incarnation, the same on all VMs.
    pub fn incarnation_hash(&self) -> u64 {
        incarnation_hash(&self.id, self.incarnation)
    }
}

/// A hash of a target's name and incarnation, the same on all VMs.
pub(crate) fn incarnation_hash(id: &str, incarnation: u64) -> u64 {
    hash::fnv([id.as_bytes(), &incarnation.to_le_bytes()])
}

/// The shards of a service's targets.
#[derive(Clone, Debug)]
struct ServiceShards {
    service: Arc<str>,
    /// Sorted by failure domain and index.
    shards: Vec<Shard>,
}

/// The targets that may receive requests, and the shards that they form.
///
/// An update of one target changes only the affected entries: with hundreds of
/// targets that come and go, a complete rebuild on each update would take more
/// CPU time than the requests.
#[derive(Clone, Debug, Default)]
pub struct RoutableTargets {
    /// Sorted by name.
    targets: Vec<Arc<TargetInfo>>,
    /// Sorted by service.
    services: Vec<ServiceShards>,
}

impl RoutableTargets {
    /// The target with this name, if it may receive requests.
    pub fn get(&self, id: &str) -> Option<&Arc<TargetInfo>> {
        self.find_target(id).ok().map(|i| &self.targets[i])
    }

    /// All targets that may receive requests, sorted by name.
    pub fn all(&self) -> &[Arc<TargetInfo>] {
        &self.targets
    }

    /// The shards of a service, sorted by failure domain and index.
    pub fn shards(&self, service: &str) -> &[Shard] {
        let index = self.find_service(service).ok();
        index.map_or(&[], |i| &self.services[i].shards)
    }

    /// Adds or replaces a target. Without a region its slots are not added to
    /// any shard.
    pub(crate) fn set(&mut self, target: TargetInfo, region: Option<&Arc<str>>) {
        self.remove(&target.id);
        if let Some(region) = region {
            self.add_slots(&target, region);
        }
        let index = self.targets.partition_point(|t| t.id < target.id);
        self.targets.insert(index, Arc::new(target));
    }

    pub(crate) fn remove(&mut self, id: &str) {
        if let Ok(index) = self.find_target(id) {
            let target = self.targets.remove(index);
            self.remove_slots(&target);
        }
    }

    fn add_slots(&mut self, target: &TargetInfo, region: &Arc<str>) {
        let index = self.find_service(&target.service).unwrap_or_else(|index| {
            let service = Arc::clone(&target.service);
            let shards = Vec::new();
            self.services
                .insert(index, ServiceShards { service, shards });
            index
        });
        let shards = &mut self.services[index].shards;
        match find_shard(shards, target) {
            Ok(i) => {
                let shard = &mut shards[i];
                shard.slots += target.slots;
                let known = shard.targets.iter().copied();
                shard.targets = known.chain([target.incarnation_hash()]).collect();
            }
            Err(i) => {
                let shard = Shard {
                    domain: Arc::clone(&target.domain),
                    index: target.shard,
                    region: Arc::clone(region),
                    slots: target.slots,
                    targets: Arc::from([target.incarnation_hash()]),
                };
                shards.insert(i, shard);
            }
        }
    }

    fn remove_slots(&mut self, target: &TargetInfo) {
        let Ok(index) = self.find_service(&target.service) else {
            return;
        };
        let shards = &mut self.services[index].shards;
        let Ok(i) = find_shard(shards, target) else {
            return;
        };
        let (shard, removed) = (&mut shards[i], target.incarnation_hash());
        shard.slots = shard.slots.saturating_sub(target.slots);
        let kept = shard.targets.iter().copied().filter(|t| *t != removed);
        shard.targets = kept.collect();
        if shards[i].slots == 0 {
            shards.remove(i);
        }
    }

    fn find_target(&self, id: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|t| (*t.id).cmp(id))
    }

    fn find_service(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|s| (*s.service).cmp(service))
    }
}

fn find_shard(shards: &[Shard], target: &TargetInfo) -> Result<usize, usize> {
    let key = (&target.domain, target.shard);
    shards.binary_search_by(|s| (&s.domain, s.index).cmp(&key))
}
