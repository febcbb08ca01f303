//! The blocks of one address family.

/// Marks a block that no other block contains.
const NO_PARENT: u8 = u8::MAX;

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

/// Blocks sorted by first address, then by prefix length.
///
/// Columns are separate vectors, so that the search touches only addresses.
/// Blocks may contain each other: a block knows the length of the next larger
/// one, so the longest match needs no second structure.
#[derive(Clone, Debug)]
pub(crate) struct Family<T> {
    starts: Vec<T>,
    lens: Vec<u8>,
    domains: Vec<u16>,
    parents: Vec<u8>,
    /// Clears the host bits of an address.
    mask: fn(T, u8) -> T,
}

impl<T: Copy + Ord> Family<T> {
    pub(crate) fn new(mask: fn(T, u8) -> T) -> Self {
        Self {
            starts: Vec::new(),
            lens: Vec::new(),
            domains: Vec::new(),
            parents: Vec::new(),
            mask,
        }
    }

    pub(crate) fn with_capacity(mask: fn(T, u8) -> T, rows: usize) -> Self {
        Self {
            starts: Vec::with_capacity(rows),
            lens: Vec::with_capacity(rows),
            domains: Vec::with_capacity(rows),
            parents: Vec::with_capacity(rows),
            mask,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.starts.len()
    }

    /// The memory of the columns, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        let starts = self.starts.capacity() * size_of::<T>();
        let domains = self.domains.capacity() * size_of::<u16>();
        starts + domains + self.lens.capacity() + self.parents.capacity()
    }

    /// Adds a block behind all others; a repetition replaces the last one.
    pub(crate) fn push(&mut self, row: Row<T>) {
        let last = self.len().wrapping_sub(1);
        if self.starts.last() == Some(&row.start) && self.lens[last] == row.len {
            self.domains[last] = row.domain;
            return;
        }
        let parent = self.parent_of(row.start, row.len);
        self.starts.push(row.start);
        self.lens.push(row.len);
        self.domains.push(row.domain);
        self.parents.push(parent);
    }

    /// The length of the smallest block that contains a new last one.
    fn parent_of(&self, start: T, len: u8) -> u8 {
        let Some(mut i) = self.len().checked_sub(1) else {
            return NO_PARENT;
        };
        loop {
            let above = self.lens[i];
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
        let len = self.parents[i];
        if len == NO_PARENT {
            return None;
        }
        self.position((self.mask)(self.starts[i], len), len).ok()
    }

    /// The place of a block in the order.
    fn position(&self, start: T, len: u8) -> Result<usize, usize> {
        let mut i = self.starts.partition_point(|s| *s < start);
        while i < self.len() && self.starts[i] == start && self.lens[i] < len {
            i += 1;
        }
        let found = i < self.len() && self.starts[i] == start && self.lens[i] == len;
        if found { Ok(i) } else { Err(i) }
    }

    /// The block with the longest prefix that contains an address.
    pub(crate) fn find(&self, address: T) -> Option<Row<T>> {
        let after = self.starts.partition_point(|s| *s <= address);
        let mut i = after.checked_sub(1)?;
        loop {
            if (self.mask)(address, self.lens[i]) == self.starts[i] {
                return Some(self.row(i));
            }
            i = self.up(i)?;
        }
    }

    pub(crate) fn row(&self, i: usize) -> Row<T> {
        Row {
            start: self.starts[i],
            len: self.lens[i],
            domain: self.domains[i],
        }
    }

    /// A copy with changes, which are sorted like the blocks; a change without
    /// a domain removes the block.
    pub(crate) fn merge(&self, changes: &[(T, u8, Option<u16>)]) -> Self {
        let mut merged = Self::with_capacity(self.mask, self.len() + changes.len());
        let mut next = 0;
        for (start, len, domain) in changes {
            while next < self.len() && (self.starts[next], self.lens[next]) < (*start, *len) {
                merged.push(self.row(next));
                next += 1;
            }
            if next < self.len() && (self.starts[next], self.lens[next]) == (*start, *len) {
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
