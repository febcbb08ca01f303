//! The compact encoding of notes and rules.
//!
//! Logs, snapshots and pushes carry this form; YAML is only for operators.

use crate::{Block, Cap, Domain, Items, Link, Queue, Region, Retry, Service, Withdrawn};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use pimento_core::{Class, DomainId, RegionId};
use std::net::{Ipv4Addr, Ipv6Addr};

/// The length of an IPv6 address, in bytes.
const V6_LEN: usize = 16;

/// Everything that can be added, changed or in force.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct WireItems {
    #[prost(message, repeated, tag = "1")]
    pub regions: Vec<WireRegion>,
    #[prost(message, repeated, tag = "2")]
    pub domains: Vec<WireDomain>,
    #[prost(message, repeated, tag = "3")]
    pub links: Vec<WireLink>,
    #[prost(message, repeated, tag = "4")]
    pub services: Vec<WireService>,
    #[prost(message, optional, tag = "5")]
    pub blocks: Option<WireBlocks>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct WireNote {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(message, optional, tag = "2")]
    pub added: Option<WireItems>,
    #[prost(message, optional, tag = "3")]
    pub changed: Option<WireItems>,
    #[prost(message, optional, tag = "4")]
    pub withdrawn: Option<WireWithdrawn>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct WireWithdrawn {
    #[prost(string, repeated, tag = "1")]
    pub regions: Vec<String>,
    #[prost(string, repeated, tag = "2")]
    pub domains: Vec<String>,
    #[prost(message, repeated, tag = "3")]
    pub links: Vec<WireLink>,
    #[prost(string, repeated, tag = "4")]
    pub services: Vec<String>,
    /// The networks; their domains are empty.
    #[prost(message, optional, tag = "5")]
    pub blocks: Option<WireBlocks>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct WireRegion {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint32, tag = "2")]
    pub reserve: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct WireDomain {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub region: String,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct WireLink {
    #[prost(string, tag = "1")]
    pub a: String,
    #[prost(string, tag = "2")]
    pub b: String,
    #[prost(uint32, tag = "3")]
    pub mbit: u32,
    #[prost(uint32, tag = "4")]
    pub latency: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct WireService {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(bool, tag = "2")]
    pub repeatable: bool,
    #[prost(uint32, tag = "3")]
    pub class: u32,
    #[prost(string, repeated, tag = "4")]
    pub tenants: Vec<String>,
    #[prost(uint32, tag = "5")]
    pub timeout: u32,
    #[prost(uint32, tag = "6")]
    pub ttl: u32,
    #[prost(uint64, tag = "7")]
    pub body: u64,
    #[prost(uint32, tag = "8")]
    pub queue_len: u32,
    #[prost(uint32, tag = "9")]
    pub queue_wait: u32,
    #[prost(uint32, tag = "10")]
    pub attempts: u32,
    #[prost(uint32, tag = "11")]
    pub budget: u32,
    #[prost(uint32, optional, tag = "12")]
    pub hedge: Option<u32>,
    #[prost(uint32, optional, tag = "13")]
    pub cap_segment: Option<u32>,
    #[prost(uint32, optional, tag = "14")]
    pub cap_limit: Option<u32>,
}

/// Blocks as columns: each address is the difference to the one before, so
/// that neighbours take few bytes.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct WireBlocks {
    /// The domains that the indexes refer to.
    #[prost(string, repeated, tag = "1")]
    pub domains: Vec<String>,
    #[prost(uint32, repeated, tag = "2")]
    pub v4_steps: Vec<u32>,
    #[prost(bytes = "vec", tag = "3")]
    pub v4_lens: Vec<u8>,
    #[prost(bytes = "vec", tag = "4")]
    pub v6_addrs: Vec<u8>,
    #[prost(bytes = "vec", tag = "5")]
    pub v6_lens: Vec<u8>,
    /// For each block, IPv4 first, the index of its domain.
    #[prost(uint32, repeated, tag = "6")]
    pub indexes: Vec<u32>,
}

/// The encoded form does not stand for checked names and numbers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Damaged;

type Checked<T> = Result<T, Damaged>;

fn name<T: std::str::FromStr>(s: &str) -> Checked<T> {
    s.parse().ok().ok_or(Damaged)
}

