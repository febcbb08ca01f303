//! What requests are decided by.

use crate::board::{Board, TargetInfo};
use arc_swap::ArcSwap;
use pimento_broker::Place;
use pimento_items::{Catalog, RouteTable};
use std::sync::Arc;

/// What requests are decided by; a new one replaces it when something changes.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The items.
    pub catalog: Arc<Catalog>,
    /// The routes among them.
    pub routes: Arc<RouteTable>,
    /// The targets that may get requests.
    pub board: Arc<Board>,
    /// The entry VMs that live.
    pub vms: usize,
    /// Whether enough is known to serve.
    pub ready: bool,
}

/// The newest view, shared with those who take requests.
pub type Shared = Arc<ArcSwap<View>>;

impl View {
    /// A target that may get requests.
    pub fn target(&self, id: &str) -> Option<&Arc<TargetInfo>> {
        self.board.target(id)
    }

    /// The shards of a service's targets.
    pub fn places(&self, service: &str) -> &[Place] {
        self.board.places(service)
    }
}
