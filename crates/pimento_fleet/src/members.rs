//! The processes that a VM knows of.

use crate::{NodeInfo, Role, Stage};
use pimento_core::{Time, hash};
use std::{net::SocketAddr, time::Duration};

/// How long a process is remembered after it was heard or named last.
const MEMORY: Duration = Duration::from_secs(20);

/// Items that were sent to a process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    /// The revision that it had.
    pub from: u64,
    /// The revision that it then has.
    pub to: u64,
    /// When they were sent.
    pub at: Time,
}

/// A process.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// As it describes itself.
    pub info: NodeInfo,
    /// When it was heard; for an entry VM that another one knows of, when the
    /// followed control VM had heard it.
    pub heard: Time,
    /// When the followed control VM last named it.
    pub named: Time,
    /// The share of its link that requests take, in percent, if it is an entry
    /// VM.
    pub load: u32,
    /// The newest revision of items that it is known to have.
    pub revision: u64,
    /// When it got there.
    pub reached: Time,
    /// The items last sent to it.
    pub(crate) sent: Option<Sent>,
    /// When it last asked this VM for what it lacks.
    pub follows: Option<Time>,
    /// The digests of its targets when it last asked.
    pub(crate) buckets: Vec<u32>,
}

impl Node {
    /// Whether it has a role.
    pub fn is(&self, role: Role) -> bool {
        self.info.role == role as i32
    }

    /// Notes the revision of items that it has.
    pub(crate) fn reach(&mut self, now: Time, revision: u64) {
        if self.revision != revision {
            self.revision = revision;
            self.reached = now;
        }
    }

    /// Of the parts of the targets that differ, those that it can't be about
    /// to get right by news under way: it asks for the first time, or has got
    /// no further since it last asked.
    pub(crate) fn stuck(&mut self, buckets: &[u32], differing: Vec<u32>) -> Vec<u32> {
        let last = std::mem::replace(&mut self.buckets, buckets.to_vec());
        let unmoved = |i: &u32| {
            let i = *i as usize;
            last.get(i)
                .is_none_or(|digest| buckets.get(i) == Some(digest))
        };
        differing.into_iter().filter(unmoved).collect()
    }

    /// Whether it serves.
    pub fn ready(&self) -> bool {
        self.info.stage == Stage::Ready as i32
    }
}

/// The processes that a VM knows of, sorted by address.
#[derive(Clone, Debug, Default)]
pub(crate) struct Members(Vec<Node>);

impl Members {
    /// Takes what a process says of itself; whether something changed.
    pub(crate) fn hear(&mut self, now: Time, address: SocketAddr, info: &NodeInfo) -> bool {
        match self.find(&address) {
            Ok(i) => {
                let node = &mut self.0[i];
                node.heard = now;
                let changed = node.info != *info;
                if node.info.incarnation != info.incarnation {
                    node.revision = 0;
                    node.sent = None;
                    node.buckets.clear();
                }
                if changed {
                    node.info = info.clone();
                }
                changed
            }
            Err(i) => {
                let node = Node {
                    address,
                    info: info.clone(),
                    heard: now,
                    named: now,
                    load: 0,
                    revision: 0,
                    reached: now,
                    sent: None,
                    follows: None,
                    buckets: Vec::new(),
                };
                self.0.insert(i, node);
                true
            }
        }
    }

    /// Notes that a process lives; false if it is unknown or has started anew.
    pub(crate) fn alive(&mut self, now: Time, address: &SocketAddr, process: u64) -> bool {
        match self.get_mut(address) {
            Some(node) if node.info.incarnation == process => {
                node.heard = now;
                true
            }
            _ => false,
        }
    }

    /// Forgets a process that has ended.
    pub(crate) fn leave(&mut self, address: &SocketAddr, process: u64) -> bool {
        let same = |n: &Node| n.address == *address && n.info.incarnation == process;
        let before = self.0.len();
        self.0.retain(|n| !same(n));
        self.0.len() != before
    }

    /// Takes the list of a control VM in the place of what was known; the
    /// control VMs that it doesn't hear are kept for a while, as others may.
    pub(crate) fn replace(&mut self, now: Time, nodes: &[(SocketAddr, NodeInfo)]) {
        let listed = |n: &Node| nodes.iter().any(|(address, _)| *address == n.address);
        self.0.retain(|n| n.is(Role::Control) || listed(n));
        for (address, info) in nodes {
            self.hear(now, *address, info);
        }
    }

    /// Notes that the list of a control VM is still the same.
    pub(crate) fn confirm(&mut self, now: Time) {
        for node in &mut self.0 {
            node.named = now;
            if node.is(Role::Entry) {
                node.heard = now;
            }
        }
    }

    /// Notes that a process was heard.
    pub(crate) fn hear_again(&mut self, now: Time, address: &SocketAddr) {
        if let Some(node) = self.get_mut(address) {
            node.heard = now;
        }
    }

    /// Forgets processes that were neither heard nor named for long.
    pub(crate) fn forget(&mut self, now: Time) {
        self.0.retain(|n| now.since(n.heard.max(n.named)) < MEMORY);
    }

    pub(crate) fn get_mut(&mut self, address: &SocketAddr) -> Option<&mut Node> {
        self.find(address).ok().map(|i| &mut self.0[i])
    }

    pub(crate) fn get(&self, address: &SocketAddr) -> Option<&Node> {
        self.find(address).ok().map(|i| &self.0[i])
    }

    /// All processes of a role.
    pub(crate) fn of(&self, role: Role) -> impl Iterator<Item = &Node> {
        self.0.iter().filter(move |n| n.is(role))
    }

    /// Those that were heard within a span.
    pub(crate) fn heard(&self, now: Time, span: Duration) -> impl Iterator<Item = &Node> {
        self.0.iter().filter(move |n| now.since(n.heard) < span)
    }

    fn find(&self, address: &SocketAddr) -> Result<usize, usize> {
        self.0.binary_search_by(|n| n.address.cmp(address))
    }
}

/// The digest of a list of processes.
pub(crate) fn digest<'a>(nodes: impl IntoIterator<Item = &'a NodeInfo>) -> u64 {
    nodes.into_iter().fold(1, |sum, info| {
        let parts = [
            info.address.as_bytes(),
            &info.incarnation.to_le_bytes(),
            &info.stage.to_le_bytes(),
            info.caller_address.as_bytes(),
        ];
        sum ^ hash::mix(hash::fnv(parts))
    })
}
