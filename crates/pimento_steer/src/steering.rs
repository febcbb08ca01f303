//! The state of steering at one entry VM.

use crate::{BlockTable, ClusterView, LinkBudget, SteeringConfig, place::Place, plan::Plan};
use pimento_core::prelude::*;
use pimento_rules::{Link, Region, Rules, Service};
use rand::{SeedableRng, rngs::SmallRng};
use std::sync::Arc;

/// Where this VM is, from its settings.
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
pub(crate) struct Budget {
    pub(crate) region: RegionId,
    pub(crate) link: LinkBudget,
}

/// Steering at one entry VM.
#[derive(Clone, Debug)]
pub struct Steering {
    pub(crate) config: SteeringConfig,
    pub(crate) home: Location,
    pub(crate) rng: SmallRng,
    pub(crate) version: u64,
    pub(crate) services: Vec<Service>,
    regions: Vec<Region>,
    /// Failure domains with their regions, by name.
    domains: Vec<(DomainId, RegionId)>,
    links: Vec<Link>,
    pub(crate) blocks: Arc<BlockTable>,
    pub(crate) view: ClusterView,
    /// When the view was last set.
    viewed: Time,
    /// What was sent to other places, by place and service.
    pub(crate) places: Vec<Place>,
    pub(crate) budgets: Vec<Budget>,
    pub(crate) plan: Plan,
}

impl Steering {
    /// Creates steering without rules and without a view.
    pub fn new(config: SteeringConfig, home: Location, seed: u64) -> Self {
        Self {
            config,
            home,
            rng: SmallRng::seed_from_u64(seed),
            version: 0,
            services: Vec::new(),
            regions: Vec::new(),
            domains: Vec::new(),
            links: Vec::new(),
            blocks: Arc::new(BlockTable::default()),
            view: ClusterView::default(),
            viewed: Time::ZERO,
            places: Vec::new(),
            budgets: Vec::new(),
            plan: Plan::default(),
        }
    }

    /// Puts rules in force. The block table is handed in apart, since a large
    /// one is built beside look-ups; see [`BlockTable::apply`].
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
        self.set_plan(now, true);
    }

    /// Takes over what is now known of the other VMs.
    pub fn set_view(&mut self, now: Time, view: ClusterView) {
        self.view = view;
        self.places.retain(|place| place.in_use(now));
        self.share_links(now);
        self.set_plan(now, false);
    }

    /// The region of a failure domain.
    pub(crate) fn region_of(&self, domain: &str) -> Option<&RegionId> {
        let found = self
            .domains
            .binary_search_by(|(name, _)| name.as_str().cmp(domain));
        found.ok().map(|i| &self.domains[i].1)
    }

    /// The link between the own region and another.
    fn link_to(&self, region: &RegionId) -> Option<&Link> {
        let own = &self.home.region;
        let joins = |l: &&Link| (&l.a, &l.b) == (own, region) || (&l.a, &l.b) == (region, own);
        self.links.iter().find(joins)
    }

    /// The round trip between this VM and a failure domain.
    pub(crate) fn trip(&self, domain: &str) -> Duration {
        if domain == self.home.domain.as_str() {
            return self.config.peer_rtt;
        }
        match self.region_of(domain) {
            Some(region) if *region == self.home.region => self.config.domain_rtt,
            Some(region) => self
                .link_to(region)
                .map_or(self.config.fallback_rtt, |link| {
                    Duration::from_millis(u64::from(link.latency)) * 2
                }),
            None => self.config.fallback_rtt,
        }
    }

    /// The share of the own region's slots that other regions may not take, in
    /// percent; the lease holder enforces it.
    pub fn region_reserve(&self) -> u8 {
        let own = |region: &&Region| region.name == self.home.region;
        self.regions.iter().find(own).map_or(0, |r| r.reserve)
    }

    /// Splits each link evenly over the region's failure domains, and each part
    /// over the live entry VMs of the own one. Failure domains that are cut off
    /// from each other thus never count on each other's part.
    fn share_links(&mut self, now: Time) {
        let own = &self.home.region;
        let domains = self.domains.iter().filter(|(_, region)| region == own);
        let sharers = domains.count().max(1) * self.view.peers.len().max(1);
        let share = self.config.response_share / sharers as f64;
        for link in &self.links {
            let region = match (link.a == *own, link.b == *own) {
                (true, _) => &link.b,
                (_, true) => &link.a,
                _ => continue,
            };
            let found = self.budgets.binary_search_by(|b| b.region.cmp(region));
            let i = found.unwrap_or_else(|i| {
                let region = region.clone();
                let link = LinkBudget::new(now, self.config.link_burst);
                self.budgets.insert(i, Budget { region, link });
                i
            });
            self.budgets[i].link.set_share(now, link.mbit, share);
        }
        let kept = |budget: &Budget| {
            let links = self.links.iter();
            links
                .into_iter()
                .any(|l| l.a == budget.region || l.b == budget.region)
        };
        self.budgets.retain(kept);
    }

    /// Works out what look-ups need; `moved` says that distances may differ.
    ///
    /// The share of blocks that each failure domain keeps moves a step towards
    /// what its headroom asks for. Small steps keep clients' cached answers
    /// useful, and keep callers from rushing to a domain that frees up.
    fn set_plan(&mut self, now: Time, moved: bool) {
        let passed = now.since(self.viewed).as_secs_f64().min(1.0);
        self.viewed = now;
        let mut names: Vec<DomainId> = self.domains.iter().map(|d| d.0.clone()).collect();
        names.push(self.home.domain.clone());
        names.extend(self.view.domains.iter().map(|s| s.domain.clone()));
        names.sort_unstable();
        names.dedup();
        let mut plan = std::mem::take(&mut self.plan);
        if moved || !plan.has(&names) {
            plan.set_domains(names, |home, domain| self.distance(home, domain));
            plan.set_homes(&self.home.domain, self.blocks.domains());
        }
        let mut services: Vec<&ServiceId> = self.services.iter().map(|s| &s.name).collect();
        services.sort_unstable();
        let step = self.config.block_rate * passed;
        let services = services.into_iter();
        plan.set_view(&self.view, &self.home.domain, services, step, &self.config);
        self.plan = plan;
    }

    /// How far a failure domain is for the callers of another: the same one,
    /// its region, then by the round trip from here.
    fn distance(&self, home: &DomainId, domain: &DomainId) -> (bool, bool, Duration) {
        let same = self.region_of(home) == self.region_of(domain);
        let trip = if same {
            Duration::ZERO
        } else {
            self.trip(domain)
        };
        (home != domain, !same, trip)
    }

    /// The rule of a service.
    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(name));
        found.ok().map(|i| &self.services[i])
    }
}
