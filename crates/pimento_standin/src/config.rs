//! The configuration of a stand-in target.

use crate::Fault;
use pimento_core::{ServiceId, TargetId};
use rand::Rng;
use std::{net::SocketAddr, time::Duration};

/// The distribution of service times, which is how long requests run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// Every request takes the same time.
    Fixed(Duration),
    /// Times are uniformly distributed between the two.
    Uniform(Duration, Duration),
    /// Times are exponentially distributed with this mean.
    Exponential(Duration),
}

impl ServiceTime {
    /// Upper bound of exponential times, as a multiple of the mean, so that
    /// tests end in bounded time.
    const MAX_MEAN_MULTIPLE: f64 = 10.0;

    /// Draws the service time of one request.
    pub fn draw(self, rng: &mut impl Rng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Uniform(low, high) => low + high.saturating_sub(low).mul_f64(rng.random()),
            Self::Exponential(mean) => {
                let uniform: f64 = rng.random();
                let multiple = -(1.0 - uniform).ln();
                mean.mul_f64(multiple.min(Self::MAX_MEAN_MULTIPLE))
            }
        }
    }
}

/// The slow phase of a target until its caches are warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long the target is cold after its start.
    pub period: Duration,
    /// Factor on the service times of a cold target.
    pub factor: f64,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            period: Duration::ZERO,
            factor: 4.0,
        }
    }
}

/// The configuration of a [`Standin`](crate::Standin).
#[derive(Clone, Debug)]
pub struct StandinConfig {
    /// Name to announce.
    pub target: TargetId,
    /// Service to announce.
    pub service: ServiceId,
    /// Address to listen on; port 0 takes any free port.
    pub address: SocketAddr,
    /// Target listeners of the entry VMs to announce to; if empty, the target
    /// doesn't announce itself.
    pub entries: Vec<SocketAddr>,
    /// Slots to announce: requests that it can run concurrently. Runs beyond
    /// these are counted as overruns, not refused.
    pub slots: u32,
    /// Connection limit to announce. Connections beyond it are counted, not
    /// refused.
    pub connections: u32,
    /// Distribution of the time that requests run.
    pub service_time: ServiceTime,
    /// How long the target is cold after its start, and how slow it is then.
    pub cold_start: ColdStart,
    /// The fault at the start; [`Standin::set_fault`](crate::Standin::set_fault)
    /// changes it.
    pub fault: Fault,
    /// Default minimum size of response bodies, in bytes.
    pub min_answer: usize,
    /// Number of threads that serve requests.
    pub workers: usize,
    /// Random seed of service times, shed requests and announcement timing.
    pub seed: u64,
}

impl StandinConfig {
    /// A target with 4 slots, a limit of 700 connections and a fixed service
    /// time of 5 ms, on a free loopback port.
    pub fn new(target: TargetId, service: ServiceId) -> Self {
        Self {
            target,
            service,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            entries: Vec::new(),
            slots: 4,
            connections: 700,
            service_time: ServiceTime::Fixed(Duration::from_millis(5)),
            cold_start: ColdStart::default(),
            fault: Fault::None,
            min_answer: 0,
            workers: 1,
            seed: 1,
        }
    }
}
