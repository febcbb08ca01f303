//! Drains of targets by operators. They stay in force when the lease moves to
//! another VM.

use super::{DrainTarget, Node};
use actix::prelude::*;
use pimento_core::{TargetId, Time};
use pimento_link::{Channel, Incoming};
use pimento_log::{Event, event};
use prost::Message as _;
use std::time::Duration;

/// How long a drain is remembered. If the target still announces itself
/// afterwards, its operator has to drain it again.
const DRAIN_RETENTION: Duration = Duration::from_hours(24);

/// Bound on the number of remembered drains.
const MAX_DRAINS: usize = 10_000;

/// Informs the other entry VMs of the failure domain of a drain.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(super) struct DrainNotice {
    /// The target's name.
    #[prost(string, tag = "1")]
    target: String,
    /// The incarnation of the target; a drain does not apply to a restarted
    /// target.
    #[prost(uint64, tag = "2")]
    incarnation: u64,
}

/// A remembered drain.
#[derive(Debug)]
pub(super) struct RememberedDrain {
    target: TargetId,
    incarnation: u64,
    at: Time,
}

impl Handler<DrainTarget> for Node {
    type Result = bool;

    fn handle(&mut self, msg: DrainTarget, _ctx: &mut Self::Context) -> bool {
        let now = self.now();
        let Some(view) = self.leases.held_lease(now, &msg.target) else {
            return false;
        };
        let incarnation = view.incarnation;
        let effects = self.leases.set_drained(&msg.target, true);
        event!(self.log, Event::TargetDrained, "target" => %msg.target);
        self.apply_lease_effects(now, effects);
        let target = msg.target.to_string();
        let notice = DrainNotice {
            target,
            incarnation,
        };
        let payload = bytes::Bytes::from(notice.encode_to_vec());
        for peer in self.members.live() {
            let link = peer.info.link;
            self.links.send(link, Channel::Drain, payload.clone());
        }
        self.remember_drain(now, msg.target, incarnation);
        true
    }
}

impl Node {
    /// Handles a drain notice of another VM.
    pub(super) fn handle_drain_notice(&mut self, msg: &Incoming) {
        let Ok(notice) = DrainNotice::decode(msg.payload.clone()) else {
            return;
        };
        if let Ok(target) = TargetId::new(notice.target) {
            let now = self.now();
            self.remember_drain(now, target.clone(), notice.incarnation);
            self.reapply_drain(now, &target);
        }
    }

    /// Drains the target if this VM holds its lease and an operator drained
    /// this incarnation, whichever VM held the lease then.
    pub(super) fn reapply_drain(&mut self, now: Time, target: &TargetId) {
        let incarnation = self
            .leases
            .held_lease(now, target)
            .map(|view| view.incarnation);
        let found = self.find_drain(target).ok();
        if found.is_some_and(|i| Some(self.drains[i].incarnation) == incarnation) {
            let effects = self.leases.set_drained(target, true);
            self.apply_lease_effects(now, effects);
        }
    }

    fn remember_drain(&mut self, now: Time, target: TargetId, incarnation: u64) {
        self.drains.retain(|d| now.since(d.at) < DRAIN_RETENTION);
        let at = now;
        let drain = RememberedDrain {
            target,
            incarnation,
            at,
        };
        match self.find_drain(&drain.target) {
            Ok(i) => self.drains[i] = drain,
            Err(i) if self.drains.len() < MAX_DRAINS => self.drains.insert(i, drain),
            Err(_) => {}
        }
    }

    fn find_drain(&self, target: &TargetId) -> Result<usize, usize> {
        self.drains.binary_search_by(|d| d.target.cmp(target))
    }
}
