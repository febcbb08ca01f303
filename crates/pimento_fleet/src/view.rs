//! The state that requests are routed by.

use crate::routable::{RoutableTargets, TargetInfo};
use arc_swap::ArcSwap;
use pimento_broker::Shard;
use pimento_items::{Catalog, RouteTable};
use pimento_poison::{Fingerprint, Verdict};
use std::sync::Arc;

/// The state that requests are routed by. It is immutable: each change
/// publishes a new one.
#[derive(Clone, Debug, Default)]
pub struct RoutingView {
    /// The items in force.
    pub catalog: Arc<Catalog>,
    /// The routing table built from the catalog.
    pub routes: Arc<RouteTable>,
    /// The targets that may receive requests.
    pub targets: Arc<RoutableTargets>,
    /// The number of entry VMs that serve, including this one.
    pub entry_count: usize,
    /// Whether this process is ready to serve.
    pub ready: bool,
    /// The requests that crash targets or may do so, sorted by fingerprint.
    pub verdicts: Arc<[(Fingerprint, Verdict)]>,
}

/// The newest view, shared with the request handlers.
pub type SharedView = Arc<ArcSwap<RoutingView>>;

impl RoutingView {
    /// The target with this name, if it may receive requests.
    pub fn target(&self, id: &str) -> Option<&Arc<TargetInfo>> {
        self.targets.get(id)
    }

    /// The verdict on a request, if one is open.
    pub fn verdict(&self, request: Fingerprint) -> Option<Verdict> {
        let found = self.verdicts.binary_search_by_key(&request, |(r, _)| *r);
        found.ok().map(|i| self.verdicts[i].1)
    }

    /// The shards of a service, over all failure domains.
    pub fn shards(&self, service: &str) -> &[Shard] {
        self.targets.shards(service)
    }
}
