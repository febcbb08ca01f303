//! Route look-up by host and path prefix.

use crate::{Body, Catalog, ItemKind, Route};
use std::sync::Arc;

#[derive(Clone, Debug)]
struct Entry {
    name: Arc<str>,
    route: Arc<Route>,
}

/// An index of a catalog's routes by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable(Vec<Entry>);

impl RouteTable {
    /// Indexes the routes of a catalog that are not removed.
    pub fn new(catalog: &Catalog) -> Self {
        let routes = catalog.live_items(ItemKind::Route).filter_map(|item| {
            let Some(Body::Route(route)) = &item.body else {
                return None;
            };
            Some(Entry {
                name: Arc::from(item.name.as_str()),
                route: Arc::new(route.clone()),
            })
        });
        let mut routes: Vec<_> = routes.collect();
        routes.sort_by(|a, b| a.key().cmp(&b.key()));
        Self(routes)
    }

    /// Finds the route of a host with the longest prefix of a path.
    pub fn find(&self, host: &str, path: &str) -> Option<(&Arc<str>, &Arc<Route>)> {
        let start = self.0.partition_point(|e| e.route.host.as_str() < host);
        let routes = self.0[start..].iter();
        let same_host = routes.take_while(|e| e.route.host == host);
        let matching = same_host.filter(|e| path.starts_with(&e.route.prefix));
        let longest = matching.max_by_key(|e| e.route.prefix.len())?;
        Some((&longest.name, &longest.route))
    }
}

impl Entry {
    fn key(&self) -> (&str, &str) {
        (&self.route.host, &self.route.prefix)
    }
}
