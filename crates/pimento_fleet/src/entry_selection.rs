//! Selects the entry VMs that callers are sent to.

use crate::{Fleet, Node, Role};
use pimento_core::Time;
use std::net::SocketAddr;

/// The most entry VMs that are returned to a caller.
const MAX_ENTRIES: usize = 64;
/// The mean link load, in percent, above which callers are also sent to entry
/// VMs in the other failure domains of the region.
const BUSY_LINK_PERCENT: f64 = 30.0;

impl Fleet {
    /// The addresses of the entry VMs that callers in a failure domain should
    /// use.
    ///
    /// A failure domain may have as many callers as others but fewer entry VMs.
    /// Their links saturate first while those in the next domain have capacity
    /// left, so part of the callers is sent there.
    pub fn entry_addresses(&self, now: Time, domain: &str) -> Vec<SocketAddr> {
        let rotation = now.since(Time::ZERO).as_millis() as usize;
        let region = self.config.region(domain);
        let ready = self
            .live_nodes(now)
            .filter(|n| n.has_role(Role::Entry) && n.is_ready());
        let ready: Vec<_> = ready.collect();
        let (near, far): (Vec<_>, Vec<_>) = ready.iter().partition(|n| n.info.domain == domain);
        let same_region = |n: &&Node| self.config.region(&n.info.domain) == region;
        let regional: Vec<&Node> = far.into_iter().filter(same_region).collect();
        let chosen = if near.is_empty() && regional.is_empty() {
            rotate(&ready, MAX_ENTRIES, rotation)
        } else if near.is_empty() {
            rotate(&regional, MAX_ENTRIES, rotation)
        } else {
            let overflow = overflow_count(&near, &regional);
            let mut chosen = rotate(&near, MAX_ENTRIES, rotation);
            chosen.extend(rotate(
                &regional,
                overflow.min(MAX_ENTRIES - chosen.len()),
                rotation,
            ));
            chosen
        };
        let addresses = chosen
            .iter()
            .filter_map(|n| n.info.caller_address.parse().ok());
        addresses.collect()
    }
}

/// How many VMs of other failure domains to add to the near ones, so that the
/// share of callers that goes there evens out half of the difference in load.
fn overflow_count(near: &[&Node], others: &[&Node]) -> usize {
    let (near_load, other_load) = (mean_load(near), mean_load(others));
    if near_load < BUSY_LINK_PERCENT || near_load <= other_load {
        return 0;
    }
    let share = (near_load - other_load) / (2.0 * near_load);
    (near.len() as f64 * share / (1.0 - share)).round() as usize
}

/// The mean link load in percent; 100 if there are no VMs.
fn mean_load(nodes: &[&Node]) -> f64 {
    let sum: u32 = nodes.iter().map(|n| n.load).sum();
    match nodes.len() {
        0 => 100.0,
        count => f64::from(sum) / count as f64,
    }
}

/// Selects up to `count` nodes, starting at a different one for each rotation.
fn rotate<'a>(nodes: &[&'a Node], count: usize, rotation: usize) -> Vec<&'a Node> {
    let count = count.min(nodes.len());
    let start = (rotation * count) % nodes.len().max(1);
    let cycle = nodes.iter().cycle().skip(start);
    cycle.take(count).copied().collect()
}
