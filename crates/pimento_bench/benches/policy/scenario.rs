//! Policies, and the scenarios that they run in: load and injected faults.

use pimento_core::prelude::*;

/// How requests are assigned to targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The project's own admission and steering.
    Pimento,
    /// A random target of the region.
    Random,
    /// The target of the region with the least reported load per slot.
    LeastLoaded,
    /// Admission where each entry VM of a domain has a fixed share of the slots of
    /// the domain's targets.
    Static,
}

impl Policy {
    pub const ALL: [Self; 4] = [Self::Pimento, Self::Random, Self::LeastLoaded, Self::Static];

    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Pimento => "pimento",
            Self::Random => "random",
            Self::LeastLoaded => "least",
            Self::Static => "static",
        }
    }
}

/// A fault that is injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Load reports of targets and headroom of VMs no longer arrive.
    ReportsStop,
    /// Targets report a load of zero.
    ReportsLow,
    /// One target of each service is ten times as slow.
    SlowTarget,
    /// A failure domain fails with its VMs and targets.
    DomainFails,
    /// A region loses its links to the others.
    RegionCut,
    /// A third of the open connections to targets silently drop all data for the
    /// rest of the run.
    Silent,
    /// One target of each service in each region drains.
    Drain,
    /// Half of the targets restart at once, with cold caches.
    ColdRestart,
}

impl Fault {
    pub const ALL: [Self; 8] = [
        Self::ReportsStop,
        Self::ReportsLow,
        Self::SlowTarget,
        Self::DomainFails,
        Self::RegionCut,
        Self::Silent,
        Self::Drain,
        Self::ColdRestart,
    ];

    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ReportsStop => "reports-stop",
            Self::ReportsLow => "reports-low",
            Self::SlowTarget => "slow-target",
            Self::DomainFails => "domain-fails",
            Self::RegionCut => "region-cut",
            Self::Silent => "silent",
            Self::Drain => "drain",
            Self::ColdRestart => "cold-restart",
        }
    }
}

/// The conditions of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Offered load as a share of the targets' capacity.
    pub load: f64,
    /// Whether the callers of one region send three times as much during the fault
    /// period.
    pub rush: bool,
    pub faults: Vec<Fault>,
    /// The end of the run.
    pub end: Time,
    pub seed: u64,
}

impl Scenario {
    pub fn new(load: f64, end: u64) -> Self {
        Self {
            load,
            rush: false,
            faults: Vec::new(),
            end: Time::from_millis(end * 1_000),
            seed: 1,
        }
    }

    pub fn with_faults(mut self, faults: &[Fault]) -> Self {
        self.faults = faults.to_vec();
        self
    }

    pub fn with_rush(mut self) -> Self {
        self.rush = true;
        self
    }

    pub fn has_fault(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// Start of the fault period (and of the rush), after a third of the run.
    pub fn faults_start(&self) -> Time {
        Time::from_micros(self.end.as_micros() / 3)
    }

    /// End of the fault period (and of the rush), after two thirds of the run.
    pub fn faults_end(&self) -> Time {
        Time::from_micros(self.end.as_micros() / 3 * 2)
    }

    pub fn name(&self) -> String {
        let mut name = if self.rush {
            "rush".to_owned()
        } else {
            format!("{:.0}%", self.load * 100.0)
        };
        for fault in &self.faults {
            name += "+";
            name += fault.as_str();
        }
        name
    }
}
