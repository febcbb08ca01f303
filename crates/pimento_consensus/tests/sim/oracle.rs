//! What must hold at all times.

use super::{Node, node::digest};
use bytes::Bytes;
use pimento_consensus::{Effect, Entry, Write};
use std::collections::BTreeMap;

/// A read and the last entry that was acknowledged before it.
#[derive(Debug)]
struct Read {
    node: usize,
    id: u64,
    floor: u64,
}

/// Remembers what any replica did and checks each effect against it.
#[derive(Debug, Default)]
pub struct Oracle {
    /// The leader of each term.
    leaders: BTreeMap<u64, usize>,
    /// Digests of the committed log, by index; the first is of no entry.
    digests: Vec<u64>,
    /// Each entry ever written, by index and term: its payload and the term of
    /// the entry before it.
    written: BTreeMap<(u64, u64), (Bytes, u64)>,
    /// Accepted proposals: node, index, term, number.
    accepted: Vec<(usize, u64, u64, u64)>,
    /// Acknowledged proposals by number, with their index.
    pub acked: BTreeMap<u64, u64>,
    reads: Vec<Read>,
    /// The reads that were answered.
    pub served_reads: Vec<u64>,
    /// The reads that were rejected.
    pub rejected: Vec<u64>,
    /// Elections that were won.
    pub elections: usize,
}

impl Oracle {
    /// Forgets the callers of a replica that crashed.
    pub fn forget(&mut self, node: usize) {
        self.accepted.retain(|(at, ..)| *at != node);
        self.reads.retain(|read| read.node != node);
    }

    pub fn begin_read(&mut self, node: usize, id: u64) {
        let floor = self.acked.values().max().copied().unwrap_or(0);
        self.reads.push(Read { node, id, floor });
    }

    /// The last committed entry.
    pub fn committed(&self) -> u64 {
        (self.digests.len() as u64).saturating_sub(1)
    }

    pub fn check(&mut self, at: usize, node: &Node, effect: &Effect) {
        match effect {
            Effect::BecameLeader => self.lead(at, node),
            Effect::Persist(write) => self.write(node, write),
            Effect::Apply(entry) => self.apply(at, node, entry),
            Effect::Restore { index, data } => self.restore(*index, data),
            Effect::Accepted { id, index, term } => {
                self.accepted.push((at, *index, *term, *id));
            }
            Effect::ReadReady { id } => self.ready(node, *id),
            Effect::Rejected { id, .. } => {
                self.reads.retain(|read| read.id != *id);
                self.rejected.push(*id);
            }
            Effect::Send { .. } | Effect::LeaderChanged { .. } => {}
        }
    }

    fn lead(&mut self, at: usize, node: &Node) {
        let Some(raft) = &node.raft else { return };
        let term = raft.status().term;
        let first = *self.leaders.entry(term).or_insert(at);
        assert_eq!(first, at, "two leaders in term {term}");
        self.elections += 1;
    }

    /// Logs match: equal index and term mean equal entries up to there.
    fn write(&mut self, node: &Node, write: &Write) {
        let mut before = write.snapshot.as_ref().map(|s| s.term);
        for entry in &write.entries {
            let key = (entry.index, entry.term);
            let known = before.or_else(|| term_before(node, entry.index));
            before = Some(entry.term);
            let Some(known) = known else { continue };
            let value = (entry.payload.clone(), known);
            let first = self.written.entry(key).or_insert_with(|| value.clone());
            assert_eq!(*first, value, "logs differ at {key:?}");
        }
    }

    /// Committed entries are never lost or changed.
    fn apply(&mut self, at: usize, node: &Node, entry: &Entry) {
        if self.digests.is_empty() {
            self.digests.push(0);
        }
        let next = digest(node.digest, entry);
        if let Some(first) = self.digests.get(entry.index as usize) {
            assert_eq!(*first, next, "committed entry {} changed", entry.index);
        } else {
            assert_eq!(self.digests.len() as u64, entry.index, "a committed gap");
            self.digests.push(next);
        }
        let own = |(node, index, term, _): &mut (usize, u64, u64, u64)| {
            (*node, *index, *term) == (at, entry.index, entry.term)
        };
        for (_, index, _, id) in self.accepted.extract_if(.., own) {
            self.acked.insert(id, index);
        }
    }

    fn restore(&self, index: u64, data: &Bytes) {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&data[..8]);
        let first = self.digests[index as usize];
        assert_eq!(first, u64::from_le_bytes(bytes), "a snapshot differs");
    }

    /// A confirmed read never misses what was acknowledged before it.
    fn ready(&mut self, node: &Node, id: u64) {
        for read in self.reads.extract_if(.., |read| read.id == id) {
            assert!(node.applied >= read.floor, "a stale read was confirmed");
            self.served_reads.push(id);
        }
    }
}

/// The term of the entry before an index, as the replica has written it.
fn term_before(node: &Node, index: u64) -> Option<u64> {
    let before = index - 1;
    if before == 0 {
        return Some(0);
    }
    let pending = node
        .pending
        .iter()
        .rev()
        .flat_map(|w| w.entries.iter().rev());
    let mut all = pending.chain(node.saved.entries.iter().rev());
    if let Some(entry) = all.find(|e| e.index == before) {
        return Some(entry.term);
    }
    let snapshot = node.saved.snapshot.as_ref();
    snapshot.filter(|s| s.index == before).map(|s| s.term)
}
