//! A sorted index of the blocks of one address family.

/// The parent length of a block that no other block contains.
const NO_PARENT: u8 = u8::MAX;
/// The number of entries per entry of the level above. A group of this size
/// fits a cache line, so each level of a search costs at most one cache miss.
const FANOUT: usize = 16;

/// A block as stored in the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Row<T> {
    /// The first address.
    pub(crate) start: T,
    /// The prefix length.
    pub(crate) len: u8,
    /// The index of the failure domain.
    pub(crate) domain: u16,
}

/// The other properties of a block, stored apart from its first address.
#[derive(Clone, Copy, Debug)]
struct Meta {
    len: u8,
    /// The prefix length of the next larger block that contains this one.
    parent: u8,
    domain: u16,
}

/// Blocks sorted by first address, then by prefix length.
///
/// The addresses are stored in a vector of their own, so that a search reads
/// nothing else. Blocks can contain each other. Each block stores the prefix
/// length of the next larger one that contains it, so the longest match needs
/// no second structure.
#[derive(Clone, Debug)]
pub(crate) struct Family<T> {
    starts: Vec<T>,
    metas: Vec<Meta>,
    /// The search levels, lowest first; each holds every sixteenth address of
    /// the level below.
    levels: Vec<Vec<T>>,
    /// Clears the host bits of an address.
    mask: fn(T, u8) -> T,
}

impl<T: Copy + Ord> Family<T> {
    pub(crate) fn new(mask: fn(T, u8) -> T) -> Self {
        Self {
            starts: Vec::new(),
            metas: Vec::new(),
            levels: Vec::new(),
            mask,
        }
    }

    pub(crate) fn with_capacity(mask: fn(T, u8) -> T, rows: usize) -> Self {
        Self {
            starts: Vec::with_capacity(rows),
            metas: Vec::with_capacity(rows),
            levels: Vec::new(),
            mask,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.starts.len()
    }

    /// The memory used by the blocks, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        let levels: usize = self.levels.iter().map(Vec::capacity).sum();
        let addresses = (self.starts.capacity() + levels) * size_of::<T>();
        addresses + self.metas.capacity() * size_of::<Meta>()
    }

    /// Appends a block, which must not sort before the others. A block equal to
    /// the last one replaces it.
    pub(crate) fn push(&mut self, row: Row<T>) {
        let last = self.len().wrapping_sub(1);
        if self.starts.last() == Some(&row.start) && self.metas[last].len == row.len {
            self.metas[last].domain = row.domain;
            return;
        }
        let Row { start, len, domain } = row;
        let parent = self.parent_of(start, len);
        self.starts.push(start);
        self.metas.push(Meta {
            len,
            parent,
            domain,
        });
        self.extend_levels(start);
    }

    /// Adds the address of an appended block to each level in which it starts a
    /// group.
    fn extend_levels(&mut self, start: T) {
        let mut index = self.len() - 1;
        let mut level = 0;
        while index.is_multiple_of(FANOUT) && (index > 0 || level == 0) {
            index /= FANOUT;
            if level == self.levels.len() {
                // The level did not exist while there was a single group, so it
                // lacks that group's first address.
                let first = if level == 0 {
                    start
                } else {
                    self.levels[level - 1][0]
                };
                self.levels.push(vec![first]);
                if index == 0 {
                    return;
                }
            }
            self.levels[level].push(start);
            level += 1;
        }
    }

    /// The prefix length of the smallest block that contains a block about to
    /// be appended.
    fn parent_of(&self, start: T, len: u8) -> u8 {
        let Some(mut i) = self.len().checked_sub(1) else {
            return NO_PARENT;
        };
        loop {
            let outer_len = self.metas[i].len;
            if outer_len < len && (self.mask)(start, outer_len) == self.starts[i] {
                return outer_len;
            }
            let Some(next) = self.parent_index(i) else {
                return NO_PARENT;
            };
            i = next;
        }
    }

    /// The index of the next larger block that contains this one.
    fn parent_index(&self, i: usize) -> Option<usize> {
        let len = self.metas[i].parent;
        if len == NO_PARENT {
            return None;
        }
        self.position((self.mask)(self.starts[i], len), len).ok()
    }

    /// The number of leading blocks whose first address satisfies the
    /// predicate.
    fn count_leading(&self, predicate: impl Fn(&T) -> bool) -> usize {
        let Some(top) = self.levels.last() else {
            return 0;
        };
        let mut count = top.partition_point(&predicate);
        let lower = self.levels.iter().rev().skip(1);
        for level in lower.chain([&self.starts]) {
            let Some(group) = count.checked_sub(1) else {
                return 0;
            };
            let from = group * FANOUT;
            let to = (from + FANOUT).min(level.len());
            count = from + level[from..to].partition_point(&predicate);
        }
        count
    }

    /// The index of a block, or the index at which it would be inserted.
    fn position(&self, start: T, len: u8) -> Result<usize, usize> {
        let mut i = self.count_leading(|s| *s < start);
        while i < self.len() && self.starts[i] == start && self.metas[i].len < len {
            i += 1;
        }
        let found = i < self.len() && self.starts[i] == start && self.metas[i].len == len;
        if found { Ok(i) } else { Err(i) }
    }

    /// The block with the longest prefix that contains an address.
    pub(crate) fn find(&self, address: T) -> Option<Row<T>> {
        let after = self.count_leading(|s| *s <= address);
        let mut i = after.checked_sub(1)?;
        loop {
            if (self.mask)(address, self.metas[i].len) == self.starts[i] {
                return Some(self.row(i));
            }
            i = self.parent_index(i)?;
        }
    }

    pub(crate) fn row(&self, i: usize) -> Row<T> {
        Row {
            start: self.starts[i],
            len: self.metas[i].len,
            domain: self.metas[i].domain,
        }
    }

    /// A copy with changes applied. The changes must be sorted like the blocks;
    /// a change without a domain removes the block.
    pub(crate) fn merge(&self, changes: &[(T, u8, Option<u16>)]) -> Self {
        let mut merged = Self::with_capacity(self.mask, self.len() + changes.len());
        let mut next = 0;
        for (start, len, domain) in changes {
            while next < self.len() && (self.starts[next], self.metas[next].len) < (*start, *len) {
                merged.push(self.row(next));
                next += 1;
            }
            if next < self.len() && (self.starts[next], self.metas[next].len) == (*start, *len) {
                next += 1;
            }
            if let Some(domain) = *domain {
                let (start, len) = (*start, *len);
                merged.push(Row { start, len, domain });
            }
        }
        for i in next..self.len() {
            merged.push(self.row(i));
        }
        merged
    }
}
