//! Delivers items to entry VMs until they report that they have them.
//!
//! An entry VM gets each change from the control VM that it follows. The next control VM
//! in its order sends the change, too, if the entry VM doesn't report it in time. Both
//! repeat what is not reported, and neither waits for a heartbeat: those of a VM with
//! a full uplink may be lost for seconds. See `docs/design/items.md`.

use crate::{
    Effect, Fleet, Node, Role,
    fleet::send,
    item_parts,
    message::{Body, RevisionReport},
};
use pimento_core::Time;
use pimento_items::Catalog;
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// How long after its last full heartbeat an entry VM counts as a follower,
/// which is sent changes at once.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1_600);
/// After how long items that were not reported are sent again, doubled with each
/// repetition without progress. A report takes a tick and a round trip.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// The longest time between two repetitions.
const MAX_RESEND_INTERVAL: Duration = Duration::from_millis(800);
/// How long an entry VM may lack items before the control VM that it would follow
/// next sends them, too. The followed one may learn of a commit a heartbeat of
/// the control group later.
const LAG_LIMIT: Duration = Duration::from_millis(300);
/// How long it may lack them before all control VMs that it sends heartbeats do.
const MAX_LAG: Duration = Duration::from_millis(1_100);
/// The number of control VMs that an entry VM reports its revision to, beside
/// those that sent it items.
const REPORT_RECEIVERS: usize = 2;

/// Items that were sent to a process and that it has not reported yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ItemsInFlight {
    /// The revision that the process has once all of them have arrived.
    pub to: u64,
    /// When the oldest of them were sent, or the process last reported progress.
    pub since: Time,
    /// How often they were sent again without progress.
    pub repeats: u32,
}

impl ItemsInFlight {
    /// Whether they count as lost.
    fn is_overdue(&self, now: Time) -> bool {
        let interval = RESEND_INTERVAL * (1 << self.repeats.min(8));
        now.since(self.since) >= interval.min(MAX_RESEND_INTERVAL)
    }
}

impl Node {
    /// Records the revision that the process reports. An older report may arrive
    /// after a newer one.
    pub(crate) fn record_revision(&mut self, now: Time, revision: u64) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        let missing = self.in_flight.filter(|items| items.to > revision);
        self.in_flight = missing.map(|items| ItemsInFlight {
            since: now,
            repeats: 0,
            ..items
        });
    }

    /// What is in flight to the process, without items that count as lost.
    fn items_in_flight(&self, now: Time) -> ItemsInFlight {
        let nothing = |repeats| ItemsInFlight {
            to: self.revision,
            since: now,
            repeats,
        };
        match self.in_flight {
            Some(items) if items.is_overdue(now) => nothing(items.repeats + 1),
            Some(items) => items,
            None => nothing(0),
        }
    }
}

impl Fleet {
    /// Replaces the items by those that this control VM has applied, and sends
    /// them to its followers.
    pub fn set_catalog(&mut self, now: Time, catalog: Arc<Catalog>) -> Vec<Effect> {
        self.catalog = catalog;
        self.applied.record(now, self.catalog.revision());
        let mut effects = self.rebuild_routing(now);
        let followers: Vec<_> = self.followers(now).map(|n| n.address).collect();
        for to in followers {
            effects.extend(self.deliver_items(now, to));
        }
        effects.push(Effect::ViewChanged);
        effects
    }

    /// The entry VMs that recently sent this control VM a full heartbeat.
    pub(crate) fn followers(&self, now: Time) -> impl Iterator<Item = &Node> {
        let entries = self.members.with_role(Role::Entry);
        entries.filter(move |n| is_follower(now, n))
    }

    /// Sends the items that a process lacks, except those that are in flight to it.
    pub(crate) fn deliver_items(&mut self, now: Time, to: SocketAddr) -> Vec<Effect> {
        let newest = self.catalog.revision();
        let Some(node) = self.members.get_mut(&to) else {
            return Vec::new();
        };
        let in_flight = node.items_in_flight(now);
        let from = in_flight.to;
        if from >= newest {
            return Vec::new();
        }
        node.in_flight = Some(ItemsInFlight {
            to: newest,
            ..in_flight
        });
        let mut changes: Vec<_> = self.catalog.changes_since(from).cloned().collect();
        for stored in &mut changes {
            // Only control VMs return the source text that operators sent.
            stored.item.source.clear();
        }
        let parts = item_parts::split(from, newest, changes);
        let messages = parts.into_iter().map(|part| send(to, Body::Items(part)));
        messages.collect()
    }

