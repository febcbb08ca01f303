//! Keeps the routing view up to date.

use crate::{
    Effect, Fleet, Node, Role, RoutingView, Stage,
    routable::{RoutableTargets, TargetInfo, incarnation_hash},
    shards::{ShardMap, is_same_group},
};
use pimento_broker::TargetView;
use pimento_core::Time;
use pimento_items::RouteTable;
use pimento_registry::Target;
use std::sync::Arc;

/// Stages of targets, as numbers in reports.
const READY_STAGE: i32 = pimento_registry::Stage::Ready as i32;
const GONE_STAGE: i32 = pimento_registry::Stage::Gone as i32;

impl Fleet {
    /// The processes that were heard within the failure timeout.
    pub fn nodes(&self, now: Time) -> Vec<Node> {
        self.live_nodes(now).cloned().collect()
    }

    /// The current state that requests are routed by.
    pub fn view(&self) -> RoutingView {
        RoutingView {
            catalog: Arc::clone(&self.catalog),
            routes: Arc::clone(&self.routes),
            targets: Arc::clone(&self.routable),
            entry_count: self.entry_count(),
            ready: self.config.local.stage == Stage::Ready as i32,
            verdicts: Arc::clone(&self.open_verdicts),
        }
    }

    /// The number of entry VMs that serve, including this one.
    pub(crate) fn entry_count(&self) -> usize {
        let others = self
            .members
            .with_role(Role::Entry)
            .filter(|n| n.is_ready())
            .count();
        let local = &self.config.local;
        let serves = local.role() == Role::Entry && local.stage() == Stage::Ready;
        others + usize::from(serves)
    }

    /// Rebuilds all routing state from the items and the registry.
    pub(crate) fn rebuild_routing(&mut self, now: Time) -> Vec<Effect> {
        self.routes = Arc::new(RouteTable::new(&self.catalog));
        self.registry.take_changes();
        let live: Vec<_> = self.registry.live_targets().cloned().collect();
        self.shards = ShardMap::new(&live);
        let routable = Arc::make_mut(&mut self.routable);
        *routable = RoutableTargets::default();
        for target in &live {
            self.update_routable(target);
        }
        let views = live.iter().map(|t| self.target_view(t)).collect();
        let decisions = self.broker.set_targets(now, views);
        self.deliver_decisions(decisions)
    }

    /// Applies the targets that changed since the last call to the routing
    /// state.
    pub(crate) fn apply_target_changes(&mut self, now: Time) -> Vec<Effect> {
        let changes = self.registry.take_changes();
        if changes.iter().any(|id| self.changes_shard_count(id)) {
            return self.rebuild_routing(now);
        }
        let mut decisions = Vec::new();
        for id in changes {
            let live = self.registry.get(&id).filter(|t| t.stage < GONE_STAGE);
            let Some(target) = live.cloned() else {
                Arc::make_mut(&mut self.routable).remove(&id);
                self.broker.drop_target(&id);
                continue;
            };
            self.update_routable(&target);
            let view = self.target_view(&target);
            decisions.extend(self.broker.set_target(now, view));
        }
        self.deliver_decisions(decisions)
    }

    /// Whether the change of a target changes the number of its service's
    /// shards in its failure domain.
    fn changes_shard_count(&self, id: &str) -> bool {
        let Some(target) = self.registry.get(id) else {
            return false;
        };
        let targets = self
            .registry
            .live_targets()
            .filter(|t| is_same_group(t, target));
        self.shards.needs_resharding(target, targets.count())
    }

    /// Adds a target to the routable ones, or removes it.
    fn update_routable(&mut self, target: &Target) {
        let address = target.address.parse();
        let is_routable = self.is_routable(target);
        let region = self.config.region(&target.domain);
        let routable = Arc::make_mut(&mut self.routable);
        match address {
            Ok(address) if is_routable => {
                let info = TargetInfo {
                    id: Arc::from(target.id.as_str()),
                    incarnation: target.incarnation,
                    address,
                    service: Arc::from(target.service.as_str()),
                    domain: Arc::from(target.domain.as_str()),
                    shard: self.shards.shard_of(target),
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
            incarnation_hash: incarnation_hash(&target.id, target.incarnation),
            service: Arc::from(target.service.as_str()),
            domain: Arc::from(target.domain.as_str()),
            shard: self.shards.shard_of(target),
            slots: target.slots,
            accepting: self.is_routable(target),
            cold_until: self.registry.cold_until(&target.id),
            cold_rate: rate,
        }
    }

    /// Whether a target may receive requests.
    fn is_routable(&self, target: &Target) -> bool {
        target.stage == READY_STAGE && !self.catalog.is_evacuated(&target.domain)
    }
}
