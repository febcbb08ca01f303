//! The sizes of the two firms that the policies are measured at.

use pimento_core::prelude::*;
use pimento_rules::{Block, Domain, Link, Queue, Region, Retry, Rules, Service};

/// Failure domains of each region.
pub const DOMAINS: usize = 2;
/// Entry VMs of each failure domain.
pub const VMS: usize = 3;
/// Regions.
pub const REGIONS: usize = 3;
/// Targets of each service in each failure domain.
pub const TARGETS: usize = 2;
/// Client blocks of each failure domain.
pub const BLOCKS: usize = 60;

/// A service as the fake targets run it.
#[derive(Clone, Debug)]
pub struct Kind {
    pub rule: Service,
    /// The mean time of a request at a warm target.
    pub time: Duration,
    /// The mean size of an answer, in bytes.
    pub bytes: u64,
}

/// One firm.
#[derive(Clone, Debug)]
pub struct Preset {
    pub name: &'static str,
    /// One-way latency between regions, in milliseconds.
    pub far: u32,
    /// One-way latency between a caller and an entry VM.
    pub client: Duration,
    /// Capacity of each link between regions, in megabits a second.
    pub mbit: u32,
    pub kinds: Vec<Kind>,
    /// Slots of a service's targets, in turn.
    pub slots: &'static [u32],
    pub connections: u32,
}

fn kind(name: &str, repeatable: bool, millis: u64, bytes: u64) -> Kind {
    Kind {
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
        time: Duration::from_millis(millis),
        bytes,
    }
}

impl Preset {
    /// Kitahoro: links of 4 Gbit/s, three to six slots.
    pub fn kitahoro() -> Self {
        Self {
            name: "kitahoro",
            far: 12,
            client: Duration::from_millis(1),
            mbit: 4_000,
            kinds: vec![
                kind("shifts", true, 30, 20_000),
                kind("sign-ups", false, 50, 2_000),
                kind("advances", false, 60, 2_000),
                kind("archive", true, 150, 200_000),
            ],
            slots: &[3, 4, 5, 6],
            connections: 700,
        }
    }

    /// Armor: thin links of 280 Mbit/s, three slots.
    pub fn armor() -> Self {
        Self {
            name: "armor",
            far: 20,
            client: Duration::from_millis(3),
            mbit: 280,
            kinds: vec![
                kind("places", true, 30, 10_000),
                kind("attendance", false, 40, 2_000),
                kind("ledger", false, 60, 2_000),
                kind("reports", true, 200, 500_000),
            ],
            slots: &[3],
            connections: 650,
        }
    }

    /// The slots of a target of a service.
    pub fn slots_of(&self, n: usize) -> u32 {
        self.slots[n % self.slots.len()]
    }

    /// The requests a second that each service's targets can answer.
    pub fn rates(&self) -> Vec<f64> {
        let targets = TARGETS * DOMAINS * REGIONS;
        let slots: u32 = (0..targets).map(|n| self.slots_of(n)).sum();
        let rate = |kind: &Kind| f64::from(slots) / kind.time.as_secs_f64();
        self.kinds.iter().map(rate).collect()
    }

    /// The rules that steering follows.
    pub fn rules(&self) -> Rules {
        let mut rules = Rules {
            version: 1,
            services: self.kinds.iter().map(|kind| kind.rule.clone()).collect(),
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
                    latency: self.far,
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

/// The number in the name of a VM, domain or target.
pub fn number(name: &str) -> usize {
    let digits = name.trim_start_matches(|c: char| !c.is_ascii_digit());
    digits.parse().expect("a numbered name")
}