    /// Sends items again that entry VMs have not reported, and those that the control
    /// VM that they follow should have sent.
    pub(crate) fn resend_items(&mut self, now: Time) -> Vec<Effect> {
        if self.config.local.role() != Role::Control {
            return Vec::new();
        }
        let newest = self.catalog.revision();
        let behind = self.members.with_role(Role::Entry);
        let behind = behind.filter(|n| n.revision < newest);
        let due: Vec<_> = behind
            .filter(|n| self.must_resend(now, n))
            .map(|n| n.address)
            .collect();
        due.into_iter()
            .flat_map(|to| self.deliver_late_items(now, to))
            .collect()
    }

    /// Whether this control VM must send an entry VM items before its next heartbeat.
    fn must_resend(&self, now: Time, node: &Node) -> bool {
        if node.in_flight.is_some_and(|items| !items.is_overdue(now)) {
            return false;
        }
        is_follower(now, node)
            || (self.lacks_items(now, node, LAG_LIMIT) && self.is_next_control(now, &node.info))
    }

    /// Sends an entry VM that follows another control VM the items that it has lacked
    /// for too long.
    pub(crate) fn help_lagging(&mut self, now: Time, to: SocketAddr) -> Vec<Effect> {
        let node = self.members.get(&to);
        if node.is_some_and(|n| self.lacks_items(now, n, MAX_LAG)) {
            self.deliver_late_items(now, to)
        } else {
            Vec::new()
        }
    }

    /// Sends items as [`Self::deliver_items`] does, and reports a receiver that follows
    /// another control VM.
    fn deliver_late_items(&mut self, now: Time, to: SocketAddr) -> Vec<Effect> {
        let mut effects = self.deliver_items(now, to);
        let helped = self.members.get(&to).filter(|n| !is_follower(now, n));
        if let Some(node) = helped.filter(|_| !effects.is_empty()) {
            effects.push(Effect::Lagging {
                vm: to,
                revision: node.revision,
                newest: self.catalog.revision(),
                lost_heartbeats: node.lost_heartbeats,
            });
        }
        effects
    }

    /// Whether an entry VM lacks items that are at least this old.
    fn lacks_items(&self, now: Time, node: &Node, age: Duration) -> bool {
        node.revision < self.applied.at_least(now, age)
    }

    /// Records what an entry VM reports; a report of an earlier incarnation is ignored.
    pub(crate) fn handle_revision_report(
        &mut self,
        now: Time,
        from: SocketAddr,
        report: RevisionReport,
    ) {
        let is_current = self.members.record_alive(now, &from, report.incarnation);
        if let Some(node) = self.members.get_mut(&from).filter(|_| is_current) {
            node.record_revision(now, report.revision);
        }
    }

    /// Reports the revision of this entry VM to the control VMs that sent it items
    /// since the last call, and to those that watch whether it gets them.
    pub(crate) fn report_revision(&mut self) -> Vec<Effect> {
        if self.items_senders.is_empty() {
            return Vec::new();
        }
        let mut receivers = std::mem::take(&mut self.items_senders);
        receivers.extend(self.nearest_controls());
        receivers.sort();
        receivers.dedup();
        let report = RevisionReport {
            incarnation: self.config.local.incarnation,
            revision: self.catalog.revision(),
        };
        let messages = receivers
            .into_iter()
            .map(|to| send(to, Body::RevisionReport(report)));
        messages.collect()
    }

    /// The control VMs that this process follows first, alive or not.
    fn nearest_controls(&self) -> impl Iterator<Item = SocketAddr> + use<> {
        let mut controls: Vec<_> = self.members.with_role(Role::Control).collect();
        controls.sort_by_cached_key(|n| self.distance(&self.config.local, &n.info));
        let addresses: Vec<_> = controls.into_iter().map(|n| n.address).collect();
        addresses.into_iter().take(REPORT_RECEIVERS)
    }
}

fn is_follower(now: Time, node: &Node) -> bool {
    let last_sync = node.last_sync;
    last_sync.is_some_and(|at| now.since(at) < FOLLOWER_TIMEOUT)
}
