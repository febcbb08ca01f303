//! What requests are decided by.

use crate::{Effect, Fleet, Node, Role, Stage, TargetInfo, View};
use pimento_broker::{Place, TargetView};
use pimento_core::{Time, hash};
use pimento_items::RouteTable;
use pimento_registry::Target;
use std::{net::SocketAddr, sync::Arc};

impl Fleet {
    /// Where callers of a failure domain are to go.
    pub fn entries(&self, now: Time, domain: &str) -> Vec<SocketAddr> {
        let region = self.config.region(domain);
        let ready = self.alive(now).filter(|n| n.is(Role::Entry) && n.ready());
        let ready: Vec<_> = ready.collect();
        let near = ready.iter().filter(|n| n.info.domain == domain);
        let same_region = |n: &&&Node| self.config.region(&n.info.domain) == region;
        let regional = ready.iter().filter(same_region);
        let choices = [
            near.copied().collect::<Vec<_>>(),
            regional.copied().collect(),
            ready.clone(),
        ];
        let chosen = choices.into_iter().find(|nodes| !nodes.is_empty());
        let nodes = chosen.unwrap_or_default();
        let callers = nodes.iter().filter_map(|n| n.info.callers.parse().ok());
        callers.collect()
    }

    /// The processes that this one knows of.
    pub fn nodes(&self, now: Time) -> Vec<Node> {
        self.alive(now).cloned().collect()
    }

    /// What requests are decided by.
    pub fn view(&self) -> View {
        let mut view = View {
            catalog: Arc::clone(&self.catalog),
            routes: Arc::new(RouteTable::new(&self.catalog)),
            vms: self.entry_count(),
            ready: self.config.me.stage == Stage::Ready as i32,
            ..View::default()
        };
        for target in self.usable() {
            let Ok(address) = target.address.parse() else {
                continue;
            };
            let service: Arc<str> = Arc::from(target.service.as_str());
            self.add_place(&mut view, &service, target);
            view.targets.push(TargetInfo {
                id: Arc::from(target.id.as_str()),
                address,
                service,
            });
        }
        view
    }

    /// The entry VMs that serve, this one included.
    pub(crate) fn entry_count(&self) -> usize {
        let others = self.members.of(Role::Entry).filter(|n| n.ready()).count();
        let me = &self.config.me;
        let own = me.role() == Role::Entry && me.stage() == Stage::Ready;
        others + usize::from(own)
    }

    /// Hands the broker what is known of all targets.
    pub(crate) fn refresh_broker(&mut self, now: Time) -> Vec<Effect> {
        let views = self
            .registry
            .living()
            .map(|t| self.target_view(t))
            .collect();
        let decided = self.broker.set_targets(now, views);
        self.broker_effects(decided)
    }

    pub(crate) fn target_view(&self, target: &Target) -> TargetView {
        let service = self.catalog.service(&target.service);
        let rate = service.map_or(0.0, |s| f64::from(s.cold_rate) / 1_000.0);
        let ready = target.stage == pimento_registry::Stage::Ready as i32;
        TargetView {
            id: Arc::from(target.id.as_str()),
            seed: hash::fnv([target.id.as_bytes(), &target.born.to_le_bytes()]),
            service: Arc::from(target.service.as_str()),
            domain: Arc::from(target.domain.as_str()),
            slots: target.slots,
            open: ready && !self.catalog.evacuated(&target.domain),
            cold_until: self.registry.cold_until(&target.id),
            cold_rate: rate,
        }
    }

    /// The targets that may get requests, sorted by name.
    pub(crate) fn usable(&self) -> impl Iterator<Item = &Target> {
        self.registry.living().filter(|target| {
            let ready = target.stage == pimento_registry::Stage::Ready as i32;
            ready && !self.catalog.evacuated(&target.domain)
        })
    }

    pub(crate) fn add_place(&self, view: &mut View, service: &Arc<str>, target: &Target) {
        let Some(region) = self.config.region(&target.domain) else {
            return;
        };
        let found = view.places.binary_search_by(|(name, _)| name.cmp(service));
        let at = found.unwrap_or_else(|at| {
            view.places.insert(at, (Arc::clone(service), Vec::new()));
            at
        });
        let places = &mut view.places[at].1;
        match places.iter_mut().find(|p| *p.domain == *target.domain) {
            Some(place) => place.slots += target.slots,
            None => places.push(Place {
                domain: Arc::from(target.domain.as_str()),
                region: Arc::clone(region),
                slots: target.slots,
            }),
        }
    }
}
