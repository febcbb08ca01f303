//! Items in messages of one datagram each.
//!
//! A message of several datagrams is lost if one of them is, which a crowded link
//! makes likely just when many items change. Items may come into force one by one, so
//! each part is a message of its own and merged at once. Parts are sets of whole changes
//! where these are small enough, so that the revision advances with each of them. A
//! larger change is one set of several parts, and the revision waits for all of them, in
//! any order and from any control VM.

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
const MAX_PARTIAL_SETS: usize = 64;
/// The most sets that wait for those that precede them; the newest is dropped first.
const MAX_RANGES: usize = 64;
/// The most parts of a set, which bounds what a malformed message can allocate.
const MAX_PARTS: usize = 1 << 16;

/// Splits the changes between two revisions into messages.
///
/// The first items of a process are one set, since it may serve once it has a revision.
pub(crate) fn split(from: u64, to: u64, mut changes: Vec<AcceptedItem>) -> Vec<Items> {
    if from == 0 {
        return split_set(from, to, changes);
    }
    changes.sort_by_key(|change| change.log_index);
    let mut messages = Vec::new();
    let (mut set, mut set_from) = (Vec::new(), from);
    for change in changes.chunk_by(|a, b| a.log_index == b.log_index) {
        if !set.is_empty() && encoded_bytes(&set) + encoded_bytes(change) > MAX_PART_BYTES {
            let set_to = last_index(&set);
            messages.extend(split_set(set_from, set_to, std::mem::take(&mut set)));
            set_from = set_to;
        }
        set.extend_from_slice(change);
    }
    messages.extend(split_set(set_from, to, set));
    messages
}

fn last_index(set: &[AcceptedItem]) -> u64 {
    set.last().map_or(0, |change| change.log_index)
}

fn encoded_bytes(changes: &[AcceptedItem]) -> usize {
    let bytes = |change: &AcceptedItem| change.encoded_len() + ITEM_OVERHEAD_BYTES;
    changes.iter().map(bytes).sum()
}

/// Splits a set of changes into parts.
fn split_set(from: u64, to: u64, changes: Vec<AcceptedItem>) -> Vec<Items> {
    let digest = digest(&changes);
    let mut parts: Vec<Vec<AcceptedItem>> = vec![Vec::new()];
    let mut part_bytes = 0;
    for change in changes {
        let bytes = encoded_bytes(std::slice::from_ref(&change));
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

/// The complete sets that arrived before those that precede them, as pairs of the
/// revisions before and after each, sorted.
#[derive(Debug, Default)]
pub(crate) struct ItemRanges(Vec<(u64, u64)>);

impl ItemRanges {
    /// Records a complete set; returns the revision up to which none is missing.
    pub(crate) fn record(&mut self, mut revision: u64, from: u64, to: u64) -> u64 {
        let index = self.0.partition_point(|range| *range < (from, to));
        self.0.insert(index, (from, to));
        let mut contiguous = 0;
        for (from, to) in &self.0 {
            if *from > revision {
                break;
            }
            revision = revision.max(*to);
            contiguous += 1;
        }
        self.0.drain(..contiguous);
        self.0.dedup();
        self.0.truncate(MAX_RANGES);
        revision
    }
}
