//! Which entry VMs a caller is sent to.

use crate::{Entry, Steer, hash, view};
use pimento_core::prelude::*;
use std::net::{IpAddr, SocketAddr};

/// Prefix lengths by which addresses outside all blocks are kept together.
const DEFAULT_LEN: (u32, u32) = (24, 48);
/// The time to live of an answer for an unknown service.
const DEFAULT_TTL: Duration = Duration::from_secs(2);
/// Added to the score of a VM that holds no targets; above any other score.
const NO_SLOTS: f64 = 1e6;
/// The most entry VMs of the first failure domain.
const FIRST: usize = 3;

/// The answer to a look-up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lookup {
    /// The version of the rules that it follows.
    pub version: u64,
    /// How long a caller may use it.
    pub ttl: Duration,
    /// Entry VMs, best first.
    pub entries: Vec<SocketAddr>,
    /// Whether it rests on information that is too old or says that nothing
    /// can serve.
    pub stale: bool,
}

impl Steer {
    /// Finds the entry VMs that a caller uses for a service.
    ///
    /// The list is empty only while no entry VM is known at all, and a caller's
    /// block keeps to the same VMs while they stay good.
    pub fn lookup(&self, now: Time, service: &str, ip: IpAddr) -> Lookup {
        let (block, domain) = self.block(ip);
        let order = self.order(domain, service, block);
        let mut entries = Vec::with_capacity(self.config.entries);
        let mut fresh = false;
        for (rank, domain) in order.into_iter().enumerate() {
            let count = if rank == 0 { FIRST } else { 1 };
            let room = self.config.entries - entries.len();
            let good = self.domain_room(domain, service).0 > 0;
            fresh |= good && self.is_fresh(now, domain);
            entries.extend(self.choose(domain, service, block, count.min(room)));
            if entries.len() >= self.config.entries {
                break;
            }
        }
        if entries.is_empty() {
            let peers = self.view.peers.iter().map(|peer| peer.entry.callers);
            entries.extend(peers.take(self.config.entries));
        }
        Lookup {
            version: self.version,
            ttl: self.ttl(service),
            entries,
            stale: !fresh,
        }
    }

    fn ttl(&self, service: &str) -> Duration {
        let rule = self.service(service);
        rule.map_or(DEFAULT_TTL, |s| Duration::from_millis(u64::from(s.ttl)))
    }

    /// A number that stands for a caller's block, and its nearest domain.
    fn block(&self, ip: IpAddr) -> (u64, &str) {
        let found = self.blocks.find_block(ip);
        let fold = |ip: IpAddr| match ip {
            IpAddr::V4(ip) => u64::from(ip.to_bits()),
            IpAddr::V6(ip) => {
                let bits = ip.to_bits();
                (bits >> 64) as u64 ^ bits as u64
            }
        };
        if let Some((net, domain)) = found {
            let key = fold(net.addr()) ^ u64::from(net.prefix_len()).rotate_left(56);
            return (hash::mix(key), domain);
        }
        let key = match ip.to_canonical() {
            IpAddr::V4(ip) => u64::from(ip.to_bits() >> (u32::BITS - DEFAULT_LEN.0)),
            IpAddr::V6(ip) => (ip.to_bits() >> (u128::BITS - DEFAULT_LEN.1)) as u64,
        };
        (hash::mix(key), &self.home.domain)
    }

    /// Failure domains by preference for a block.
    fn order<'a>(&'a self, home: &'a str, service: &str, block: u64) -> Vec<&'a str> {
        let region = self.region_of(home);
        let others = self.view.domains.iter().map(|s| s.domain.as_str());
        let rank = |domain: &str| {
            let near = domain == home;
            let same = self.region_of(domain) == region;
            let can = self.domain_room(domain, service).0 > 0;
            let stays = can && self.keeps(domain, service, block);
            let trip = if same {
                Duration::ZERO
            } else {
                self.trip(domain)
            };
            let tie = hash::mix(block ^ hash::name(domain));
            (!can, !stays, !near, !same, trip, tie)
        };
        let own = std::iter::once(self.home.domain.as_str());
        let mut order: Vec<_> = own.chain(others).map(|d| (rank(d), d)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, domain)| domain).collect()
    }

    /// Whether a failure domain's headroom is recent enough to rely on.
    fn is_fresh(&self, now: Time, domain: &str) -> bool {
        let recent = |time: Time| now.since(time) <= self.config.max_age;
        if domain == self.home.domain.as_str() {
            return self.view.peers.iter().any(|peer| recent(peer.time));
        }
        let mut summaries = self.view.domains.iter();
        summaries.any(|s| s.domain.as_str() == domain && recent(s.time))
    }

    /// The best entry VMs of a failure domain for a block, by weighted
    /// rendezvous hashing: a VM's change moves only blocks to or from it.
    fn choose(&self, domain: &str, service: &str, block: u64, count: usize) -> Vec<SocketAddr> {
        let score = |entry: &Entry, weight: u32| {
            let unit = hash::unit(block, hash::name(&entry.vm));
            -unit.max(f64::MIN_POSITIVE).ln() / f64::from(weight)
        };
        let mut scored: Vec<(f64, SocketAddr)> = Vec::new();
        if domain == self.home.domain.as_str() {
            for peer in self.view.peers.iter().filter(|peer| !peer.stopping) {
                let slots = view::room(&peer.rooms, service).slots;
                // VMs without held targets come after those with some.
                let base = if slots == 0 { NO_SLOTS } else { 0.0 };
                let score = base + score(&peer.entry, slots.max(1));
                scored.push((score, peer.entry.callers));
            }
        } else {
            let summaries = self.view.domains.iter();
            let own = summaries.filter(|s| s.domain.as_str() == domain);
            for entry in own.flat_map(|s| &s.entries) {
                scored.push((score(entry, 1), entry.callers));
            }
        }
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        let best = scored.into_iter().take(count);
        best.map(|(_, address)| address).collect()
    }
}
