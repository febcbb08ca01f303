//! Items in messages of one datagram each.
//!
//! A message of several datagrams is lost if one of them is, which a crowded link
//! makes likely just when many items change. Items may come into force one by one, so
//! each part of a larger set is a message of its own and merged at once. Only the
//! revision waits until all parts have arrived, in any order and from any control VM.

use crate::message::Items;
use pimento_core::hash;
use pimento_items::AcceptedItem;
use prost::Message as _;
use std::collections::VecDeque;

/// The encoded size of the items in one part, in bytes, unless a single item is
/// larger. With the fields around them they fit into one datagram.
const MAX_PART_BYTES: usize = 1_050;
/// The bytes that the encoding adds to each item.
const ITEM_OVERHEAD_BYTES: usize = 4;
/// The most incomplete sets that are kept; the oldest is dropped first.
const MAX_PARTIAL_SETS: usize = 16;
/// The most parts of a set, which bounds what a malformed message can allocate.
const MAX_PARTS: usize = 1 << 16;

/// Splits the changes between two revisions into messages.
pub(crate) fn split(from: u64, to: u64, changes: Vec<AcceptedItem>) -> Vec<Items> {
    let digest = digest(&changes);
    let mut parts: Vec<Vec<AcceptedItem>> = vec![Vec::new()];
    let mut part_bytes = 0;
    for change in changes {
        let bytes = change.encoded_len() + ITEM_OVERHEAD_BYTES;
        if part_bytes > 0 && part_bytes + bytes > MAX_PART_BYTES {
            parts.push(Vec::new());
            part_bytes = 0;
        }
        part_bytes += bytes;
        parts.last_mut().expect("there is a part").push(change);
    }
    let count = parts.len() as u32;
    let message = |(part, changes)| Items {
        from,
        to,
        changes,
        part: part as u32,
        parts: count,
        digest,
    };
    parts.into_iter().enumerate().map(message).collect()
}

/// Identifies a set of changes, so that only parts of equal sets complete each other.
fn digest(changes: &[AcceptedItem]) -> u64 {
    changes.iter().fold(0, |sum, change| {
        let parts = [
            &change.item.kind.to_le_bytes()[..],
            change.item.name.as_bytes(),
            &change.item.version.to_le_bytes(),
            &change.log_index.to_le_bytes(),
        ];
        hash::mix(sum ^ hash::fnv(parts))
    })
}

/// The parts of one set that have arrived.
#[derive(Debug)]
struct PartialSet {
    from: u64,
    to: u64,
    digest: u64,
    arrived: Vec<bool>,
}

/// The sets of which some parts have arrived.
#[derive(Debug, Default)]
pub(crate) struct PartialSets(VecDeque<PartialSet>);

impl PartialSets {
    /// Records a part; returns whether all parts of its set have arrived.
    pub(crate) fn record(&mut self, items: &Items) -> bool {
        if items.parts <= 1 {
            return true;
        }
        if items.parts as usize > MAX_PARTS {
            return false;
        }
        let index = self.find_or_insert(items);
        let arrived = &mut self.0[index].arrived;
        if let Some(arrived) = arrived.get_mut(items.part as usize) {
            *arrived = true;
        }
        let is_complete = arrived.iter().all(|arrived| *arrived);
        if is_complete {
            self.0.remove(index);
        }
        is_complete
    }

    /// Returns the index of the set that a part belongs to.
    fn find_or_insert(&mut self, items: &Items) -> usize {
        let parts = items.parts as usize;
        let is_same = |set: &PartialSet| {
            let is_equal = (set.from, set.to, set.digest) == (items.from, items.to, items.digest);
            is_equal && set.arrived.len() == parts
        };
        if let Some(index) = self.0.iter().position(is_same) {
            return index;
        }
        if self.0.len() >= MAX_PARTIAL_SETS {
            self.0.pop_front();
        }
        self.0.push_back(PartialSet {
            from: items.from,
            to: items.to,
            digest: items.digest,
            arrived: vec![false; parts],
        });
        self.0.len() - 1
    }
}
