//! Target updates that are sent repeatedly until every reachable VM has them.

use crate::message::{Body, TargetUpdateMessage};
use pimento_core::Time;
use pimento_registry::{Stage, Target};
use std::{net::SocketAddr, time::Duration};

/// The time after which an unacknowledged update is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(120);
/// How long an update is sent repeatedly. A VM that misses it for longer gets
/// it when it compares its target digests with those of a control VM.
const MAX_BROADCAST_TIME: Duration = Duration::from_secs(6);

/// A target update that is being broadcast.
#[derive(Clone, Debug)]
struct TargetUpdate {
    id: u64,
    target: Target,
    started: Time,
    /// Before this time other entry VMs that need it may not be known yet.
    confirm_from: Time,
    resend_at: Time,
    /// The entry VMs that have not acknowledged.
    entries: Vec<SocketAddr>,
    /// The control VMs that have not acknowledged.
    controls: Vec<SocketAddr>,
    /// The number of acknowledgements of control VMs that are still missing.
    acks_needed: usize,
    /// Whether the update still lacks acknowledgements that it needs to count
    /// as confirmed.
    unconfirmed: bool,
}

/// Target updates that are sent repeatedly until every reachable VM has them.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateBroadcast {
    updates: Vec<TargetUpdate>,
    last_id: u64,
}

/// The processes that an update is sent to.
#[derive(Clone, Debug)]
pub(crate) struct Recipients {
    pub entries: Vec<SocketAddr>,
    pub controls: Vec<SocketAddr>,
    /// How many of the control VMs must acknowledge.
    pub acks_needed: usize,
}

impl UpdateBroadcast {
    /// Starts a broadcast and returns its id, by which
    /// [`Self::take_confirmed`] reports it.
    pub(crate) fn start(
        &mut self,
        now: Time,
        target: Target,
        recipients: Recipients,
        confirm_from: Time,
    ) -> u64 {
        self.last_id += 1;
        self.updates.push(TargetUpdate {
            id: self.last_id,
            target,
            started: now,
            confirm_from,
            resend_at: now,
            entries: recipients.entries,
            controls: recipients.controls,
            acks_needed: recipients.acks_needed,
            unconfirmed: true,
        });
        self.last_id
    }

    /// The unconfirmed update, if any, that carries the same state of the
    /// target.
    pub(crate) fn find_pending(&self, target: &Target) -> Option<u64> {
        let same = |u: &&TargetUpdate| {
            let (a, b) = (&u.target, target);
            a.id == b.id && a.incarnation == b.incarnation && a.stage == b.stage && u.unconfirmed
        };
        self.updates.iter().find(same).map(|u| u.id)
    }

    pub(crate) fn record_ack(&mut self, from: &SocketAddr, id: u64) {
        let Some(update) = self.updates.iter_mut().find(|u| u.id == id) else {
            return;
        };
        let previous = update.controls.len();
        update.controls.retain(|a| a != from);
        update.acks_needed = update
            .acks_needed
            .saturating_sub(previous - update.controls.len());
        update.entries.retain(|a| a != from);
    }

    /// Adds a recipient to the updates that targets wait for.
    pub(crate) fn add_entry(&mut self, entry: SocketAddr) {
        let is_awaited =
            |u: &&mut TargetUpdate| u.unconfirmed && u.target.stage > Stage::Ready as i32;
        for update in self.updates.iter_mut().filter(is_awaited) {
            if !update.entries.contains(&entry) {
                update.entries.push(entry);
            }
        }
    }

    /// Stops waiting for entry VMs that are dead.
    pub(crate) fn drop_recipients(&mut self, is_dead: impl Fn(&SocketAddr) -> bool) {
        for update in &mut self.updates {
            update.entries.retain(|a| !is_dead(a));
        }
    }

    /// The updates that became confirmed since the last call.
    pub(crate) fn take_confirmed(&mut self, now: Time) -> Vec<(u64, Target)> {
        let mut confirmed = Vec::new();
        for update in &mut self.updates {
            let has_acks = update.entries.is_empty() && update.acks_needed == 0;
            if update.unconfirmed && has_acks && now >= update.confirm_from {
                update.unconfirmed = false;
                confirmed.push((update.id, update.target.clone()));
            }
        }
        self.updates
            .retain(|u| u.unconfirmed || !u.controls.is_empty());
        confirmed
    }

    /// The messages to send now.
    pub(crate) fn take_due(&mut self, now: Time) -> Vec<(SocketAddr, Body)> {
        self.updates
            .retain(|u| now.since(u.started) < MAX_BROADCAST_TIME);
        let mut messages = Vec::new();
        for update in self.updates.iter_mut().filter(|u| u.resend_at <= now) {
            update.resend_at = now + RESEND_INTERVAL;
            let message = TargetUpdateMessage {
                update_id: update.id,
                targets: vec![update.target.clone()],
            };
            let recipients = update.entries.iter().chain(&update.controls);
            messages.extend(recipients.map(|to| (*to, Body::TargetUpdate(message.clone()))));
        }
        messages
    }
}
