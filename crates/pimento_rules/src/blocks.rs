//! The sorted table of address blocks, with longest-prefix matching.

use crate::Block;
use ipnet::IpNet;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::{fmt, net::IpAddr, sync::Arc};

/// Number of blocks in a newly built chunk. A chunk is split once it has more
/// than twice as many.
const CHUNK_BLOCKS: usize = 1_024;

/// Address blocks, sorted by network.
///
/// The table is split into reference-counted chunks: a clone costs one pointer
/// per chunk, and applying a release note copies only the chunks that it
/// changes. See `docs/design/notes.md`.
#[derive(Clone, Default)]
pub struct Blocks {
    chunks: Vec<Arc<Vec<Block>>>,
    len: usize,
}

/// A change to one block of the table.
#[derive(Clone, Debug)]
pub(crate) enum Edit {
    /// Inserts the block or replaces the block of the same network.
    Put(Block),
    /// Removes the block of the network, if there is one.
    Remove(IpNet),
}

impl Edit {
    pub(crate) fn net(&self) -> &IpNet {
        match self {
            Self::Put(block) => &block.net,
            Self::Remove(net) => net,
        }
    }
}

impl Blocks {
    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the table has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Iterates over all blocks in the order of their networks.
    pub fn iter(&self) -> impl Iterator<Item = &Block> + Clone {
        self.chunks.iter().flat_map(|chunk| chunk.iter())
    }

    /// Iterates over the chunks in order, to encode the table page by page.
    pub(crate) fn chunks(&self) -> impl Iterator<Item = &[Block]> {
        self.chunks.iter().map(|chunk| chunk.as_slice())
    }

    /// Finds the block with exactly this network.
    pub fn get(&self, net: &IpNet) -> Option<&Block> {
        self.floor(net).filter(|block| block.net == *net)
    }

    /// Finds the block with the longest prefix that contains an address.
    pub fn longest_match(&self, ip: IpAddr) -> Option<&Block> {
        let mut bound = IpNet::from(ip);
        loop {
            let block = self.floor(&bound)?;
            if block.net.contains(&ip) {
                return Some(block);
            }
            // Any remaining block that contains the address also contains the
            // start of the block found here, so its prefix is at most as long
            // as the common prefix of the address and that start.
            let len = common_prefix(ip, block.net.addr())?;
            bound = IpNet::new(ip, len).ok()?.trunc();
        }
    }

    /// Finds the last block whose network is less than or equal to `net`.
    fn floor(&self, net: &IpNet) -> Option<&Block> {
        let after = self.chunks.partition_point(|chunk| chunk[0].net <= *net);
        let chunk = &self.chunks[after.checked_sub(1)?];
        let after = chunk.partition_point(|block| block.net <= *net);
        Some(&chunk[after - 1])
    }

    /// Returns the table with the edits applied. They must be sorted by network,
    /// with at most one edit per network.
    pub(crate) fn apply_edits(&self, edits: Vec<Edit>) -> Self {
        let mut chunks = Vec::with_capacity(self.chunks.len() + edits.len() / CHUNK_BLOCKS + 1);
        let mut edits = edits.into_iter().peekable();
        for (i, chunk) in self.chunks.iter().enumerate() {
            let next_start = self.chunks.get(i + 1).map(|next| &next[0].net);
            let in_chunk = |edit: &Edit| next_start.is_none_or(|start| edit.net() < start);
            if edits.peek().is_some_and(in_chunk) {
                let chunk_edits = std::iter::from_fn(|| edits.next_if(in_chunk));
                push_chunks(&mut chunks, merge(chunk, chunk_edits));
            } else {
                chunks.push(Arc::clone(chunk));
            }
        }
        push_chunks(&mut chunks, merge(&[], edits));
        let len = chunks.iter().map(|chunk| chunk.len()).sum();
        Self { chunks, len }
    }
}

/// Applies the edits that fall into the range of a chunk.
fn merge(chunk: &[Block], edits: impl Iterator<Item = Edit>) -> Vec<Block> {
    let mut merged = Vec::with_capacity(chunk.len() + edits.size_hint().0);
    let mut rest = chunk;
    for edit in edits {
        let before = rest.partition_point(|block| block.net < *edit.net());
        merged.extend_from_slice(&rest[..before]);
        rest = &rest[before..];
        if let Some((first, tail)) = rest.split_first()
            && first.net == *edit.net()
        {
            rest = tail;
        }
        if let Edit::Put(block) = edit {
            merged.push(block);
        }
    }
    merged.extend_from_slice(rest);
    merged
}

/// Appends a merged range, split into several chunks if it is too long for one.
fn push_chunks(chunks: &mut Vec<Arc<Vec<Block>>>, mut range: Vec<Block>) {
    if range.len() <= 2 * CHUNK_BLOCKS {
        if !range.is_empty() {
            range.shrink_to_fit();
            chunks.push(Arc::new(range));
        }
        return;
    }
    let parts = range
        .chunks(CHUNK_BLOCKS)
        .map(|part| Arc::new(part.to_vec()));
    chunks.extend(parts);
}

/// Returns the number of leading bits that two addresses share, or `None` if
/// one is IPv4 and the other IPv6.
fn common_prefix(a: IpAddr, b: IpAddr) -> Option<u8> {
    let bits = match (a, b) {
        (IpAddr::V4(a), IpAddr::V4(b)) => (a.to_bits() ^ b.to_bits()).leading_zeros(),
        (IpAddr::V6(a), IpAddr::V6(b)) => (a.to_bits() ^ b.to_bits()).leading_zeros(),
        _ => return None,
    };
    u8::try_from(bits).ok()
}

impl PartialEq for Blocks {
    fn eq(&self, other: &Self) -> bool {
        self.len == other.len && self.iter().eq(other.iter())
    }
}

impl Eq for Blocks {}

impl fmt::Debug for Blocks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.iter()).finish()
    }
}

impl FromIterator<Block> for Blocks {
    /// Sorts the blocks. Of several with the same network, the last one is kept.
    fn from_iter<I: IntoIterator<Item = Block>>(iter: I) -> Self {
        let mut blocks: Vec<Block> = iter.into_iter().collect();
        if !blocks.is_sorted_by(|a, b| a.net < b.net) {
            blocks.reverse();
            blocks.sort_by_key(|block| block.net);
            blocks.dedup_by(|later, first| later.net == first.net);
        }
        let len = blocks.len();
        let mut chunks = Vec::with_capacity(len / CHUNK_BLOCKS + 1);
        push_chunks(&mut chunks, blocks);
        Self { chunks, len }
    }
}

impl From<Vec<Block>> for Blocks {
    fn from(blocks: Vec<Block>) -> Self {
        blocks.into_iter().collect()
    }
}

impl Serialize for Blocks {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter())
    }
}

impl<'de> Deserialize<'de> for Blocks {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Vec::<Block>::deserialize(deserializer).map(Self::from)
    }
}
