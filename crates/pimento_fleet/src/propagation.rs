//! Propagates target updates to the processes that must have them.

use crate::{
    Effect, Fleet, Role,
    broadcast::Recipients,
    fleet::send,
    message::{Body, Targets},
};
use pimento_core::Time;
use pimento_registry::{MergeOutcome, Stage, Target};
use std::net::SocketAddr;

/// The most confirmed reports that are kept; the oldest is dropped first.
const MAX_CONFIRMED: usize = 1_024;

/// A report that was acknowledged by all processes that must have it.
#[derive(Debug)]
pub(crate) struct ConfirmedReport {
    id: String,
    incarnation: u64,
    stage: i32,
}

impl Fleet {
    /// Applies a target's report of its own state.
    ///
    /// Returns the id of the [`Effect::Confirmed`] to wait for before the
    /// report of a drain is acknowledged; `None` if there is nothing to wait
    /// for.
    pub fn report_target(&mut self, now: Time, target: &Target) -> (Option<u64>, Vec<Effect>) {
        let merged = self.registry.merge_report(now, target);
        let Some(current) = self.registry.export_target(now, &target.id) else {
            return (None, Vec::new());
        };
        if current.incarnation > target.incarnation {
            return (None, Vec::new());
        }
        let mut effects = Vec::new();
        if merged == MergeOutcome::Changed {
            effects.extend(self.apply_target_changes(now));
            effects.push(Effect::ViewChanged);
        }
        let must_confirm = current.stage > Stage::Ready as i32;
        if merged == MergeOutcome::Unchanged && (!must_confirm || self.is_confirmed(&current)) {
            return (None, effects);
        }
        let pending = self.broadcast.find_pending(&current);
        let update_id = pending.unwrap_or_else(|| {
            let recipients = self.recipients(now, must_confirm);
            let confirm_from = self.settling.settled_at(now, self.config.failure_timeout);
            self.broadcast
                .start(now, current.clone(), recipients, confirm_from)
        });
        if must_confirm {
            let silent = self.silent_entries(now);
            effects.extend(target_messages(silent, std::slice::from_ref(&current)));
        } else {
            self.pending_updates.push(current);
        }
        let updates = self.broadcast.take_due(now);
        effects.extend(updates.into_iter().map(|(to, body)| send(to, body)));
        effects.extend(self.confirm_updates(now));
        (must_confirm.then_some(update_id), effects)
    }

    /// Records the end of a target. Returns the same as
    /// [`Self::report_target`].
    ///
    /// A target that is unknown here may be known elsewhere, for example if this
    /// process has just started, so its end is spread as well.
    pub fn end_target(
        &mut self,
        now: Time,
        id: &str,
        incarnation: Option<u64>,
    ) -> (Option<u64>, Vec<Effect>) {
        let known = self.registry.mark_gone(now, id, incarnation);
        let target = known.unwrap_or_else(|| Target::gone(id, incarnation.unwrap_or_default()));
        let (update_id, mut effects) = self.report_target(now, &target);
        effects.push(Effect::ViewChanged);
        (update_id, effects)
    }

    /// The processes that must acknowledge an update before it is confirmed: a
    /// majority of the control VMs and, if the report must be confirmed to the
    /// target, all entry VMs that are alive. Other processes get the update
    /// from the control VM that they follow.
    pub(crate) fn recipients(&self, now: Time, must_confirm: bool) -> Recipients {
        let entries = self
            .live_nodes(now)
            .filter(|n| must_confirm && n.has_role(Role::Entry));
        let controls: Vec<_> = self.control_addresses().collect();
        Recipients {
            entries: entries.map(|n| n.address).collect(),
            acks_needed: controls.len().div_ceil(2),
            controls,
        }
    }

    /// Sends the updates that targets wait for also to an entry VM that was not known
    /// to be alive when they began.
    pub(crate) fn add_recipient(&mut self, address: SocketAddr) {
        let node = self.members.get(&address);
        if node.is_some_and(|n| n.has_role(Role::Entry)) {
            self.broadcast.add_entry(address);
        }
    }

    /// Sends the updates since the last call to the entry VMs that follow this
    /// control VM, and to silent ones. If the message is lost, they get the updates
    /// when they next compare their target digests.
    ///
    /// All updates of a tick go in one message: when hundreds of targets report
    /// at once, as after a restart of the whole system, one message per target
    /// would saturate the links of entry VMs.
    pub(crate) fn flush_updates(&mut self, now: Time) -> Vec<Effect> {
        if self.pending_updates.is_empty() {
            return Vec::new();
        }
        let updates = std::mem::take(&mut self.pending_updates);
        let followers = self.followers(now).map(|n| n.address);
        target_messages(followers.chain(self.silent_entries(now)), &updates)
    }

    /// The entry VMs whose heartbeats don't arrive and that would follow this control
    /// VM first or next. They may serve behind a full uplink, so they are told of
    /// updates, though nothing waits for their acknowledgement.
    pub(crate) fn silent_entries(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        let entries = self.members.with_role(Role::Entry);
        let silent = entries.filter(move |n| !self.is_live(now, &n.address));
        let own = silent.filter(move |n| self.is_next_control(now, &n.info));
        own.map(|n| n.address)
    }

    pub(crate) fn drop_dead_recipients(&mut self, now: Time) {
        let timeout = self.config.failure_timeout;
        let members = &self.members;
        self.broadcast
            .drop_recipients(|address| !members.is_heard_within(now, address, timeout));
    }

    /// Reports the updates that became confirmed. The other control VMs are
    /// told about drains, since the target may send its next report to any of
    /// them.
    pub(crate) fn confirm_updates(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (update_id, target) in self.broadcast.take_confirmed(now) {
            effects.push(Effect::Confirmed { update_id });
            if target.stage > Stage::Ready as i32 {
                let message = Body::UpdateConfirmed(target.clone());
                effects.extend(self.control_addresses().map(|to| send(to, message.clone())));
            }
            self.record_confirmed(&target);
        }
        effects
    }

    pub(crate) fn record_confirmed(&mut self, target: &Target) {
        if self.confirmed.len() >= MAX_CONFIRMED {
            self.confirmed.pop_front();
        }
        self.confirmed.push_back(ConfirmedReport {
            id: target.id.clone(),
            incarnation: target.incarnation,
            stage: target.stage,
        });
    }

    pub(crate) fn is_confirmed(&self, target: &Target) -> bool {
        let same = |c: &ConfirmedReport| {
            c.id == target.id && c.incarnation == target.incarnation && c.stage >= target.stage
        };
        self.confirmed.iter().any(same)
    }
}

/// Tells processes of the states of targets.
fn target_messages(receivers: impl Iterator<Item = SocketAddr>, targets: &[Target]) -> Vec<Effect> {
    let message = |to| {
        let body = Targets {
            buckets: Vec::new(),
            targets: targets.to_vec(),
        };
        send(to, Body::Targets(body))
    };
    receivers.map(message).collect()
}
