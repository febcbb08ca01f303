//! What requests are decided by.

use crate::{
    Effect, Fleet, Node, Role, RoutingView, Stage,
    board::{RoutableTargets, TargetInfo},
    shards::{Shards, together},
};
use pimento_broker::TargetView;
use pimento_core::{Time, hash};
use pimento_items::RouteTable;
use pimento_registry::Target;
use std::sync::Arc;

/// The stages of targets as reports carry them.
const READY: i32 = pimento_registry::Stage::Ready as i32;
const GONE: i32 = pimento_registry::Stage::Gone as i32;

impl Fleet {
    /// The processes that this one knows of.
    pub fn nodes(&self, now: Time) -> Vec<Node> {
        self.alive(now).cloned().collect()
    }

    /// What requests are decided by.
    pub fn view(&self) -> RoutingView {
        RoutingView {
            catalog: Arc::clone(&self.catalog),
            routes: Arc::clone(&self.routes),
            targets: Arc::clone(&self.routable),
            entry_count: self.entry_count(),
            ready: self.config.local.stage == Stage::Ready as i32,
        }
    }

    /// The entry VMs that serve, this one included.
    pub(crate) fn entry_count(&self) -> usize {
        let others = self.members.of(Role::Entry).filter(|n| n.ready()).count();
        let me = &self.config.local;
        let own = me.role() == Role::Entry && me.stage() == Stage::Ready;
        others + usize::from(own)
    }

    /// Takes what the items say of routes, services and failure domains.
    pub(crate) fn refresh(&mut self, now: Time) -> Vec<Effect> {
        self.routes = Arc::new(RouteTable::new(&self.catalog));
        self.registry.take_changes();
        let living: Vec<_> = self.registry.live_targets().cloned().collect();
        self.shards = Shards::new(&living);
        let routable = Arc::make_mut(&mut self.routable);
        *routable = RoutableTargets::default();
        for target in &living {
            self.show(target);
        }
        let views = living.iter().map(|t| self.target_view(t)).collect();
        let decided = self.broker.set_targets(now, views);
        self.broker_effects(decided)
    }

    /// Takes the targets that changed since the last call.
    pub(crate) fn apply_changes(&mut self, now: Time) -> Vec<Effect> {
        let changes = self.registry.take_changes();
        if changes.iter().any(|id| self.divides_anew(id)) {
            return self.refresh(now);
        }
        let mut decided = Vec::new();
        for id in changes {
            let living = self.registry.get(&id).filter(|t| t.stage < GONE);
            let Some(target) = living.cloned() else {
                Arc::make_mut(&mut self.routable).remove(&id);
                self.broker.drop_target(&id);
                continue;
            };
            self.show(&target);
            let view = self.target_view(&target);
            decided.extend(self.broker.set_target(now, view));
        }
        self.broker_effects(decided)
    }

    /// Whether the change of a target makes another number of shards.
    fn divides_anew(&self, id: &str) -> bool {
        let Some(target) = self.registry.get(id) else {
            return false;
        };
        let others = self.registry.live_targets().filter(|t| together(t, target));
        self.shards.differ(target, others.count())
    }

    /// Lets requests find a target, or no longer.
    fn show(&mut self, target: &Target) {
        let address = target.address.parse();
        let usable = self.takes_requests(target);
        let region = self.config.region(&target.domain);
        let routable = Arc::make_mut(&mut self.routable);
        match address {
            Ok(address) if usable => {
                let info = TargetInfo {
                    id: Arc::from(target.id.as_str()),
                    address,
                    service: Arc::from(target.service.as_str()),
                    domain: Arc::from(target.domain.as_str()),
                    shard: self.shards.of(target),
                    slots: target.slots,
                };
                routable.set(info, region);
            }
            _ => routable.remove(&target.id),
        }
    }

    fn target_view(&self, target: &Target) -> TargetView {
        let service = self.catalog.service(&target.service);
        let rate = service.map_or(0.0, |s| f64::from(s.cold_rate) / 1_000.0);
        TargetView {
            id: Arc::from(target.id.as_str()),
            incarnation_hash: hash::fnv([target.id.as_bytes(), &target.incarnation.to_le_bytes()]),
            service: Arc::from(target.service.as_str()),
            domain: Arc::from(target.domain.as_str()),
            shard: self.shards.of(target),
            slots: target.slots,
            accepting: self.takes_requests(target),
            cold_until: self.registry.cold_until(&target.id),
            cold_rate: rate,
        }
    }

    /// Whether a target may get requests.
    fn takes_requests(&self, target: &Target) -> bool {
        target.stage == READY && !self.catalog.is_evacuated(&target.domain)
    }
}
