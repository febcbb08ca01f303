//! Maps client blocks to failure domains.

use crate::family::{Family, Row};
use ipnet::IpNet;
use pimento_core::DomainId;
use pimento_rules::Block;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Changes to a [`BlockTable`].
#[derive(Clone, Debug, Default)]
pub struct BlockDelta {
    /// Blocks that are added or move to another failure domain.
    pub set: Vec<Block>,
    /// Blocks that are removed.
    pub removed: Vec<IpNet>,
}

/// The nearest failure domain of each client block, for millions of blocks.
///
/// A table is immutable: [`BlockTable::apply`] builds a new one, so look-ups
/// can continue on the old one in the meantime. The longest matching prefix
/// wins.
#[derive(Clone, Debug)]
pub struct BlockTable {
    v4: Family<u32>,
    v6: Family<u128>,
    /// The names that rows refer to by index.
    domains: Vec<DomainId>,
}

fn mask_v4(address: u32, len: u8) -> u32 {
    let host = u32::BITS - u32::from(len);
    u32::MAX.checked_shl(host).unwrap_or(0) & address
}

fn mask_v6(address: u128, len: u8) -> u128 {
    let host = u128::BITS - u32::from(len);
    u128::MAX.checked_shl(host).unwrap_or(0) & address
}

/// A change to one family: first address, prefix length, and failure domain
/// (none to remove the block).
type Change<T> = (T, u8, Option<u16>);

impl Default for BlockTable {
    fn default() -> Self {
        Self {
            v4: Family::new(mask_v4),
            v6: Family::new(mask_v6),
            domains: Vec::new(),
        }
    }
}

impl BlockTable {
    /// Builds a table. If a block occurs more than once, the last occurrence
    /// counts.
    pub fn new<'a>(blocks: impl IntoIterator<Item = &'a Block>) -> Self {
        let blocks = blocks.into_iter().map(|block| (block.net, &block.domain));
        Self::default().with_changes(blocks, &[])
    }

    /// Builds a new table with the changes applied. A block that is both set
    /// and removed is set.
    #[must_use]
    pub fn apply(&self, delta: &BlockDelta) -> Self {
        let set = delta.set.iter().map(|block| (block.net, &block.domain));
        self.with_changes(set, &delta.removed)
    }

    fn with_changes<'a>(
        &self,
        set: impl Iterator<Item = (IpNet, &'a DomainId)>,
        removed: &[IpNet],
    ) -> Self {
        let mut domains = self.domains.clone();
        let mut v4: Vec<Change<u32>> = Vec::new();
        let mut v6: Vec<Change<u128>> = Vec::new();
        let mut add_change = |net: IpNet, domain: Option<u16>| match net.trunc() {
            IpNet::V4(net) => v4.push((net.addr().to_bits(), net.prefix_len(), domain)),
            IpNet::V6(net) => v6.push((net.addr().to_bits(), net.prefix_len(), domain)),
        };
        for net in removed {
            add_change(*net, None);
        }
        for (net, domain) in set {
            add_change(net, Some(intern(&mut domains, domain)));
        }
        Self {
            v4: self.v4.merge(&sorted_changes(v4)),
            v6: self.v6.merge(&sorted_changes(v6)),
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

    /// The failure domains that row indexes refer to.
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

    /// The memory used by the table, in bytes, without the names of the failure
    /// domains.
    pub fn memory_bytes(&self) -> usize {
        self.v4.memory_bytes() + self.v6.memory_bytes()
    }
}

/// The index of a domain's name, which is added if it is missing. A linear
/// search is enough, since there are only tens of names.
fn intern(domains: &mut Vec<DomainId>, domain: &DomainId) -> u16 {
    let found = domains.iter().position(|known| known == domain);
    let i = found.unwrap_or_else(|| {
        domains.push(domain.clone());
        domains.len() - 1
    });
    u16::try_from(i).unwrap_or(u16::MAX)
}

/// Sorts changes; of several changes to one block, the last one is kept.
fn sorted_changes<T: Copy + Ord>(mut changes: Vec<Change<T>>) -> Vec<Change<T>> {
    let key = |change: &Change<T>| (change.0, change.1);
    if !changes.is_sorted_by_key(key) {
        changes.sort_by_key(key);
    }
    changes.reverse();
    changes.dedup_by_key(|change| key(change));
    changes.reverse();
    changes
}
