//! Which entry VMs callers are sent to.

use crate::{Fleet, Node, Role};
use pimento_core::Time;
use std::net::SocketAddr;

/// The most entry VMs that are named to a caller.
const MOST: usize = 64;
/// The load of entry VMs above which callers are also sent to those of the
/// region's other failure domains, in percent of their links.
const LOADED: f64 = 30.0;

impl Fleet {
    /// Where callers of a failure domain are to go.
    ///
    /// The load that it answers: failure domains with as many callers as others
    /// and fewer entry VMs. The links of those are full first, while the next
    /// domain's have room.
    pub fn entries(&self, now: Time, domain: &str) -> Vec<SocketAddr> {
        let turn = now.since(Time::ZERO).as_millis() as usize;
        let region = self.config.region(domain);
        let ready = self.alive(now).filter(|n| n.is(Role::Entry) && n.ready());
        let ready: Vec<_> = ready.collect();
        let (near, far): (Vec<_>, Vec<_>) = ready.iter().partition(|n| n.info.domain == domain);
        let same_region = |n: &&Node| self.config.region(&n.info.domain) == region;
        let regional: Vec<&Node> = far.into_iter().filter(same_region).collect();
        let chosen = if near.is_empty() && regional.is_empty() {
            some(&ready, MOST, turn)
        } else if near.is_empty() {
            some(&regional, MOST, turn)
        } else {
            let others = passed_on(&near, &regional);
            let mut chosen = some(&near, MOST, turn);
            chosen.extend(some(&regional, others.min(MOST - chosen.len()), turn));
            chosen
        };
        let callers = chosen
            .iter()
            .filter_map(|n| n.info.caller_address.parse().ok());
        callers.collect()
    }
}

/// How many VMs of other failure domains are named beside the near ones, so
/// that a part of the callers goes there which evens out half of the difference.
fn passed_on(near: &[&Node], others: &[&Node]) -> usize {
    let (own, other) = (load(near), load(others));
    if own < LOADED || own <= other {
        return 0;
    }
    let part = (own - other) / (2.0 * own);
    (near.len() as f64 * part / (1.0 - part)).round() as usize
}

/// The mean load, in percent; full if there are none.
fn load(nodes: &[&Node]) -> f64 {
    let sum: u32 = nodes.iter().map(|n| n.load).sum();
    match nodes.len() {
        0 => 100.0,
        count => f64::from(sum) / count as f64,
    }
}

/// Some of the nodes, others at each turn.
fn some<'a>(nodes: &[&'a Node], count: usize, turn: usize) -> Vec<&'a Node> {
    let count = count.min(nodes.len());
    let start = (turn * count) % nodes.len().max(1);
    let cycle = nodes.iter().cycle().skip(start);
    cycle.take(count).copied().collect()
}
