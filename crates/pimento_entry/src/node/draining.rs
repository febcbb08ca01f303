//! Operators' drains of targets, which outlive the holder of a lease.

use super::{Drain, Node};
use actix::prelude::*;
use pimento_core::{TargetId, Time};
use pimento_link::{Channel, Incoming};
use pimento_log::{Event, event};
use prost::Message as _;
use std::time::Duration;

/// How long a drain is remembered; a target that still announces itself later
/// is drained again by its operator.
const REMEMBERED: Duration = Duration::from_hours(24);

/// The most drains that are remembered.
const MAX_DRAINS: usize = 10_000;

/// Tells the entry VMs of a failure domain of an operator's drain.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(super) struct DrainNotice {
    /// The target.
    #[prost(string, tag = "1")]
    target: String,
    /// The start of the target's process: a restarted one is not drained.
    #[prost(uint64, tag = "2")]
    instance: u64,
}

/// An operator's drain of a target.
#[derive(Debug)]
pub(super) struct Drained {
    target: TargetId,
    instance: u64,
    at: Time,
}

impl Handler<Drain> for Node {
    type Result = bool;

    fn handle(&mut self, msg: Drain, _ctx: &mut Self::Context) -> bool {
        let now = self.now();
        let Some(view) = self.leases.held_lease(now, &msg.target) else {
            return false;
        };
        let instance = view.incarnation;
        let effects = self.leases.set_drained(&msg.target, true);
        event!(self.log, Event::TargetDrained, "target" => %msg.target);
        self.leased(now, effects);
        let target = msg.target.to_string();
        let notice = DrainNotice { target, instance };
        let payload = bytes::Bytes::from(notice.encode_to_vec());
        for peer in self.members.live() {
            let link = peer.info.link;
            self.links.send(link, Channel::Drain, payload.clone());
        }
        self.remember(now, msg.target, instance);
        true
    }
}

impl Node {
    /// Takes another VM's word of a drain.
    pub(super) fn on_drain(&mut self, msg: &Incoming) {
        let Ok(notice) = DrainNotice::decode(msg.payload.clone()) else {
            return;
        };
        if let Ok(target) = TargetId::new(notice.target) {
            let now = self.now();
            self.remember(now, target.clone(), notice.instance);
            self.drain_again(now, &target);
        }
    }

    /// Drains a target whose lease this VM holds, if an operator has drained it
    /// under any holder.
    pub(super) fn drain_again(&mut self, now: Time, target: &TargetId) {
        let instance = self
            .leases
            .held_lease(now, target)
            .map(|view| view.incarnation);
        let found = self.find_drain(target).ok();
        if found.is_some_and(|i| Some(self.drains[i].instance) == instance) {
            let effects = self.leases.set_drained(target, true);
            self.leased(now, effects);
        }
    }

    fn remember(&mut self, now: Time, target: TargetId, instance: u64) {
        self.drains.retain(|d| now.since(d.at) < REMEMBERED);
        let at = now;
        let drained = Drained {
            target,
            instance,
            at,
        };
        match self.find_drain(&drained.target) {
            Ok(i) => self.drains[i] = drained,
            Err(i) if self.drains.len() < MAX_DRAINS => self.drains.insert(i, drained),
            Err(_) => {}
        }
    }

    fn find_drain(&self, target: &TargetId) -> Result<usize, usize> {
        self.drains.binary_search_by(|d| d.target.cmp(target))
    }
}
