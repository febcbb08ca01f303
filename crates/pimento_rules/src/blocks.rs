//! The table of address blocks.

use crate::Block;
use ipnet::IpNet;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::{fmt, net::IpAddr, sync::Arc};

/// The number of blocks that a chunk is built with; it is split at twice that.
const CHUNK: usize = 1_024;

/// Address blocks, sorted by network.
///
/// The table is cut into shared chunks, so that a copy costs one pointer a
/// chunk and a release note copies only the chunks that it touches. See
/// `docs/design/notes.md`.
#[derive(Clone, Default)]
pub struct Blocks {
    chunks: Vec<Arc<Vec<Block>>>,
    len: usize,
}

/// A change of one block.
#[derive(Clone, Debug)]
pub(crate) enum Edit {
    /// The block gets this content, whether or not it exists.
    Put(Block),
    /// The block goes.
    Drop(IpNet),
}

impl Edit {
    pub(crate) fn net(&self) -> &IpNet {
        match self {
            Self::Put(block) => &block.net,
            Self::Drop(net) => net,
        }
    }
}

impl Blocks {
    /// The number of blocks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no blocks.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All blocks, by network.
    pub fn iter(&self) -> impl Iterator<Item = &Block> + Clone {
        self.chunks.iter().flat_map(|chunk| chunk.iter())
    }

    /// The chunks of the table in order, for encoding page by page.
    pub(crate) fn chunks(&self) -> impl Iterator<Item = &[Block]> {
        self.chunks.iter().map(|chunk| chunk.as_slice())
    }

    /// Finds the block of a network.
    pub fn get(&self, net: &IpNet) -> Option<&Block> {
        self.floor(net).filter(|block| block.net == *net)
    }

    /// Finds the smallest block that holds an address.
    pub fn longest_match(&self, ip: IpAddr) -> Option<&Block> {
        let mut bound = IpNet::from(ip);
        loop {
            let block = self.floor(&bound)?;
            if block.net.contains(&ip) {
                return Some(block);
            }
            // A block that holds the address also holds the start of the block
            // found, so their common prefix bounds the rest of the search.
            let len = common_prefix(ip, block.net.addr())?;
            bound = IpNet::new(ip, len).ok()?.trunc();
        }
    }

    /// Finds the last block that is not after a network.
    fn floor(&self, net: &IpNet) -> Option<&Block> {
        let after = self.chunks.partition_point(|chunk| chunk[0].net <= *net);
        let chunk = &self.chunks[after.checked_sub(1)?];
        let after = chunk.partition_point(|block| block.net <= *net);
        Some(&chunk[after - 1])
    }

    /// Applies edits that are sorted by network, each network once.
    pub(crate) fn edit(&self, edits: Vec<Edit>) -> Self {
        let mut chunks = Vec::with_capacity(self.chunks.len() + edits.len() / CHUNK + 1);
        let mut edits = edits.into_iter().peekable();
        for (i, chunk) in self.chunks.iter().enumerate() {
            let next = self.chunks.get(i + 1).map(|next| &next[0].net);
            let mine = |edit: &Edit| next.is_none_or(|next| edit.net() < next);
            if edits.peek().is_some_and(mine) {
                let own = std::iter::from_fn(|| edits.next_if(mine));
                push_chunks(&mut chunks, merge(chunk, own));
            } else {
                chunks.push(Arc::clone(chunk));
            }
        }
        push_chunks(&mut chunks, merge(&[], edits));
        let len = chunks.iter().map(|chunk| chunk.len()).sum();
        Self { chunks, len }
    }
}

/// Merges a chunk with the edits of its range.
fn merge(chunk: &[Block], edits: impl Iterator<Item = Edit>) -> Vec<Block> {
    let mut out = Vec::with_capacity(chunk.len() + edits.size_hint().0);
    let mut rest = chunk;
    for edit in edits {
        let before = rest.partition_point(|block| block.net < *edit.net());
        out.extend_from_slice(&rest[..before]);
        rest = &rest[before..];
        if let Some((first, tail)) = rest.split_first()
            && first.net == *edit.net()
        {
            rest = tail;
        }
        if let Edit::Put(block) = edit {
            out.push(block);
        }
    }
    out.extend_from_slice(rest);
    out
}

/// Appends a merged range, cut where it has outgrown a chunk.
fn push_chunks(chunks: &mut Vec<Arc<Vec<Block>>>, mut range: Vec<Block>) {
    if range.len() <= 2 * CHUNK {
        if !range.is_empty() {
            range.shrink_to_fit();
            chunks.push(Arc::new(range));
        }
        return;
    }
    let cut = range.chunks(CHUNK).map(|part| Arc::new(part.to_vec()));
    chunks.extend(cut);
}

/// The number of leading bits that two addresses share; none if they are of
/// different families.
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
    /// Sorts the blocks; of two with the same network, the later one stays.
    fn from_iter<I: IntoIterator<Item = Block>>(iter: I) -> Self {
        let mut all: Vec<Block> = iter.into_iter().collect();
        if !all.is_sorted_by(|a, b| a.net < b.net) {
            all.reverse();
            all.sort_by_key(|block| block.net);
            all.dedup_by(|later, first| later.net == first.net);
        }
        let len = all.len();
        let mut chunks = Vec::with_capacity(len / CHUNK + 1);
        push_chunks(&mut chunks, all);
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
