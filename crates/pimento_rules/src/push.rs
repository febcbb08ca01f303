//! What VMs say to each other to spread the rules.

use crate::{
    Blocks, Items, NoteError, Rules,
    wire::{Damaged, WireBlocks, WireItems, unpack_blocks},
};
use prost::Message as _;

/// The chunks of the block table that one page carries: some 30,000 blocks, in
/// 200 to 400 KB.
const PAGE_CHUNKS: usize = 32;

/// The most pages of a full copy.
pub(crate) const MAX_PAGES: u32 = 1 << 16;

/// Asks for what a VM lacks.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct RulesPull {
    /// The version that the asking VM has in force.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The version of the full copy that it has begun to receive, or zero.
    #[prost(uint64, tag = "2")]
    pub copy_version: u64,
    /// The next page of that copy.
    #[prost(uint32, tag = "3")]
    pub next_page: u32,
}

/// Brings a VM forward, by notes or by a page of a full copy.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct RulesPush {
    /// The newest version that the sender has in force.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Encoded notes in the order of their numbers.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub notes: Vec<Vec<u8>>,
    /// A page of a full copy, for a VM that is too far behind for notes.
    #[prost(message, optional, tag = "3")]
    pub page: Option<Page>,
}

/// A part of a full copy.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Page {
    /// The version of the copy.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The place of the page, from zero.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// The number of pages.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// The encoded items.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
}

impl Rules {
    /// The number of pages that a full copy takes.
    pub(crate) fn page_count(&self) -> u32 {
        let count = self.blocks.chunks().count().div_ceil(PAGE_CHUNKS);
        u32::try_from(count.max(1)).unwrap_or(u32::MAX)
    }

    /// Encodes a page; the first one also carries everything but blocks.
    pub(crate) fn page(&self, index: u32) -> Page {
        let chunks = self.blocks.chunks();
        let mine = chunks.skip(index as usize * PAGE_CHUNKS).take(PAGE_CHUNKS);
        let mine: Vec<_> = mine.collect();
        let blocks = WireBlocks::pack(mine.iter().copied().flatten());
        let mut items = WireItems::default();
        if index == 0 {
            items = WireItems::pack(&self.named());
        }
        items.blocks = blocks;
        Page {
            version: self.version,
            index,
            count: self.page_count(),
            body: items.encode_to_vec(),
        }
    }

    /// Puts a full copy together again.
    ///
    /// # Errors
    ///
    /// Returns [`NoteError::Damaged`] unless the pages are a whole copy.
    pub(crate) fn from_pages(version: u64, pages: &[Page]) -> Result<Self, NoteError> {
        read_pages(version, pages)
            .ok()
            .ok_or(NoteError::Damaged("rules"))
    }

    fn named(&self) -> Items {
        Items {
            regions: self.regions.clone(),
            domains: self.domains.clone(),
            links: self.links.clone(),
            services: self.services.clone(),
            blocks: Vec::new(),
        }
    }

    /// Whether every list is sorted and holds each name once.
    fn is_sorted(&self) -> bool {
        self.regions.is_sorted_by(|a, b| a.name < b.name)
            && self.domains.is_sorted_by(|a, b| a.name < b.name)
            && self.links.is_sorted_by(|a, b| a.ends() < b.ends())
            && self.services.is_sorted_by(|a, b| a.name < b.name)
    }
}

fn read_pages(version: u64, pages: &[Page]) -> Result<Rules, Damaged> {
    let mut rules = Rules {
        version,
        ..Rules::default()
    };
    let mut blocks = Vec::new();
    for (i, page) in pages.iter().enumerate() {
        let mut wire = WireItems::decode(page.body.as_slice())
            .ok()
            .ok_or(Damaged)?;
        let part = wire.blocks.take();
        let named = wire.unpack()?;
        if i > 0 && !named.is_empty() {
            return Err(Damaged);
        }
        if i == 0 {
            rules.regions = named.regions;
            rules.domains = named.domains;
            rules.links = named.links;
            rules.services = named.services;
        }
        blocks.extend(unpack_blocks(part.as_ref(), |name| rules.shared(name))?);
    }
    let sorted = rules.is_sorted() && blocks.is_sorted_by(|a, b| a.net < b.net);
    if !sorted {
        return Err(Damaged);
    }
    rules.blocks = Blocks::from(blocks);
    Ok(rules)
}
