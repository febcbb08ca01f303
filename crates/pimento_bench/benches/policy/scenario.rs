//! Loads and faults.

use pimento_core::prelude::*;

/// How requests are given to targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The project's own cores.
    Pimento,
    /// A random target of the region.
    Random,
    /// The target of the region with the least reported load.
    Least,
    /// A fixed share of each target's slots for each entry VM of its domain.
    Static,
}

impl Policy {
    pub const ALL: [Self; 4] = [Self::Pimento, Self::Random, Self::Least, Self::Static];

    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Pimento => "pimento",
            Self::Random => "random",
            Self::Least => "least",
            Self::Static => "static",
        }
    }
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Reports of targets and headroom of VMs no longer arrive.
    ReportsStop,
    /// Targets report no load.
    ReportsLow,
    /// One target of each service takes ten times as long.
    SlowTarget,
    /// A failure domain fails with its VMs and targets.
    DomainFails,
    /// A region loses its links to the others.
    RegionCut,
    /// A third of the open connections to targets goes silent for good.
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

/// One run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Requests as a share of what the targets can answer.
    pub load: f64,
    /// Whether one region's callers send three times as much while faults last.
    pub rush: bool,
    pub faults: Vec<Fault>,
    /// The length of the run.
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

    pub fn with(mut self, faults: &[Fault]) -> Self {
        self.faults = faults.to_vec();
        self
    }

    pub fn rushed(mut self) -> Self {
        self.rush = true;
        self
    }

    pub fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    /// When faults and the rush begin, a third into the run.
    pub fn from(&self) -> Time {
        Time::from_micros(self.end.as_micros() / 3)
    }

    /// When faults and the rush are over.
    pub fn until(&self) -> Time {
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
