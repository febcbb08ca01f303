//! What requests are decided by.

use arc_swap::ArcSwap;
use pimento_broker::Place;
use pimento_items::{Catalog, RouteTable};
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
}

/// What requests are decided by; a new one replaces it when something changes.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The items.
    pub catalog: Arc<Catalog>,
    /// The routes among them.
    pub routes: Arc<RouteTable>,
    /// All targets that may get requests, sorted by name.
    pub targets: Vec<TargetInfo>,
    /// The failure domains with targets of a service, sorted by service.
    pub places: Vec<(Arc<str>, Vec<Place>)>,
    /// The entry VMs that live.
    pub vms: usize,
    /// Whether enough is known to serve.
    pub ready: bool,
}

/// The newest view, shared with those who take requests.
pub type Shared = Arc<ArcSwap<View>>;

impl View {
    /// A target that may get requests.
    pub fn target(&self, id: &str) -> Option<&TargetInfo> {
        let found = self.targets.binary_search_by(|t| (*t.id).cmp(id));
        found.ok().map(|i| &self.targets[i])
    }

    /// The failure domains with targets of a service.
    pub fn places(&self, service: &str) -> &[Place] {
        let found = self
            .places
            .binary_search_by(|(name, _)| (**name).cmp(service));
        found.map_or(&[], |i| &self.places[i].1)
    }
}
