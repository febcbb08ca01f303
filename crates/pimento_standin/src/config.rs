//! What a stand-in target is told at its start.

use crate::Fault;
use pimento_core::{ServiceId, TargetId};
use rand::Rng;
use std::{net::SocketAddr, time::Duration};

/// The distribution of the time that a request runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// Each request takes the same time.
    Fixed(Duration),
    /// Each time between the two is as likely.
    Uniform(Duration, Duration),
    /// Times are exponentially distributed around the mean.
    Exponential(Duration),
}

impl ServiceTime {
    /// The longest time drawn, as a multiple of an exponential mean; it keeps
    /// tests bounded.
    const MAX_MEANS: f64 = 10.0;

    /// Draws the time of one request.
    pub fn draw(self, rng: &mut impl Rng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Uniform(low, high) => low + high.saturating_sub(low).mul_f64(rng.random()),
            Self::Exponential(mean) => {
                let uniform: f64 = rng.random();
                let means = -(1.0 - uniform).ln();
                mean.mul_f64(means.min(Self::MAX_MEANS))
            }
        }
    }
}

/// How a target behaves until its caches are warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// The time from the start until the target is warm.
    pub period: Duration,
    /// What the service time is multiplied by until then.
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

/// The settings of a [`Standin`](crate::Standin).
#[derive(Clone, Debug)]
pub struct StandinConfig {
    /// The name that it announces.
    pub target: TargetId,
    /// The service that it serves.
    pub service: ServiceId,
    /// The address that it listens on; port 0 takes any free port.
    pub address: SocketAddr,
    /// The targets' listeners of entry VMs to announce to; empty announces
    /// nothing.
    pub entries: Vec<SocketAddr>,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// The connections that it takes.
    pub connections: u32,
    /// How long requests run.
    pub service_time: ServiceTime,
    /// How it starts.
    pub cold_start: ColdStart,
    /// How it misbehaves at first.
    pub fault: Fault,
    /// The least bytes of an answer.
    pub min_answer: usize,
    /// The threads that serve requests.
    pub workers: usize,
    /// The seed of service times.
    pub seed: u64,
}

impl StandinConfig {
    /// A target with 4 slots, 700 connections and 5 ms of service time on a
    /// free loopback port.
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
