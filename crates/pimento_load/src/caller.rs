//! The simulated callers.

use crate::{
    Args,
    lookup::{self, CachedLookup},
};
use awc::Client;
use pimento_client::ClientConfig;
use pimento_core::ServiceId;
use std::{cell::Cell, net::SocketAddr, time::Duration};
use tokio::{sync::Mutex, time::Instant};

/// How long an idle connection to an entry VM is kept. Shorter than the entry
/// VM's own idle timeout, so that no request is sent on a connection that the
/// VM is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The callers of all blocks. They share one connection pool.
pub(crate) struct Callers {
    pub(crate) args: Args,
    pub(crate) client: Client,
    pub(crate) services: Vec<Service>,
    /// Cached lookup of each service and block, ordered by service, then by
    /// block. The lock is held during a lookup, so that waiting requests share
    /// its result.
    cache: Vec<Mutex<Option<CachedLookup>>>,
    lookups: Cell<usize>,
    failed_lookups: Cell<u64>,
}

/// A service that requests are sent to.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceId,
    /// Whether its requests must run at most once, and so carry an idempotency
    /// key.
    pub(crate) keyed: bool,
}

impl Callers {
    pub(crate) fn new(args: Args) -> Self {
        let repeatable = args.service.iter().map(|name| (name, false));
        let once = args.once.iter().map(|name| (name, true));
        let services: Vec<_> = repeatable
            .chain(once)
            .map(|(name, keyed)| Service {
                name: name.clone(),
                keyed,
            })
            .collect();
        let blocks = args.block.len().max(1);
        let cache_size = services.len() * blocks;
        let config = ClientConfig {
            response_timeout: None,
            keep_alive: IDLE_TIMEOUT,
            max_connections: 0,
            ..ClientConfig::default()
        };
        Self {
            args,
            client: config.build(),
            services,
            cache: (0..cache_size).map(|_| Mutex::new(None)).collect(),
            lookups: Cell::new(0),
            failed_lookups: Cell::new(0),
        }
    }

    /// The entry VMs of a service in order of preference, from the cache until
    /// it expires. If the lookup then fails, the expired result is used.
    pub(crate) async fn entry_vms(&self, service: usize, block: usize) -> Vec<SocketAddr> {
        if !self.args.entries.is_empty() {
            return self.args.entries.clone();
        }
        let blocks = self.args.block.len().max(1);
        let mut cached = self.cache[service * blocks + block].lock().await;
        if let Some(fresh) = cached.as_ref().filter(|c| c.is_fresh(Instant::now())) {
            return fresh.entries.clone();
        }
        let lookup_index = self.lookups.get();
        self.lookups.set(lookup_index + 1);
        let name = &self.services[service].name;
        let address = self.args.block.get(block).copied();
        let result = lookup::look_up(&self.client, &self.args, name, address, lookup_index).await;
        if result.is_none() {
            self.failed_lookups.set(self.failed_lookups.get() + 1);
        }
        if result.is_some() {
            *cached = result;
        }
        cached.as_ref().map_or(Vec::new(), |c| c.entries.clone())
    }

    /// The number of lookups made, and of those that no entry VM answered.
    pub(crate) fn lookup_counts(&self) -> (u64, u64) {
        (self.lookups.get() as u64, self.failed_lookups.get())
    }
}