fn narrow(n: u32) -> Checked<u8> {
    u8::try_from(n).ok().ok_or(Damaged)
}

fn all<'a, W: 'a, T>(wire: &'a [W], read: impl Fn(&'a W) -> Checked<T>) -> Checked<Vec<T>> {
    wire.iter().map(read).collect()
}

impl WireItems {
    pub(crate) fn pack(items: &Items) -> Self {
        Self {
            regions: items.regions.iter().map(WireRegion::pack).collect(),
            domains: items.domains.iter().map(WireDomain::pack).collect(),
            links: items.links.iter().map(WireLink::pack).collect(),
            services: items.services.iter().map(WireService::pack).collect(),
            blocks: WireBlocks::pack(items.blocks.iter()),
        }
    }

    pub(crate) fn unpack(&self) -> Checked<Items> {
        Ok(Items {
            regions: all(&self.regions, WireRegion::unpack)?,
            domains: all(&self.domains, WireDomain::unpack)?,
            links: all(&self.links, WireLink::unpack)?,
            services: all(&self.services, WireService::unpack)?,
            blocks: unpack_blocks(self.blocks.as_ref(), |name| name)?,
        })
    }
}

impl WireWithdrawn {
    pub(crate) fn pack(gone: &Withdrawn) -> Self {
        let link = |(a, b): &(RegionId, RegionId)| WireLink::ends(a, b);
        Self {
            regions: gone.regions.iter().map(ToString::to_string).collect(),
            domains: gone.domains.iter().map(ToString::to_string).collect(),
            links: gone.links.iter().map(link).collect(),
            services: gone.services.iter().map(ToString::to_string).collect(),
            blocks: WireBlocks::pack_nets(gone.blocks.iter()),
        }
    }

    pub(crate) fn unpack(&self) -> Checked<Withdrawn> {
        let link = |link: &WireLink| Ok((name(&link.a)?, name(&link.b)?));
        let blocks = self.blocks.as_ref().map_or(Ok(vec![]), WireBlocks::nets)?;
        Ok(Withdrawn {
            regions: all(&self.regions, |s| name(s))?,
            domains: all(&self.domains, |s| name(s))?,
            links: all(&self.links, link)?,
            services: all(&self.services, |s| name(s))?,
            blocks,
        })
    }
}

impl WireRegion {
    fn pack(region: &Region) -> Self {
        Self {
            name: region.name.to_string(),
            reserve: region.reserve.into(),
        }
    }

    fn unpack(&self) -> Checked<Region> {
        Ok(Region {
            name: name(&self.name)?,
            reserve: narrow(self.reserve)?,
        })
    }
}

impl WireDomain {
    fn pack(domain: &Domain) -> Self {
        Self {
            name: domain.name.to_string(),
            region: domain.region.to_string(),
        }
    }

    fn unpack(&self) -> Checked<Domain> {
        Ok(Domain {
            name: name(&self.name)?,
            region: name(&self.region)?,
        })
    }
}

impl WireLink {
    fn ends(a: &str, b: &str) -> Self {
        Self {
            a: a.to_owned(),
            b: b.to_owned(),
            ..Self::default()
        }
    }

    fn pack(link: &Link) -> Self {
        Self {
            mbit: link.mbit,
            latency: link.latency,
            ..Self::ends(&link.a, &link.b)
        }
    }

    fn unpack(&self) -> Checked<Link> {
        Ok(Link {
            a: name(&self.a)?,
            b: name(&self.b)?,
            mbit: self.mbit,
            latency: self.latency,
        })
    }
}

impl WireService {
    fn pack(service: &Service) -> Self {
        Self {
            name: service.name.to_string(),
            repeatable: service.repeatable,
            class: service.class as u32,
            tenants: service.tenants.iter().map(ToString::to_string).collect(),
            timeout: service.timeout,
            ttl: service.ttl,
            body: service.body,
            queue_len: service.queue.len,
            queue_wait: service.queue.wait,
            attempts: service.retry.attempts.into(),
            budget: service.retry.budget.into(),
            hedge: service.retry.hedge,
            cap_segment: service.cap.as_ref().map(|cap| cap.segment.into()),
            cap_limit: service.cap.as_ref().map(|cap| cap.limit),
        }
    }

