//! The processes that a VM knows.

use crate::{NodeInfo, Role, Stage, item_delivery::ItemsInFlight};
use pimento_core::{Time, hash};
use std::{net::SocketAddr, time::Duration};

/// How long a process is kept after it was last heard or listed.
const MEMBER_TTL: Duration = Duration::from_secs(20);

/// How long a target bucket may differ before it is repaired even if it keeps
/// changing.
const REPAIR_LIMIT: Duration = Duration::from_millis(900);

/// Another process, as this one knows it.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Its own description of itself.
    pub info: NodeInfo,
    /// When a heartbeat, a reply or a member list from it was last received.
    /// Entry VMs send each other none of these: for them it is when the followed
    /// control VM last confirmed its member list.
    pub last_heard: Time,
    /// When it was last on the member list of the followed control VM.
    pub last_listed: Time,
    /// The share of its link bandwidth that requests use, in percent, if it is
    /// an entry VM.
    pub load: u32,
    /// The revision of items that it last reported.
    pub revision: u64,
    /// The number of its newest heartbeat.
    pub(crate) sequence: u64,
    /// The heartbeats that were lost right before the newest one.
    pub(crate) lost_heartbeats: u64,
    /// The items that were sent to it and that it has not reported.
    pub(crate) in_flight: Option<ItemsInFlight>,
    /// When it last sent this VM a full heartbeat, which asks for the state
    /// that it lacks; `None` if it follows another control VM.
    pub last_sync: Option<Time>,
    /// The digests of its target buckets at that time.
    pub(crate) buckets: Vec<u32>,
    /// Since when its target buckets have differed without being repaired, by
    /// number.
    pub(crate) differing: Vec<(u32, Time)>,
}

impl Node {
    /// Whether it announced itself with this role.
    pub fn has_role(&self, role: Role) -> bool {
        self.info.role == role as i32
    }

    /// Of the differing target buckets, those that updates in flight are not
    /// going to repair: the process asks for the first time, the bucket has not
    /// changed since it last asked, or has differed for [`REPAIR_LIMIT`].
    pub(crate) fn stalled_buckets(
        &mut self,
        now: Time,
        buckets: &[u32],
        differing: &[u32],
    ) -> Vec<u32> {
        let previous = std::mem::replace(&mut self.buckets, buckets.to_vec());
        let known = std::mem::take(&mut self.differing);
        let mut stalled = Vec::new();
        for number in differing {
            let i = *number as usize;
            let found = known.binary_search_by_key(number, |(n, _)| *n);
            let since = found.map_or(now, |at| known[at].1);
            let is_unchanged = previous.get(i).is_none_or(|d| buckets.get(i) == Some(d));
            if is_unchanged || now.since(since) >= REPAIR_LIMIT {
                stalled.push(*number);
            } else {
                self.differing.push((*number, since));
            }
        }
        stalled
    }

    /// Counts the heartbeats that were lost since the previous one.
    pub(crate) fn record_sequence(&mut self, sequence: u64) {
        let expected = self.sequence + 1;
        // The first one heard from a process tells nothing of those before it.
        let is_first = self.sequence == 0;
        self.lost_heartbeats = if is_first {
            0
        } else {
            sequence.saturating_sub(expected)
        };
        self.sequence = self.sequence.max(sequence);
    }

    /// Whether it announced that it is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.info.stage == Stage::Ready as i32
    }
}

/// The processes that a VM knows of, sorted by address.
#[derive(Clone, Debug, Default)]
pub(crate) struct Members(Vec<Node>);

