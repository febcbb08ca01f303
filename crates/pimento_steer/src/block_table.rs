//! The table from client blocks to failure domains.

use crate::family::{Family, Row};
use ipnet::IpNet;
use pimento_core::DomainId;
use pimento_rules::Block;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Changes of a [`BlockTable`].
#[derive(Clone, Debug, Default)]
pub struct BlockDelta {
    /// Blocks that are added or get another failure domain.
    pub set: Vec<Block>,
    /// Blocks that are removed.
    pub removed: Vec<IpNet>,
}

/// Which failure domain is nearest to a client, for millions of blocks.
///
/// A table never changes: [`BlockTable::apply`] makes a new one beside it, so
/// look-ups go on over the old one meanwhile. The longest prefix wins.
#[derive(Clone, Debug)]
pub struct BlockTable {
    v4: Family<u32>,
    v6: Family<u128>,
    /// The names that rows refer to by index.
    domains: Vec<DomainId>,
}

fn mask4(address: u32, len: u8) -> u32 {
    let host = u32::BITS - u32::from(len);
    u32::MAX.checked_shl(host).unwrap_or(0) & address
}

fn mask6(address: u128, len: u8) -> u128 {
    let host = u128::BITS - u32::from(len);
    u128::MAX.checked_shl(host).unwrap_or(0) & address
}

/// A change in a family: first address, prefix length, domain.
type Change<T> = (T, u8, Option<u16>);

impl Default for BlockTable {
    fn default() -> Self {
        Self {
            v4: Family::new(mask4),
            v6: Family::new(mask6),
            domains: Vec::new(),
        }
    }
}

impl BlockTable {
    /// Builds a table; of equal blocks the last one counts.
    pub fn new<'a>(blocks: impl IntoIterator<Item = &'a Block>) -> Self {
        let blocks = blocks.into_iter().map(|block| (block.net, &block.domain));
        Self::default().changed(blocks, &[])
    }

    /// A new table with changes; a block that is both set and removed is set.
    #[must_use]
    pub fn apply(&self, delta: &BlockDelta) -> Self {
        let set = delta.set.iter().map(|block| (block.net, &block.domain));
        self.changed(set, &delta.removed)
    }

    fn changed<'a>(
        &self,
        set: impl Iterator<Item = (IpNet, &'a DomainId)>,
        removed: &[IpNet],
    ) -> Self {
        let mut domains = self.domains.clone();
        let mut v4: Vec<Change<u32>> = Vec::new();
        let mut v6: Vec<Change<u128>> = Vec::new();
        let mut add = |net: IpNet, domain: Option<u16>| match net.trunc() {
            IpNet::V4(net) => v4.push((net.addr().to_bits(), net.prefix_len(), domain)),
            IpNet::V6(net) => v6.push((net.addr().to_bits(), net.prefix_len(), domain)),
        };
        for net in removed {
            add(*net, None);
        }
        for (net, domain) in set {
            add(net, Some(intern(&mut domains, domain)));
        }
        Self {
            v4: self.v4.merge(&sorted(v4)),
            v6: self.v6.merge(&sorted(v6)),
            domains,
        }
    }

    /// The failure domain that is nearest to a client.
    pub fn find(&self, ip: IpAddr) -> Option<&DomainId> {
        self.find_block(ip).map(|(_, domain)| domain)
    }

    /// The client's block and its nearest failure domain.
    pub fn find_block(&self, ip: IpAddr) -> Option<(IpNet, &DomainId)> {
        let (net, domain) = self.find_index(ip)?;
        Some((net, &self.domains[usize::from(domain)]))
    }

    /// The client's block and the index of its nearest failure domain.
    pub(crate) fn find_index(&self, ip: IpAddr) -> Option<(IpNet, u16)> {
        match ip.to_canonical() {
            IpAddr::V4(ip) => {
                let row: Row<u32> = self.v4.find(ip.to_bits())?;
                let net = IpNet::new(Ipv4Addr::from_bits(row.start).into(), row.len);
                Some((net.ok()?, row.domain))
            }
            IpAddr::V6(ip) => {
                let row: Row<u128> = self.v6.find(ip.to_bits())?;
                let net = IpNet::new(Ipv6Addr::from_bits(row.start).into(), row.len);
                Some((net.ok()?, row.domain))
            }
        }
    }

    /// The failure domains that indexes refer to.
    pub(crate) fn domains(&self) -> &[DomainId] {
        &self.domains
    }

    /// The number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Whether there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The memory of the table, in bytes, without the domains' names.
    pub fn memory_bytes(&self) -> usize {
        self.v4.bytes() + self.v6.bytes()
    }
}

/// The index of a domain's name; there are tens of them.
fn intern(domains: &mut Vec<DomainId>, domain: &DomainId) -> u16 {
    let found = domains.iter().position(|known| known == domain);
    let i = found.unwrap_or_else(|| {
        domains.push(domain.clone());
        domains.len() - 1
    });
    u16::try_from(i).unwrap_or(u16::MAX)
}

/// Sorts changes; of changes to one block the last one stays.
fn sorted<T: Copy + Ord>(mut changes: Vec<Change<T>>) -> Vec<Change<T>> {
    let key = |change: &Change<T>| (change.0, change.1);
    if !changes.is_sorted_by_key(key) {
        changes.sort_by_key(key);
    }
    changes.reverse();
    changes.dedup_by_key(|change| key(change));
    changes.reverse();
    changes
}
