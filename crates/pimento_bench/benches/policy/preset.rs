//! Presets: the sizes of the two companies that the policies are measured for.

use pimento_core::prelude::*;
use pimento_rules::{Block, Domain, Link, Queue, Region, Retry, Rules, Service};

/// Failure domains per region.
pub const DOMAINS: usize = 2;
/// Entry VMs per failure domain.
pub const VMS: usize = 3;
/// Number of regions.
pub const REGIONS: usize = 3;
/// Targets per service and failure domain.
pub const TARGETS: usize = 2;
/// Client address blocks per failure domain.
pub const BLOCKS: usize = 60;

/// Rule and cost of one service.
#[derive(Clone, Debug)]
pub struct ServiceProfile {
    pub rule: Service,
    /// Mean service time of a request at a target with warm caches.
    pub mean_time: Duration,
    /// Mean size of an answer, in bytes.
    pub mean_bytes: u64,
}

/// Services, targets and network of one company.
#[derive(Clone, Debug)]
pub struct Preset {
    pub name: &'static str,
    /// One-way latency between regions, in milliseconds.
    pub region_latency: u32,
    /// One-way latency between a caller and an entry VM.
    pub caller_latency: Duration,
    /// Capacity of each link between regions, in megabits per second.
    pub mbit: u32,
    pub profiles: Vec<ServiceProfile>,
    /// Slots per target; the targets of a service cycle through this list.
    pub slots: &'static [u32],
    pub connections: u32,
}

fn profile(name: &str, repeatable: bool, millis: u64, mean_bytes: u64) -> ServiceProfile {
    ServiceProfile {
        rule: Service {
            name: ServiceId::new(name).expect("a valid name"),
            repeatable,
            class: Class::Critical,
            tenants: Vec::new(),
            timeout: 2_000,
            ttl: 2_000,
            body: 1 << 20,
            queue: Queue::default(),
            retry: Retry {
                hedge: Some(4 * millis as u32 + 100),
                ..Retry::default()
            },
            cap: None,
        },
        mean_time: Duration::from_millis(millis),
        mean_bytes,
    }
}

impl Preset {
    /// Kitahoro: links of 4 Gbit/s, three to six slots.
    pub fn kitahoro() -> Self {
        Self {
            name: "kitahoro",
            region_latency: 12,
            caller_latency: Duration::from_millis(1),
            mbit: 4_000,
            profiles: vec![
                profile("shifts", true, 30, 20_000),
                profile("sign-ups", false, 50, 2_000),
                profile("advances", false, 60, 2_000),
                profile("archive", true, 150, 200_000),
            ],
            slots: &[3, 4, 5, 6],
            connections: 700,
        }
    }

    /// Armor: thin links of 280 Mbit/s, three slots.
    pub fn armor() -> Self {
        Self {
            name: "armor",
            region_latency: 20,
            caller_latency: Duration::from_millis(3),
            mbit: 280,
            profiles: vec![
                profile("places", true, 30, 10_000),
                profile("attendance", false, 40, 2_000),
                profile("ledger", false, 60, 2_000),
                profile("reports", true, 200, 500_000),
            ],
            slots: &[3],
            connections: 650,
        }
    }

    /// Returns the slots of the `n`th target of a service.
    pub fn slots_of(&self, n: usize) -> u32 {
        self.slots[n % self.slots.len()]
    }

    /// Returns the capacity of each service's targets, in requests per second.
    pub fn service_rates(&self) -> Vec<f64> {
        let targets = TARGETS * DOMAINS * REGIONS;
        let slots: u32 = (0..targets).map(|n| self.slots_of(n)).sum();
        let rate = |profile: &ServiceProfile| f64::from(slots) / profile.mean_time.as_secs_f64();
        self.profiles.iter().map(rate).collect()
    }

    /// Returns the rules for steering.
    pub fn rules(&self) -> Rules {
        let mut rules = Rules {
            version: 1,
            services: self
                .profiles
                .iter()
                .map(|profile| profile.rule.clone())
                .collect(),
            ..Rules::default()
        };
        rules.services.sort_by(|a, b| a.name.cmp(&b.name));
        let mut blocks = Vec::new();
        for region in 0..REGIONS {
            rules.regions.push(Region {
                name: region_id(region),
                reserve: 20,
            });
            for other in region + 1..REGIONS {
                rules.links.push(Link {
                    a: region_id(region),
                    b: region_id(other),
                    mbit: self.mbit,
                    latency: self.region_latency,
                });
            }
        }
        for domain in 0..REGIONS * DOMAINS {
            rules.domains.push(Domain {
                name: domain_id(domain),
                region: region_id(domain / DOMAINS),
            });
            for block in 0..BLOCKS {
                let net = format!("10.{domain}.{block}.0/24");
                blocks.push(Block {
                    net: net.parse().expect("a valid net"),
                    domain: domain_id(domain),
                });
            }
        }
        rules.blocks = blocks.into();
        rules
    }
}

pub fn region_id(n: usize) -> RegionId {
    RegionId::new(format!("r{n}")).expect("a valid name")
}

pub fn domain_id(n: usize) -> DomainId {
    DomainId::new(format!("d{n}")).expect("a valid name")
}

pub fn vm_id(n: usize) -> VmId {
    VmId::new(format!("vm{n:02}")).expect("a valid name")
}

pub fn target_id(n: usize) -> TargetId {
    TargetId::new(format!("t{n:02}")).expect("a valid name")
}

/// Returns the number in the name of a VM, domain or target.
pub fn number(name: &str) -> usize {
    let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
    digits.parse().expect("a numbered name")
}
