//! The steering state of one entry VM.

use crate::{
    BlockTable, ClusterView, LinkBudget, SteeringConfig, destination::Destination,
    lookup_plan::LookupPlan,
};
use pimento_core::prelude::*;
use pimento_rules::{Link, Region, Rules, Service};
use rand::{SeedableRng, rngs::SmallRng};
use std::sync::Arc;

/// The location of this VM, from its settings.
#[derive(Clone, Debug)]
pub struct Location {
    /// The name of the VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
}

/// The budget of the link to one region.
#[derive(Clone, Debug)]
pub(crate) struct RegionBudget {
    pub(crate) region: RegionId,
    pub(crate) link: LinkBudget,
}

/// Decides where one entry VM sends callers and requests.
#[derive(Clone, Debug)]
pub struct Steering {
    pub(crate) config: SteeringConfig,
    pub(crate) location: Location,
    pub(crate) rng: SmallRng,
    pub(crate) version: u64,
    pub(crate) services: Vec<Service>,
    regions: Vec<Region>,
    /// Failure domains with their regions, sorted by name.
    domains: Vec<(DomainId, RegionId)>,
    links: Vec<Link>,
    pub(crate) blocks: Arc<BlockTable>,
    pub(crate) view: ClusterView,
    /// When the view was last set.
    view_time: Time,
    /// What was sent to other VMs and failure domains, sorted by name and
    /// service.
    pub(crate) destinations: Vec<Destination>,
    pub(crate) budgets: Vec<RegionBudget>,
    pub(crate) plan: LookupPlan,
}

impl Steering {
    /// Creates an instance without rules and without a view.
    pub fn new(config: SteeringConfig, location: Location, seed: u64) -> Self {
        Self {
            config,
            location,
            rng: SmallRng::seed_from_u64(seed),
            version: 0,
            services: Vec::new(),
            regions: Vec::new(),
            domains: Vec::new(),
            links: Vec::new(),
            blocks: Arc::new(BlockTable::default()),
            view: ClusterView::default(),
            view_time: Time::ZERO,
            destinations: Vec::new(),
            budgets: Vec::new(),
            plan: LookupPlan::default(),
        }
    }

    /// Applies new rules. The block table is passed separately, because a large
    /// one is built in the background; see [`BlockTable::apply`].
    pub fn set_rules(&mut self, now: Time, rules: &Rules, blocks: Arc<BlockTable>) {
        self.version = rules.version;
        self.services.clone_from(&rules.services);
        self.regions.clone_from(&rules.regions);
        self.links.clone_from(&rules.links);
        let domains = rules.domains.iter();
        self.domains = domains
            .map(|d| (d.name.clone(), d.region.clone()))
            .collect();
        self.domains.sort();
        self.blocks = blocks;
        self.share_links(now);
        self.update_plan(now, true);
    }

    /// Replaces the known state of the other VMs.
    pub fn set_view(&mut self, now: Time, view: ClusterView) {
        self.view = view;
        self.destinations
            .retain(|destination| destination.is_in_use(now));
        self.share_links(now);
        self.update_plan(now, false);
    }

    pub(crate) fn region_of(&self, domain: &str) -> Option<&RegionId> {
        let found = self
            .domains
            .binary_search_by(|(name, _)| name.as_str().cmp(domain));
        found.ok().map(|i| &self.domains[i].1)
    }

    /// The link between this VM's region and another one.
    fn link_to(&self, region: &RegionId) -> Option<&Link> {
        let own_region = &self.location.region;
        let connects = |l: &&Link| {
            (&l.a, &l.b) == (own_region, region) || (&l.a, &l.b) == (region, own_region)
        };
        self.links.iter().find(connects)
    }

    /// The round-trip time between this VM and a failure domain.
    pub(crate) fn rtt(&self, domain: &str) -> Duration {
        if domain == self.location.domain.as_str() {
            return self.config.peer_rtt;
        }
        match self.region_of(domain) {
            Some(region) if *region == self.location.region => self.config.domain_rtt,
            Some(region) => self
                .link_to(region)
                .map_or(self.config.fallback_rtt, |link| {
                    Duration::from_millis(u64::from(link.latency)) * 2
                }),
            None => self.config.fallback_rtt,
        }
    }

    /// The percentage of this region's slots that requests from other regions
    /// may not use; the lease holder enforces it.
    pub fn region_reserve(&self) -> u8 {
        let is_own = |region: &&Region| region.name == self.location.region;
        self.regions.iter().find(is_own).map_or(0, |r| r.reserve)
    }

    /// Divides each link evenly among the region's failure domains, and each
    /// part among the live entry VMs of this VM's domain. Thus failure domains
    /// that are cut off from each other never use each other's part.
    fn share_links(&mut self, now: Time) {
        let own_region = &self.location.region;
        let domains = self
            .domains
            .iter()
            .filter(|(_, region)| region == own_region);
        let sharers = domains.count().max(1) * self.view.peers.len().max(1);
        let share = self.config.response_share / sharers as f64;
        for link in &self.links {
            let region = match (link.a == *own_region, link.b == *own_region) {
                (true, _) => &link.b,
                (_, true) => &link.a,
                _ => continue,
            };
            let found = self.budgets.binary_search_by(|b| b.region.cmp(region));
            let i = found.unwrap_or_else(|i| {
                let region = region.clone();
                let link = LinkBudget::new(now, self.config.link_burst);
                self.budgets.insert(i, RegionBudget { region, link });
                i
            });
            self.budgets[i].link.set_share(now, link.mbit, share);
        }
        let has_link = |budget: &RegionBudget| {
            let links = self.links.iter();
            links
                .into_iter()
                .any(|l| l.a == budget.region || l.b == budget.region)
        };
        self.budgets.retain(has_link);
    }

    /// Updates the look-up plan, and its distances only if they may have changed.
    ///
    /// The share of blocks that each failure domain keeps moves one step
    /// towards the share that its headroom calls for. Small steps keep the
    /// cached responses of clients useful, and keep callers from rushing to a
    /// domain that becomes free.
    fn update_plan(&mut self, now: Time, distances_changed: bool) {
        let elapsed = now.since(self.view_time).as_secs_f64().min(1.0);
        self.view_time = now;
        let mut names: Vec<DomainId> = self.domains.iter().map(|d| d.0.clone()).collect();
        names.push(self.location.domain.clone());
        names.extend(self.view.domains.iter().map(|s| s.domain.clone()));
        names.sort_unstable();
        names.dedup();
        let mut plan = std::mem::take(&mut self.plan);
        if distances_changed || !plan.has_domains(&names) {
            plan.set_domains(names, |from, to| self.distance(from, to));
            plan.set_block_domains(&self.location.domain, self.blocks.domains());
        }
        let mut services: Vec<&ServiceId> = self.services.iter().map(|s| &s.name).collect();
        services.sort_unstable();
        let step = self.config.block_rate * elapsed;
        let services = services.into_iter();
        plan.set_view(
            &self.view,
            &self.location.domain,
            services,
            step,
            &self.config,
        );
        self.plan = plan;
    }

    /// The distance of a failure domain for the callers of another: the same
    /// domain is nearest, then the same region, then by the round-trip time
    /// from this VM.
    fn distance(&self, from: &DomainId, to: &DomainId) -> (bool, bool, Duration) {
        let same_region = self.region_of(from) == self.region_of(to);
        let rtt = if same_region {
            Duration::ZERO
        } else {
            self.rtt(to)
        };
        (from != to, !same_region, rtt)
    }

    pub(crate) fn service_rule(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        found.ok().map(|i| &self.services[i])
    }
}
