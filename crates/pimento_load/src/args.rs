//! The arguments of the load tool.

use clap::Args as ClapArgs;
use pimento_core::{Class, ParseClassError, ServiceId, TenantId};
use std::{
    net::{IpAddr, SocketAddr},
    num::{ParseFloatError, ParseIntError},
    str::FromStr,
    time::Duration,
};

/// The longest run, in seconds.
const MAX_SECONDS: f64 = 3_600.0;

/// The highest rate, in requests a second.
const MAX_RATE: f64 = 100_000.0;

/// Sends requests at a fixed rate and checks the answers.
#[derive(Clone, Debug, ClapArgs)]
pub struct Args {
    /// Callers' listeners of entry VMs to ask for look-ups.
    #[arg(long, required_unless_present = "entries", value_delimiter = ',')]
    pub callers: Vec<SocketAddr>,
    /// Listeners to send all requests to, in the order of preference, without
    /// look-ups.
    #[arg(long, conflicts_with = "callers", value_delimiter = ',')]
    pub entries: Vec<SocketAddr>,
    /// Services whose requests may be repeated.
    #[arg(long, value_delimiter = ',')]
    pub service: Vec<ServiceId>,
    /// Services whose requests may not be repeated; each request has a key.
    #[arg(long, value_delimiter = ',')]
    pub once: Vec<ServiceId>,
    /// Requests a second, over all services.
    #[arg(long, default_value_t = 100.0, value_parser = parse_rate)]
    pub rate: f64,
    /// How long requests are sent, in seconds.
    #[arg(long, default_value_t = 10.0, value_parser = parse_seconds)]
    pub seconds: f64,
    /// The deadline of each request after its intended start, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    pub timeout_ms: u64,
    /// The most times that a request is sent.
    #[arg(long, default_value_t = 4)]
    pub attempts: u32,
    /// The tenant of the requests.
    #[arg(long)]
    pub tenant: Option<TenantId>,
    /// Classes of the requests, as `NAME` or `NAME:WEIGHT`; none leaves the
    /// class to the service.
    #[arg(long, value_delimiter = ',')]
    pub class: Vec<ClassShare>,
    /// Addresses inside the blocks that requests come from; each has a look-up
    /// cache of its own.
    #[arg(long, value_delimiter = ',')]
    pub block: Vec<IpAddr>,
    /// Paths of each service that requests are spread over.
    #[arg(long, default_value_t = 1_000)]
    pub resources: u32,
    /// The bytes of the body of a request that may not be repeated.
    #[arg(long, default_value_t = 64)]
    pub body: usize,
    /// The least bytes of an answer.
    #[arg(long, default_value_t = 64)]
    pub answer: usize,
    /// The most requests in flight; later ones are dropped and counted.
    #[arg(long, default_value_t = 4_096)]
    pub limit: usize,
    /// Stand-in targets to ask for overruns and repeated keys.
    #[arg(long, value_delimiter = ',')]
    pub targets: Vec<SocketAddr>,
    /// The answers that may be lost or cut short before the run counts as
    /// failed.
    #[arg(long, default_value_t = 0)]
    pub lost: u64,
    /// The requests that may stay without any answer before the run counts as
    /// failed.
    #[arg(long, default_value_t = 0)]
    pub unanswered: u64,
    /// The seed of the schedule.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Whether the report is printed as JSON; set by the program.
    #[arg(skip)]
    pub json: bool,
}

impl Args {
    /// The time that a request may take.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// A class and its share of the requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClassShare {
    /// The class that the requests ask for.
    pub class: Class,
    /// The share, relative to the other classes' weights.
    pub weight: u32,
}

/// The text is no class with a weight.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ClassShareError {
    /// The part before the colon.
    #[error(transparent)]
    Class(#[from] ParseClassError),
    /// The part after the colon.
    #[error("bad weight: {0}")]
    Weight(#[from] ParseIntError),
    /// A class without weight is never drawn.
    #[error("a weight may not be 0")]
    ZeroWeight,
}

impl FromStr for ClassShare {
    type Err = ClassShareError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (class, weight) = s.split_once(':').unwrap_or((s, "1"));
        let class = class.parse()?;
        match weight.parse()? {
            0 => Err(ClassShareError::ZeroWeight),
            weight => Ok(Self { class, weight }),
        }
    }
}

/// The text is no number within its bounds.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
enum BoundError {
    #[error(transparent)]
    Number(#[from] ParseFloatError),
    #[error("must be above 0 and at most {0}")]
    Range(f64),
}

fn parse_rate(text: &str) -> Result<f64, BoundError> {
    parse_bounded(text, MAX_RATE)
}

fn parse_seconds(text: &str) -> Result<f64, BoundError> {
    parse_bounded(text, MAX_SECONDS)
}

fn parse_bounded(text: &str, max: f64) -> Result<f64, BoundError> {
    let value = text.parse()?;
    if value > 0.0 && value <= max {
        Ok(value)
    } else {
        Err(BoundError::Range(max))
    }
}
