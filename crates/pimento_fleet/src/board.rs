//! The targets that may get requests, and the places that they make.

use pimento_broker::Shard;
use std::{net::SocketAddr, sync::Arc};

/// A target as requests are sent to it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetInfo {
    /// The name.
    pub id: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The service.
    pub service: Arc<str>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// The shard of the service's targets there that it is in.
    pub shard: u32,
    /// The requests that it runs at a time.
    pub slots: u32,
}

/// The shards of a service's targets.
#[derive(Clone, Debug)]
struct Spots {
    service: Arc<str>,
    /// Sorted by failure domain and number.
    places: Vec<Shard>,
}

/// The targets that may get requests, and the places that they make.
///
/// News of one target change only what they touch: with hundreds of targets
/// that come and go, building all of it anew each time would take more
/// processor time than the requests.
#[derive(Clone, Debug, Default)]
pub struct RoutableTargets {
    /// Sorted by name.
    targets: Vec<Arc<TargetInfo>>,
    /// Sorted by service.
    spots: Vec<Spots>,
}

impl RoutableTargets {
    /// A target that may get requests.
    pub fn get(&self, id: &str) -> Option<&Arc<TargetInfo>> {
        self.find(id).ok().map(|i| &self.targets[i])
    }

    /// All targets that may get requests, sorted by name.
    pub fn all(&self) -> &[Arc<TargetInfo>] {
        &self.targets
    }

    /// The shards of a service's targets.
    pub fn shards(&self, service: &str) -> &[Shard] {
        let found = self.spot(service).ok();
        found.map_or(&[], |i| &self.spots[i].places)
    }

    /// Adds a target or replaces what was known of it; without a region it
    /// makes no places.
    pub(crate) fn set(&mut self, target: TargetInfo, region: Option<&Arc<str>>) {
        self.remove(&target.id);
        if let Some(region) = region {
            self.add_slots(&target, region);
        }
        let at = self.targets.partition_point(|t| t.id < target.id);
        self.targets.insert(at, Arc::new(target));
    }

    /// Takes a target out, if it is there.
    pub(crate) fn remove(&mut self, id: &str) {
        if let Ok(at) = self.find(id) {
            let target = self.targets.remove(at);
            self.remove_slots(&target);
        }
    }

    fn add_slots(&mut self, target: &TargetInfo, region: &Arc<str>) {
        let at = self.spot(&target.service).unwrap_or_else(|at| {
            let service = Arc::clone(&target.service);
            let places = Vec::new();
            self.spots.insert(at, Spots { service, places });
            at
        });
        let places = &mut self.spots[at].places;
        match find_place(places, target) {
            Ok(i) => places[i].slots += target.slots,
            Err(i) => {
                let place = Shard {
                    domain: Arc::clone(&target.domain),
                    index: target.shard,
                    region: Arc::clone(region),
                    slots: target.slots,
                };
                places.insert(i, place);
            }
        }
    }

    fn remove_slots(&mut self, target: &TargetInfo) {
        let Ok(at) = self.spot(&target.service) else {
            return;
        };
        let places = &mut self.spots[at].places;
        let Ok(i) = find_place(places, target) else {
            return;
        };
        places[i].slots = places[i].slots.saturating_sub(target.slots);
        if places[i].slots == 0 {
            places.remove(i);
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|t| (*t.id).cmp(id))
    }

    fn spot(&self, service: &str) -> Result<usize, usize> {
        self.spots.binary_search_by(|s| (*s.service).cmp(service))
    }
}

fn find_place(places: &[Shard], target: &TargetInfo) -> Result<usize, usize> {
    let wanted = (&target.domain, target.shard);
    places.binary_search_by(|p| (&p.domain, p.index).cmp(&wanted))
}
