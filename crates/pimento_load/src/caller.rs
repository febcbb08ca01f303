//! The callers that the load tool stands for.

use crate::{
    Args,
    lookup::{self, Known},
};
use awc::Client;
use pimento_client::ClientConfig;
use pimento_core::ServiceId;
use std::{cell::Cell, net::SocketAddr, time::Duration};
use tokio::{sync::Mutex, time::Instant};

/// How long an idle connection to an entry VM is kept; shorter than entry VMs
/// keep it, so that a request doesn't meet its end.
const IDLE: Duration = Duration::from_secs(2);

/// The callers of all blocks, which share connections.
pub(crate) struct Callers {
    pub(crate) args: Args,
    pub(crate) client: Client,
    pub(crate) services: Vec<Service>,
    /// One look-up for each service and block, by service first. The lock is
    /// held during a look-up, so that waiting requests share its answer.
    cache: Vec<Mutex<Option<Known>>>,
    lookups: Cell<usize>,
    failed: Cell<u64>,
}

/// A service as callers see it.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceId,
    /// Whether its requests may not be repeated.
    pub(crate) once: bool,
}

impl Callers {
    pub(crate) fn new(args: Args) -> Self {
        let plain = args.service.iter().map(|name| (name, false));
        let keyed = args.once.iter().map(|name| (name, true));
        let services: Vec<_> = plain
            .chain(keyed)
            .map(|(name, once)| Service {
                name: name.clone(),
                once,
            })
            .collect();
        let blocks = args.block.len().max(1);
        let cells = services.len() * blocks;
        let config = ClientConfig {
            response_timeout: None,
            keep_alive: IDLE,
            max_connections: 0,
            ..ClientConfig::default()
        };
        Self {
            args,
            client: config.build(),
            services,
            cache: (0..cells).map(|_| Mutex::new(None)).collect(),
            lookups: Cell::new(0),
            failed: Cell::new(0),
        }
    }

    /// The entry VMs for a service, from the cache while it is fresh; an old
    /// answer is better than none.
    pub(crate) async fn entries(&self, service: usize, block: usize) -> Vec<SocketAddr> {
        if !self.args.entries.is_empty() {
            return self.args.entries.clone();
        }
        let blocks = self.args.block.len().max(1);
        let mut cell = self.cache[service * blocks + block].lock().await;
        if let Some(known) = cell.as_ref().filter(|k| k.is_fresh(Instant::now())) {
            return known.entries.clone();
        }
        let first = self.lookups.get();
        self.lookups.set(first + 1);
        let name = &self.services[service].name;
        let address = self.args.block.get(block).copied();
        let answer = lookup::ask(&self.client, &self.args, name, address, first).await;
        if answer.is_none() {
            self.failed.set(self.failed.get() + 1);
        }
        if answer.is_some() {
            *cell = answer;
        }
        cell.as_ref().map_or(Vec::new(), |k| k.entries.clone())
    }

    /// Look-ups made, and those that no entry VM answered.
    pub(crate) fn lookups(&self) -> (u64, u64) {
        (self.lookups.get() as u64, self.failed.get())
    }
}