    fn unpack(&self) -> Checked<Service> {
        let mut classes = Class::ALL.into_iter();
        let class = classes.find(|class| *class as u32 == self.class);
        let cap = match (self.cap_segment, self.cap_limit) {
            (Some(segment), Some(limit)) => Some(Cap {
                segment: narrow(segment)?,
                limit,
            }),
            (None, None) => None,
            _ => return Err(Damaged),
        };
        Ok(Service {
            name: name(&self.name)?,
            repeatable: self.repeatable,
            class: class.ok_or(Damaged)?,
            tenants: all(&self.tenants, |s| name(s))?,
            timeout: self.timeout,
            ttl: self.ttl,
            body: self.body,
            queue: Queue {
                len: self.queue_len,
                wait: self.queue_wait,
            },
            retry: Retry {
                attempts: narrow(self.attempts)?,
                budget: narrow(self.budget)?,
                hedge: self.hedge,
            },
            cap,
        })
    }
}

impl WireBlocks {
    /// Encodes blocks that are sorted by network; none if there are none.
    pub(crate) fn pack<'a>(blocks: impl Iterator<Item = &'a Block> + Clone) -> Option<Self> {
        let nets = blocks.clone().map(|block| &block.net);
        let mut wire = Self::pack_nets(nets)?;
        let mut domains: Vec<&DomainId> = blocks.clone().map(|block| &block.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let index = |block: &Block| match domains.binary_search(&&block.domain) {
            Ok(i) | Err(i) => i as u32,
        };
        wire.indexes = blocks.map(index).collect();
        wire.domains = domains.into_iter().map(ToString::to_string).collect();
        Some(wire)
    }

    fn pack_nets<'a>(nets: impl Iterator<Item = &'a IpNet>) -> Option<Self> {
        let mut wire = Self::default();
        let mut last = 0_u32;
        for net in nets {
            match net {
                IpNet::V4(net) => {
                    let addr = net.addr().to_bits();
                    wire.v4_steps.push(addr.wrapping_sub(last));
                    wire.v4_lens.push(net.prefix_len());
                    last = addr;
                }
                IpNet::V6(net) => {
                    wire.v6_addrs.extend_from_slice(&net.addr().octets());
                    wire.v6_lens.push(net.prefix_len());
                }
            }
        }
        let empty = wire.v4_lens.is_empty() && wire.v6_lens.is_empty();
        (!empty).then_some(wire)
    }

    fn nets(&self) -> Checked<Vec<IpNet>> {
        let even = self.v4_steps.len() == self.v4_lens.len()
            && self.v6_addrs.len() == self.v6_lens.len() * V6_LEN;
        if !even {
            return Err(Damaged);
        }
        let mut nets = Vec::with_capacity(self.v4_lens.len() + self.v6_lens.len());
        let mut addr = 0_u32;
        for (step, len) in self.v4_steps.iter().zip(&self.v4_lens) {
            addr = addr.wrapping_add(*step);
            let net = Ipv4Net::new(Ipv4Addr::from_bits(addr), *len);
            nets.push(IpNet::V4(net.ok().ok_or(Damaged)?));
        }
        let (addrs, _) = self.v6_addrs.as_chunks::<V6_LEN>();
        for (octets, len) in addrs.iter().zip(&self.v6_lens) {
            let net = Ipv6Net::new(Ipv6Addr::from(*octets), *len);
            nets.push(IpNet::V6(net.ok().ok_or(Damaged)?));
        }
        Ok(nets)
    }

    fn unpack(&self, share: impl Fn(DomainId) -> DomainId) -> Checked<Vec<Block>> {
        let nets = self.nets()?;
        if nets.len() != self.indexes.len() {
            return Err(Damaged);
        }
        let domains: Vec<DomainId> = all(&self.domains, |s| name(s).map(&share))?;
        let block = |(net, index): (IpNet, &u32)| {
            let domain = domains.get(*index as usize).ok_or(Damaged)?.clone();
            Ok(Block { net, domain })
        };
        nets.into_iter().zip(&self.indexes).map(block).collect()
    }
}

/// Decodes the blocks of a list that may be absent; `share` may replace the
/// name of a domain by an equal one that shares its text.
pub(crate) fn unpack_blocks(
    wire: Option<&WireBlocks>,
    share: impl Fn(DomainId) -> DomainId,
) -> Checked<Vec<Block>> {
    wire.map_or(Ok(vec![]), |wire| wire.unpack(share))
}
