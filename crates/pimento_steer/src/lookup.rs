//! Look-ups: the entry VMs that a caller should use.

use crate::{Steering, lookup_plan::Candidate};
use pimento_core::hash;
use pimento_core::prelude::*;
use std::net::{IpAddr, SocketAddr};

/// The prefix lengths (IPv4, IPv6) by which addresses outside all known blocks
/// are grouped.
const DEFAULT_PREFIX_LENS: (u32, u32) = (24, 48);
/// The time to live of a response for an unknown service.
const DEFAULT_TTL: Duration = Duration::from_secs(2);
/// The maximum number of entry VMs taken from the first failure domain.
const FIRST_DOMAIN_ENTRIES: usize = 3;

/// The response to a look-up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lookup {
    /// The version of the rules that the response is based on.
    pub version: u64,
    /// How long a caller may use the response.
    pub ttl: Duration,
    /// The caller addresses of entry VMs, best first.
    pub entries: Vec<SocketAddr>,
    /// Whether the response is based on outdated information, or on the
    /// information that no target can serve the service.
    pub stale: bool,
}

impl Steering {
    /// Finds the entry VMs that a caller should use for a service.
    ///
    /// The list is empty only if no entry VM is known at all. A caller's block
    /// keeps the same VMs as long as they remain suitable.
    pub fn lookup(&self, now: Time, service: &str, ip: IpAddr) -> Lookup {
        let (block, preferred) = self.locate_block(ip);
        let states = self.plan.states(service);
        let domains = self.plan.domains_by_distance(preferred, block);
        // Domains that have slots and keep the block come first, then other
        // domains that have slots, then the rest.
        let rank = |i: usize| match &states[i] {
            state if !state.has_slots => 2,
            state if !self.plan.keeps_block(i, state, block) => 1,
            _ => 0,
        };
        let ranked =
            (0..3).flat_map(|wanted_rank| domains.clone().filter(move |i| rank(*i) == wanted_rank));
        let mut entries = Vec::with_capacity(self.config.max_entries);
        let mut is_fresh = false;
        for (n, i) in ranked.enumerate() {
            let state = &states[i];
            let count = if n == 0 { FIRST_DOMAIN_ENTRIES } else { 1 };
            let remaining = self.config.max_entries - entries.len();
            is_fresh |= state.has_slots && now <= state.valid_until;
            push_best(&state.candidates, block, count.min(remaining), &mut entries);
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
            stale: !is_fresh,
        }
    }

    fn ttl(&self, service: &str) -> Duration {
        let rule = self.service_rule(service);
        rule.map_or(DEFAULT_TTL, |s| Duration::from_millis(u64::from(s.ttl)))
    }

    /// A hash that identifies a caller's block, and the index of the block's
    /// nearest failure domain in the plan.
    fn locate_block(&self, ip: IpAddr) -> (u64, usize) {
        let Some((net, domain)) = self.blocks.find_index(ip) else {
            let key = match ip.to_canonical() {
                IpAddr::V4(ip) => u64::from(ip.to_bits() >> (u32::BITS - DEFAULT_PREFIX_LENS.0)),
                IpAddr::V6(ip) => (ip.to_bits() >> (u128::BITS - DEFAULT_PREFIX_LENS.1)) as u64,
            };
            return (hash::mix(key), self.plan.own_index());
        };
        let start = match net.addr() {
            IpAddr::V4(ip) => u64::from(ip.to_bits()),
            IpAddr::V6(ip) => {
                let bits = ip.to_bits();
                (bits >> 64) as u64 ^ bits as u64
            }
        };
        let key = start ^ u64::from(net.prefix_len()).rotate_left(56);
        (hash::mix(key), self.plan.block_domain(domain))
    }
}

/// Appends the `count` entry VMs with the best scores for a block to a list.
fn push_best(candidates: &[Candidate], block: u64, count: usize, list: &mut Vec<SocketAddr>) {
    let mut best = [(f64::INFINITY, None); FIRST_DOMAIN_ENTRIES];
    let best = &mut best[..count.min(FIRST_DOMAIN_ENTRIES)];
    for candidate in candidates {
        let mut entry = (candidate.score(block), Some(candidate.address));
        for slot in best.iter_mut() {
            if entry.0 < slot.0 {
                std::mem::swap(slot, &mut entry);
            }
        }
    }
    list.extend(best.iter().filter_map(|slot| slot.1));
}
