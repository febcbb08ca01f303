//! The compact Protobuf encoding of notes and rules.
//!
//! Logs, snapshots and pushes use this encoding; operators use YAML.

use crate::{Block, Cap, Domain, Items, Link, Queue, Region, Retry, Service, Withdrawn};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use pimento_core::{Class, DomainId, RegionId};
use std::net::{Ipv4Addr, Ipv6Addr};

const V6_ADDR_BYTES: usize = 16;

/// All kinds of items, in a note or in the rules.
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
    /// The networks, without failure domains.
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

/// Address blocks in columns. Each IPv4 address is encoded as the difference to
/// the previous one, so that adjacent networks take few bytes.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct WireBlocks {
    /// The failure domains that `indexes` refers to.
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
    /// The index of the failure domain of each block, IPv4 blocks first.
    #[prost(uint32, repeated, tag = "6")]
    pub indexes: Vec<u32>,
}

/// The encoding contains an invalid name, number or structure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecodeError;

type DecodeResult<T> = Result<T, DecodeError>;

fn parse_name<T: std::str::FromStr>(s: &str) -> DecodeResult<T> {
    s.parse().ok().ok_or(DecodeError)
}

fn to_u8(n: u32) -> DecodeResult<u8> {
    u8::try_from(n).ok().ok_or(DecodeError)
}

fn unpack_all<'a, W: 'a, T>(
    wire: &'a [W],
    unpack: impl Fn(&'a W) -> DecodeResult<T>,
) -> DecodeResult<Vec<T>> {
    wire.iter().map(unpack).collect()
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

    pub(crate) fn unpack(&self) -> DecodeResult<Items> {
        Ok(Items {
            regions: unpack_all(&self.regions, WireRegion::unpack)?,
            domains: unpack_all(&self.domains, WireDomain::unpack)?,
            links: unpack_all(&self.links, WireLink::unpack)?,
            services: unpack_all(&self.services, WireService::unpack)?,
            blocks: unpack_blocks(self.blocks.as_ref(), |domain| domain)?,
        })
    }
}

impl WireWithdrawn {
    pub(crate) fn pack(withdrawn: &Withdrawn) -> Self {
        let link = |(a, b): &(RegionId, RegionId)| WireLink::ends(a, b);
        Self {
            regions: withdrawn.regions.iter().map(ToString::to_string).collect(),
            domains: withdrawn.domains.iter().map(ToString::to_string).collect(),
            links: withdrawn.links.iter().map(link).collect(),
            services: withdrawn.services.iter().map(ToString::to_string).collect(),
            blocks: WireBlocks::pack_nets(withdrawn.blocks.iter()),
        }
    }

    pub(crate) fn unpack(&self) -> DecodeResult<Withdrawn> {
        let link = |link: &WireLink| Ok((parse_name(&link.a)?, parse_name(&link.b)?));
        let blocks = self.blocks.as_ref().map_or(Ok(vec![]), WireBlocks::nets)?;
        Ok(Withdrawn {
            regions: unpack_all(&self.regions, |s| parse_name(s))?,
            domains: unpack_all(&self.domains, |s| parse_name(s))?,
            links: unpack_all(&self.links, link)?,
            services: unpack_all(&self.services, |s| parse_name(s))?,
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

    fn unpack(&self) -> DecodeResult<Region> {
        Ok(Region {
            name: parse_name(&self.name)?,
            reserve: to_u8(self.reserve)?,
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

    fn unpack(&self) -> DecodeResult<Domain> {
        Ok(Domain {
            name: parse_name(&self.name)?,
            region: parse_name(&self.region)?,
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

    fn unpack(&self) -> DecodeResult<Link> {
        Ok(Link {
            a: parse_name(&self.a)?,
            b: parse_name(&self.b)?,
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

    fn unpack(&self) -> DecodeResult<Service> {
        let mut classes = Class::ALL.into_iter();
        let class = classes.find(|class| *class as u32 == self.class);
        let cap = match (self.cap_segment, self.cap_limit) {
            (Some(segment), Some(limit)) => Some(Cap {
                segment: to_u8(segment)?,
                limit,
            }),
            (None, None) => None,
            _ => return Err(DecodeError),
        };
        Ok(Service {
            name: parse_name(&self.name)?,
            repeatable: self.repeatable,
            class: class.ok_or(DecodeError)?,
            tenants: unpack_all(&self.tenants, |s| parse_name(s))?,
            timeout: self.timeout,
            ttl: self.ttl,
            body: self.body,
            queue: Queue {
                len: self.queue_len,
                wait: self.queue_wait,
            },
            retry: Retry {
                attempts: to_u8(self.attempts)?,
                budget: to_u8(self.budget)?,
                hedge: self.hedge,
            },
            cap,
        })
    }
}

impl WireBlocks {
    /// Encodes blocks that are sorted by network. Returns `None` if there are no
    /// blocks.
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
        let mut previous = 0_u32;
        for net in nets {
            match net {
                IpNet::V4(net) => {
                    let addr = net.addr().to_bits();
                    wire.v4_steps.push(addr.wrapping_sub(previous));
                    wire.v4_lens.push(net.prefix_len());
                    previous = addr;
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

    fn nets(&self) -> DecodeResult<Vec<IpNet>> {
        let lengths_match = self.v4_steps.len() == self.v4_lens.len()
            && self.v6_addrs.len() == self.v6_lens.len() * V6_ADDR_BYTES;
        if !lengths_match {
            return Err(DecodeError);
        }
        let mut nets = Vec::with_capacity(self.v4_lens.len() + self.v6_lens.len());
        let mut addr = 0_u32;
        for (step, len) in self.v4_steps.iter().zip(&self.v4_lens) {
            addr = addr.wrapping_add(*step);
            let net = Ipv4Net::new(Ipv4Addr::from_bits(addr), *len);
            nets.push(IpNet::V4(net.ok().ok_or(DecodeError)?));
        }
        let (addrs, _) = self.v6_addrs.as_chunks::<V6_ADDR_BYTES>();
        for (octets, len) in addrs.iter().zip(&self.v6_lens) {
            let net = Ipv6Net::new(Ipv6Addr::from(*octets), *len);
            nets.push(IpNet::V6(net.ok().ok_or(DecodeError)?));
        }
        Ok(nets)
    }

    fn unpack(&self, intern: impl Fn(DomainId) -> DomainId) -> DecodeResult<Vec<Block>> {
        let nets = self.nets()?;
        if nets.len() != self.indexes.len() {
            return Err(DecodeError);
        }
        let domains: Vec<DomainId> = unpack_all(&self.domains, |s| parse_name(s).map(&intern))?;
        let block = |(net, index): (IpNet, &u32)| {
            let domain = domains.get(*index as usize).ok_or(DecodeError)?.clone();
            Ok(Block { net, domain })
        };
        nets.into_iter().zip(&self.indexes).map(block).collect()
    }
}

/// Decodes a list of blocks, which may be absent. `intern` may replace the name
/// of a failure domain with an equal one that shares its text.
pub(crate) fn unpack_blocks(
    wire: Option<&WireBlocks>,
    intern: impl Fn(DomainId) -> DomainId,
) -> DecodeResult<Vec<Block>> {
    wire.map_or(Ok(vec![]), |wire| wire.unpack(intern))
}
