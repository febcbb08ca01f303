//! What requests are decided by.

use crate::board::{RoutableTargets, TargetInfo};
use arc_swap::ArcSwap;
use pimento_broker::Shard;
use pimento_items::{Catalog, RouteTable};
use std::sync::Arc;

/// What requests are decided by; a new one replaces it when something changes.
#[derive(Clone, Debug, Default)]
pub struct RoutingView {
    /// The items.
    pub catalog: Arc<Catalog>,
    /// The routes among them.
    pub routes: Arc<RouteTable>,
    /// The targets that may get requests.
    pub targets: Arc<RoutableTargets>,
    /// The entry VMs that live.
    pub entry_count: usize,
    /// Whether enough is known to serve.
    pub ready: bool,
}

/// The newest view, shared with those who take requests.
pub type SharedView = Arc<ArcSwap<RoutingView>>;

impl RoutingView {
    /// A target that may get requests.
    pub fn target(&self, id: &str) -> Option<&Arc<TargetInfo>> {
        self.targets.get(id)
    }

    /// The shards of a service's targets.
    pub fn shards(&self, service: &str) -> &[Shard] {
        self.targets.shards(service)
    }
}