impl Members {
    /// Records that a process is alive, and its description of itself. Returns
    /// whether the description changed.
    pub(crate) fn observe(&mut self, now: Time, address: SocketAddr, info: &NodeInfo) -> bool {
        match self.find(&address) {
            Ok(i) => {
                let node = &mut self.0[i];
                node.last_heard = now;
                let changed = node.info != *info;
                if node.info.incarnation != info.incarnation {
                    node.revision = 0;
                    node.sequence = 0;
                    node.lost_heartbeats = 0;
                    node.in_flight = None;
                    node.buckets.clear();
                    node.differing.clear();
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
                    last_heard: now,
                    last_listed: now,
                    load: 0,
                    revision: 0,
                    sequence: 0,
                    lost_heartbeats: 0,
                    in_flight: None,
                    last_sync: None,
                    buckets: Vec::new(),
                    differing: Vec::new(),
                };
                self.0.insert(i, node);
                true
            }
        }
    }

    /// Records that a process is alive. Returns false if it is unknown or has
    /// restarted.
    pub(crate) fn record_alive(
        &mut self,
        now: Time,
        address: &SocketAddr,
        incarnation: u64,
    ) -> bool {
        match self.get_mut(address) {
            Some(node) if node.info.incarnation == incarnation => {
                node.last_heard = now;
                true
            }
            _ => false,
        }
    }

    /// Removes a process that has exited.
    pub(crate) fn remove(&mut self, address: &SocketAddr, incarnation: u64) -> bool {
        let same = |n: &Node| n.address == *address && n.info.incarnation == incarnation;
        let previous = self.0.len();
        self.0.retain(|n| !same(n));
        self.0.len() != previous
    }

    /// Replaces the known processes by the member list of a control VM. Control
    /// VMs that are not listed are kept until they expire, since other
    /// processes may still reach them.
    pub(crate) fn replace_list(&mut self, now: Time, nodes: &[(SocketAddr, NodeInfo)]) {
        let listed = |n: &Node| nodes.iter().any(|(address, _)| *address == n.address);
        self.0.retain(|n| n.has_role(Role::Control) || listed(n));
        for (address, info) in nodes {
            self.observe(now, *address, info);
        }
    }

    /// Records that the member list of the followed control VM is unchanged.
    pub(crate) fn confirm_list(&mut self, now: Time) {
        for node in &mut self.0 {
            node.last_listed = now;
            if node.has_role(Role::Entry) {
                node.last_heard = now;
            }
        }
    }

    pub(crate) fn record_heard(&mut self, now: Time, address: &SocketAddr) {
        if let Some(node) = self.get_mut(address) {
            node.last_heard = now;
        }
    }

    /// Removes processes that were neither heard nor listed for a while.
    pub(crate) fn expire(&mut self, now: Time) {
        self.0
            .retain(|n| now.since(n.last_heard.max(n.last_listed)) < MEMBER_TTL);
    }

    pub(crate) fn get_mut(&mut self, address: &SocketAddr) -> Option<&mut Node> {
        self.find(address).ok().map(|i| &mut self.0[i])
    }

    pub(crate) fn get(&self, address: &SocketAddr) -> Option<&Node> {
        self.find(address).ok().map(|i| &self.0[i])
    }

    pub(crate) fn with_role(&self, role: Role) -> impl Iterator<Item = &Node> {
        self.0.iter().filter(move |n| n.has_role(role))
    }

    /// Whether a process was heard within a time span.
    pub(crate) fn is_heard_within(&self, now: Time, address: &SocketAddr, span: Duration) -> bool {
        let node = self.get(address);
        node.is_some_and(|n| now.since(n.last_heard) < span)
    }

    /// The processes that were heard within a time span.
    pub(crate) fn heard_within(&self, now: Time, span: Duration) -> impl Iterator<Item = &Node> {
        self.0
            .iter()
            .filter(move |n| now.since(n.last_heard) < span)
    }

    fn find(&self, address: &SocketAddr) -> Result<usize, usize> {
        self.0.binary_search_by(|n| n.address.cmp(address))
    }
}

/// The digest of a list of processes.
pub(crate) fn list_digest<'a>(nodes: impl IntoIterator<Item = &'a NodeInfo>) -> u64 {
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
