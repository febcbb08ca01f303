//! Finding the route of a request.

use crate::{Body, Catalog, ItemKind, Route};
use std::sync::Arc;

/// A route under its name.
#[derive(Clone, Debug)]
struct Entry {
    name: Arc<str>,
    route: Arc<Route>,
}

/// The routes of a catalog, sorted by host and prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable(Vec<Entry>);

impl RouteTable {
    /// Sorts the routes that stand in a catalog.
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

    /// The route of a host whose prefix is the longest that begins a path.
    pub fn find(&self, host: &str, path: &str) -> Option<(&Arc<str>, &Arc<Route>)> {
        let from = self.0.partition_point(|e| e.route.host.as_str() < host);
        let routes = self.0[from..].iter();
        let same = routes.take_while(|e| e.route.host == host);
        let fits = same.filter(|e| path.starts_with(&e.route.prefix));
        let longest = fits.max_by_key(|e| e.route.prefix.len())?;
        Some((&longest.name, &longest.route))
    }
}

impl Entry {
    fn key(&self) -> (&str, &str) {
        (&self.route.host, &self.route.prefix)
    }
}
