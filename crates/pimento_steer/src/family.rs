//! The blocks of one address family.

/// Marks a block that no other block contains.
const NO_PARENT: u8 = u8::MAX;
/// Entries of a level for each entry of the level above: as many addresses as
/// a cache line holds, so that each level of a search costs one miss at most.
const FANOUT: usize = 16;

/// A block as a table stores it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Row<T> {
    /// The first address.
    pub(crate) start: T,
    /// The prefix length.
    pub(crate) len: u8,
    /// The index of the failure domain.
    pub(crate) domain: u16,
}

/// What a table stores beside a first address.
#[derive(Clone, Copy, Debug)]
struct Meta {
    len: u8,
    /// The length of the next larger block that contains this one.
    parent: u8,
    domain: u16,
}

/// Blocks sorted by first address, then by prefix length.
///
/// Addresses are a vector of their own, so that the search touches nothing
/// else. Blocks may contain each other: a block knows the length of the next
/// larger one, so the longest match needs no second structure.
#[derive(Clone, Debug)]
pub(crate) struct Family<T> {
    starts: Vec<T>,
    metas: Vec<Meta>,
    /// Every sixteenth address of the level below, the lowest level first.
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

    /// The memory of the blocks, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let levels: usize = self.levels.iter().map(Vec::capacity).sum();
        let addresses = (self.starts.capacity() + levels) * size_of::<T>();
        addresses + self.metas.capacity() * size_of::<Meta>()
    }

    /// Adds a block behind all others; a repetition replaces the last one.
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

    /// Adds a new last address to the levels that it starts a group of.
    fn extend_levels(&mut self, start: T) {
        let mut place = self.len() - 1;
        let mut level = 0;
        while place.is_multiple_of(FANOUT) && (place > 0 || level == 0) {
            place /= FANOUT;
            if level == self.levels.len() {
                // The first group's start was left out while it was alone.
                let first = if level == 0 {
                    start
                } else {
                    self.levels[level - 1][0]
                };
                self.levels.push(vec![first]);
                if place == 0 {
                    return;
                }
            }
            self.levels[level].push(start);
            level += 1;
        }
    }

    /// The length of the smallest block that contains a new last one.
    fn parent_of(&self, start: T, len: u8) -> u8 {
        let Some(mut i) = self.len().checked_sub(1) else {
            return NO_PARENT;
        };
        loop {
            let above = self.metas[i].len;
            if above < len && (self.mask)(start, above) == self.starts[i] {
                return above;
            }
            let Some(next) = self.up(i) else {
                return NO_PARENT;
            };
            i = next;
        }
    }

    /// The block that contains another.
    fn up(&self, i: usize) -> Option<usize> {
        let len = self.metas[i].parent;
        if len == NO_PARENT {
            return None;
        }
        self.position((self.mask)(self.starts[i], len), len).ok()
    }

    /// The number of blocks at the front whose first address passes the test.
    fn front(&self, test: impl Fn(&T) -> bool) -> usize {
        let Some(top) = self.levels.last() else {
            return 0;
        };
        let mut count = top.partition_point(&test);
        let lower = self.levels.iter().rev().skip(1);
        for level in lower.chain([&self.starts]) {
            let Some(group) = count.checked_sub(1) else {
                return 0;
            };
            let from = group * FANOUT;
            let to = (from + FANOUT).min(level.len());
            count = from + level[from..to].partition_point(&test);
        }
        count
    }

    /// The place of a block in the order.
    fn position(&self, start: T, len: u8) -> Result<usize, usize> {
        let mut i = self.front(|s| *s < start);
        while i < self.len() && self.starts[i] == start && self.metas[i].len < len {
            i += 1;
        }
        let found = i < self.len() && self.starts[i] == start && self.metas[i].len == len;
        if found { Ok(i) } else { Err(i) }
    }

    /// The block with the longest prefix that contains an address.
    pub(crate) fn find(&self, address: T) -> Option<Row<T>> {
        let after = self.front(|s| *s <= address);
        let mut i = after.checked_sub(1)?;
        loop {
            if (self.mask)(address, self.metas[i].len) == self.starts[i] {
                return Some(self.row(i));
            }
            i = self.up(i)?;
        }
    }

    pub(crate) fn row(&self, i: usize) -> Row<T> {
        Row {
            start: self.starts[i],
            len: self.metas[i].len,
            domain: self.metas[i].domain,
        }
    }

    /// A copy with changes, which are sorted like the blocks; a change without
    /// a domain removes the block.
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
