//! The messages with which VMs distribute the rules.

use crate::{
    Blocks, Items, NoteError, Rules,
    wire::{DecodeError, WireBlocks, WireItems, unpack_blocks},
};
use prost::Message as _;

/// Number of chunks of the block table per page: about 30,000 blocks, which
/// take 200 to 400 KB.
const CHUNKS_PER_PAGE: usize = 32;

/// Maximum number of pages of a full copy.
pub(crate) const MAX_PAGES: u32 = 1 << 16;

/// A request for the rules that follow the version of the sender.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct RulesPull {
    /// The version that the sender has in force.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Version of the full copy that the sender has received in part, or zero.
    #[prost(uint64, tag = "2")]
    pub copy_version: u64,
    /// Index of the next page of that copy.
    #[prost(uint32, tag = "3")]
    pub next_page: u32,
}

/// An update of a VM's rules: either notes or a page of a full copy.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct RulesPush {
    /// The newest version that the sender has in force.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Encoded notes, in the order of their numbers.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub notes: Vec<Vec<u8>>,
    /// A page of a full copy, for a VM whose next notes have been compacted.
    #[prost(message, optional, tag = "3")]
    pub page: Option<Page>,
}

/// One page of a full copy of the rules.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Page {
    /// Version of the rules that the copy contains.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Index of the page, starting at zero.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of pages of the copy.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Encoded items: a part of the blocks; on the first page, all other items
    /// as well.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
}

impl Rules {
    /// Returns the number of pages of a full copy.
    pub(crate) fn page_count(&self) -> u32 {
        let count = self.blocks.chunks().count().div_ceil(CHUNKS_PER_PAGE);
        u32::try_from(count.max(1)).unwrap_or(u32::MAX)
    }

    /// Encodes one page. The first page also contains all items except blocks.
    pub(crate) fn page(&self, index: u32) -> Page {
        let chunks = self.blocks.chunks();
        let page_chunks = chunks
            .skip(index as usize * CHUNKS_PER_PAGE)
            .take(CHUNKS_PER_PAGE);
        let page_chunks: Vec<_> = page_chunks.collect();
        let blocks = WireBlocks::pack(page_chunks.iter().copied().flatten());
        let mut items = WireItems::default();
        if index == 0 {
            items = WireItems::pack(&self.items_without_blocks());
        }
        items.blocks = blocks;
        Page {
            version: self.version,
            index,
            count: self.page_count(),
            body: items.encode_to_vec(),
        }
    }

    /// Rebuilds the rules from the pages of a full copy.
    ///
    /// # Errors
    ///
    /// Returns [`NoteError::Damaged`] if the pages are not a valid, complete copy.
    pub(crate) fn from_pages(version: u64, pages: &[Page]) -> Result<Self, NoteError> {
        decode_pages(version, pages)
            .ok()
            .ok_or(NoteError::Damaged("rules"))
    }

    /// Returns all items except blocks.
    fn items_without_blocks(&self) -> Items {
        Items {
            regions: self.regions.clone(),
            domains: self.domains.clone(),
            links: self.links.clone(),
            services: self.services.clone(),
            blocks: Vec::new(),
        }
    }

    /// Returns whether every list is sorted and free of duplicates.
    fn is_strictly_sorted(&self) -> bool {
        self.regions.is_sorted_by(|a, b| a.name < b.name)
            && self.domains.is_sorted_by(|a, b| a.name < b.name)
            && self.links.is_sorted_by(|a, b| a.ends() < b.ends())
            && self.services.is_sorted_by(|a, b| a.name < b.name)
    }
}

fn decode_pages(version: u64, pages: &[Page]) -> Result<Rules, DecodeError> {
    let mut rules = Rules {
        version,
        ..Rules::default()
    };
    let mut blocks = Vec::new();
    for (i, page) in pages.iter().enumerate() {
        let mut wire = WireItems::decode(page.body.as_slice())
            .ok()
            .ok_or(DecodeError)?;
        let page_blocks = wire.blocks.take();
        let items = wire.unpack()?;
        if i > 0 && !items.is_empty() {
            return Err(DecodeError);
        }
        if i == 0 {
            rules.regions = items.regions;
            rules.domains = items.domains;
            rules.links = items.links;
            rules.services = items.services;
        }
        blocks.extend(unpack_blocks(page_blocks.as_ref(), |name| {
            rules.intern_domain(name)
        })?);
    }
    let sorted = rules.is_strictly_sorted() && blocks.is_sorted_by(|a, b| a.net < b.net);
    if !sorted {
        return Err(DecodeError);
    }
    rules.blocks = Blocks::from(blocks);
    Ok(rules)
}
