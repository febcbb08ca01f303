//! Which entry VMs a caller is sent to.

use crate::{Steering, plan::Candidate};
use pimento_core::hash;
use pimento_core::prelude::*;
use std::net::{IpAddr, SocketAddr};

/// Prefix lengths by which addresses outside all blocks are kept together.
const DEFAULT_LEN: (u32, u32) = (24, 48);
/// The time to live of an answer for an unknown service.
const DEFAULT_TTL: Duration = Duration::from_secs(2);
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

impl Steering {
    /// Finds the entry VMs that a caller uses for a service.
    ///
    /// The list is empty only while no entry VM is known at all, and a caller's
    /// block keeps to the same VMs while they stay good.
    pub fn lookup(&self, now: Time, service: &str, ip: IpAddr) -> Lookup {
        let (block, home) = self.block(ip);
        let spots = self.plan.spots(service);
        let order = self.plan.order(home, block);
        // Domains that can serve and keep the block, then others that can
        // serve, then the rest.
        let rank = |i: usize| match &spots[i] {
            spot if !spot.can => 2,
            spot if !self.plan.stays(i, spot, block) => 1,
            _ => 0,
        };
        let ranked = (0..3).flat_map(|wanted| order.clone().filter(move |i| rank(*i) == wanted));
        let mut entries = Vec::with_capacity(self.config.max_entries);
        let mut fresh = false;
        for (n, i) in ranked.enumerate() {
            let spot = &spots[i];
            let count = if n == 0 { FIRST } else { 1 };
            let room = self.config.max_entries - entries.len();
            fresh |= spot.can && now <= spot.until;
            choose(&spot.candidates, block, count.min(room), &mut entries);
            if entries.len() >= self.config.max_entries {
                break;
            }
        }
        if entries.is_empty() {
            let peers = self.view.peers.iter().map(|peer| peer.entry.caller_addr);
            entries.extend(peers.take(self.config.max_entries));
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

    /// A number that stands for a caller's block, and the place of its nearest
    /// domain in the plan.
    fn block(&self, ip: IpAddr) -> (u64, usize) {
        let Some((net, domain)) = self.blocks.find_index(ip) else {
            let key = match ip.to_canonical() {
                IpAddr::V4(ip) => u64::from(ip.to_bits() >> (u32::BITS - DEFAULT_LEN.0)),
                IpAddr::V6(ip) => (ip.to_bits() >> (u128::BITS - DEFAULT_LEN.1)) as u64,
            };
            return (hash::mix(key), self.plan.own());
        };
        let start = match net.addr() {
            IpAddr::V4(ip) => u64::from(ip.to_bits()),
            IpAddr::V6(ip) => {
                let bits = ip.to_bits();
                (bits >> 64) as u64 ^ bits as u64
            }
        };
        let key = start ^ u64::from(net.prefix_len()).rotate_left(56);
        (hash::mix(key), self.plan.home(domain))
    }
}

/// Adds the best of some entry VMs for a block to a list.
fn choose(candidates: &[Candidate], block: u64, count: usize, list: &mut Vec<SocketAddr>) {
    let mut best = [(f64::INFINITY, None); FIRST];
    let best = &mut best[..count.min(FIRST)];
    for candidate in candidates {
        let mut next = (candidate.score(block), Some(candidate.address));
        for place in best.iter_mut() {
            if next.0 < place.0 {
                std::mem::swap(place, &mut next);
            }
        }
    }
    list.extend(best.iter().filter_map(|place| place.1));
}
