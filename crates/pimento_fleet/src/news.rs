//! News of targets and items, and who must have them.

use crate::{
    Effect, Fleet, Node, Role,
    fleet::send,
    members::Sent,
    message::{Body, Items, Targets},
    spread::Audience,
};
use pimento_core::Time;
use pimento_items::Catalog;
use pimento_registry::{MergeOutcome, Stage, Target};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// How long a process that asked what it lacks is told of changes at once.
const FOLLOWING: Duration = Duration::from_millis(1_600);
/// How long items are on their way before they are sent again.
const RESEND: Duration = Duration::from_millis(450);
/// How long a process lacks items until control VMs send them that it doesn't
/// follow.
const LAG: Duration = Duration::from_millis(600);
/// The confirmed reports that are remembered.
const CONFIRMED: usize = 1_024;

/// A report that is known wherever it must be.
#[derive(Debug)]
pub(crate) struct Confirmed {
    id: String,
    born: u64,
    stage: i32,
}

impl Fleet {
    /// Takes the items that this control VM has applied.
    pub fn set_catalog(&mut self, now: Time, catalog: Arc<Catalog>) -> Vec<Effect> {
        self.catalog = catalog;
        self.changed = now;
        let mut effects = self.refresh(now);
        let followers: Vec<_> = self
            .followers(now)
            .map(|n| (n.address, n.revision))
            .collect();
        let lacking = followers.into_iter();
        effects.extend(lacking.filter_map(|(to, revision)| self.items_for(now, to, revision)));
        effects.push(Effect::ViewChanged);
        effects
    }

    /// Takes a target's own report.
    ///
    /// Returns the number of the [`Effect::Known`] to wait for before a report
    /// of a drain is acknowledged; none if it is known where it must be.
    pub fn report(&mut self, now: Time, target: &Target) -> (Option<u64>, Vec<Effect>) {
        let taken = self.registry.merge_report(now, target);
        let Some(held) = self.registry.export_target(now, &target.id) else {
            return (None, Vec::new());
        };
        if held.incarnation > target.incarnation {
            return (None, Vec::new());
        }
        let mut effects = Vec::new();
        if taken == MergeOutcome::Changed {
            effects.extend(self.apply_changes(now));
            effects.push(Effect::ViewChanged);
        }
        let binding = held.stage > Stage::Ready as i32;
        if taken == MergeOutcome::Unchanged && (!binding || self.is_confirmed(&held)) {
            return (None, effects);
        }
        let pending = self.spread.pending(&held);
        let update_id = pending.unwrap_or_else(|| {
            let audience = self.audience(now, binding);
            self.spread.begin(now, held.clone(), audience)
        });
        if !binding {
            self.untold.push(held);
        }
        let news = self.spread.due(now);
        effects.extend(news.into_iter().map(|(to, body)| send(to, body)));
        effects.extend(self.settle_news());
        (binding.then_some(update_id), effects)
    }

    /// Notes that a target has ended, as [`Self::report`] does.
    pub fn leave(&mut self, now: Time, id: &str, born: Option<u64>) -> (Option<u64>, Vec<Effect>) {
        let Some(target) = self.registry.mark_gone(now, id, born) else {
            return (None, Vec::new());
        };
        let (update_id, mut effects) = self.report(now, &target);
        effects.push(Effect::ViewChanged);
        (update_id, effects)
    }

    /// Who must hear news before they count as known: a majority of the control
    /// VMs and, if an acknowledgement binds them, the entry VMs in reach.
    /// Others learn of it from the control VM that they follow.
    pub(crate) fn audience(&self, now: Time, binding: bool) -> Audience {
        let entries = self.alive(now).filter(|n| binding && n.is(Role::Entry));
        let controls: Vec<_> = self.controls().collect();
        Audience {
            entries: entries.map(|n| n.address).collect(),
            needed: controls.len().div_ceil(2),
            controls,
        }
    }

    /// Tells the entry VMs that follow this control VM what is new since the
    /// last time; what is lost they get when they next compare what they have.
    ///
    /// All news of a tick go in one message: when hundreds of targets report
    /// at once, as after a restart of everything, one message for each would
    /// fill the links of entry VMs.
    pub(crate) fn tell_followers(&mut self, now: Time) -> Vec<Effect> {
        if self.untold.is_empty() {
            return Vec::new();
        }
        let targets = Targets {
            buckets: Vec::new(),
            targets: std::mem::take(&mut self.untold),
        };
        let told = self.followers(now).map(|n| n.address);
        told.map(|to| send(to, Body::Targets(targets.clone())))
            .collect()
    }

    /// The entry VMs that asked this control VM lately what they lack.
    pub(crate) fn followers(&self, now: Time) -> impl Iterator<Item = &Node> {
        let follows = move |at: Option<Time>| at.is_some_and(|at| now.since(at) < FOLLOWING);
        let entries = self.members.of(Role::Entry);
        entries.filter(move |n| follows(n.follows))
    }

    pub(crate) fn excuse_lost(&mut self, now: Time) {
        let lost = self.config.failure_timeout;
        let members = &self.members;
        self.spread.excuse(|address| {
            let node = members.get(address);
            node.is_none_or(|n| now.since(n.heard) >= lost)
        });
    }

    /// Tells of news that are known wherever they must be, also the other
    /// control VMs, which a target may ask next.
    pub(crate) fn settle_news(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (update_id, target) in self.spread.known() {
            effects.push(Effect::Confirmed { update_id });
            if target.stage > Stage::Ready as i32 {
                let settled = Body::Settled(target.clone());
                effects.extend(self.controls().map(|to| send(to, settled.clone())));
            }
            self.confirm(&target);
        }
        effects
    }

    pub(crate) fn confirm(&mut self, target: &Target) {
        if self.confirmed.len() >= CONFIRMED {
            self.confirmed.pop_front();
        }
        self.confirmed.push_back(Confirmed {
            id: target.id.clone(),
            born: target.incarnation,
            stage: target.stage,
        });
    }

    pub(crate) fn is_confirmed(&self, target: &Target) -> bool {
        let same = |c: &Confirmed| {
            c.id == target.id && c.born == target.incarnation && c.stage >= target.stage
        };
        self.confirmed.iter().any(same)
    }

    /// What a process lacks of the items, unless that is on its way to it.
    pub(crate) fn items_for(&mut self, now: Time, to: SocketAddr, revision: u64) -> Option<Effect> {
        let newest = self.catalog.revision();
        if revision >= newest {
            return None;
        }
        let node = self.members.get_mut(&to)?;
        let sent = Sent {
            from: revision,
            to: newest,
            at: now,
        };
        let same = |s: &Sent| s.from == sent.from && s.to == sent.to;
        if node
            .sent
            .is_some_and(|s| same(&s) && now.since(s.at) < RESEND)
        {
            return None;
        }
        node.sent = Some(sent);
        let mut held: Vec<_> = self.catalog.changes_since(revision).cloned().collect();
        for held in &mut held {
            // Only control VMs give back what operators sent.
            held.item.source.clear();
        }
        let items = Items {
            from: revision,
            to: newest,
            held,
        };
        Some(send(to, Body::Items(items)))
    }

    /// Whether a process lacks items for longer than it takes the control VM
    /// that it follows to send them.
    pub(crate) fn lags(&self, now: Time, address: SocketAddr) -> bool {
        let node = self.members.get(&address);
        node.is_some_and(|n| n.revision < self.catalog.revision() && now.since(n.reached) > LAG)
            && now.since(self.changed) > LAG
    }
}
