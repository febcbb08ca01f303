//! Command-line arguments of the load tool.

use clap::Args as ClapArgs;
use pimento_core::{Class, ParseClassError, ServiceId, TenantId};
use std::{
    net::{IpAddr, SocketAddr},
    num::{ParseFloatError, ParseIntError},
    str::FromStr,
    time::Duration,
};

/// The longest accepted `--seconds`.
const MAX_SECONDS: f64 = 3_600.0;

/// The highest accepted `--rate`, in requests per second.
const MAX_RATE: f64 = 100_000.0;

/// Sends requests at a fixed mean rate and checks the responses.
#[derive(Clone, Debug, ClapArgs)]
pub struct Args {
    /// Caller listeners of the entry VMs that lookups are sent to.
    #[arg(long, required_unless_present = "entries", value_delimiter = ',')]
    pub callers: Vec<SocketAddr>,
    /// Addresses that requests are sent to without a lookup, in order of
    /// preference.
    #[arg(long, conflicts_with = "callers", value_delimiter = ',')]
    pub entries: Vec<SocketAddr>,
    /// Services whose requests may run more than once; sent as GET.
    #[arg(long, value_delimiter = ',')]
    pub service: Vec<ServiceId>,
    /// Services whose requests must run at most once; sent as POST with an
    /// idempotency key.
    #[arg(long, value_delimiter = ',')]
    pub once: Vec<ServiceId>,
    /// Mean requests per second, over all services.
    #[arg(long, default_value_t = 100.0, value_parser = parse_rate)]
    pub rate: f64,
    /// How long new requests are started, in seconds.
    #[arg(long, default_value_t = 10.0, value_parser = parse_seconds)]
    pub seconds: f64,
    /// Timeout of each request, from its scheduled start, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    pub timeout_ms: u64,
    /// Maximum number of attempts per request.
    #[arg(long, default_value_t = 4)]
    pub attempts: u32,
    /// Tenant that the requests name.
    #[arg(long)]
    pub tenant: Option<TenantId>,
    /// Classes of the requests, as `NAME` or `NAME:WEIGHT`; by default the
    /// service decides.
    #[arg(long, value_delimiter = ',')]
    pub class: Vec<ClassShare>,
    /// One address in each simulated block of callers; each block has its own
    /// lookup cache.
    #[arg(long, value_delimiter = ',')]
    pub block: Vec<IpAddr>,
    /// Number of distinct resource paths per service.
    #[arg(long, default_value_t = 1_000)]
    pub resources: u32,
    /// Body size of requests to `--once` services, in bytes.
    #[arg(long, default_value_t = 64)]
    pub body: usize,
    /// Minimum size of a response body, in bytes.
    #[arg(long, default_value_t = 64)]
    pub answer: usize,
    /// Maximum number of requests in flight; further ones are dropped and
    /// counted.
    #[arg(long, default_value_t = 4_096)]
    pub limit: usize,
    /// Stand-in targets whose counters are checked for slot overruns and
    /// duplicate runs.
    #[arg(long, value_delimiter = ',')]
    pub targets: Vec<SocketAddr>,
    /// Number of lost or truncated responses to tolerate before the run fails.
    #[arg(long, default_value_t = 0)]
    pub lost: u64,
    /// Number of requests without any response to tolerate before the run
    /// fails.
    #[arg(long, default_value_t = 0)]
    pub unanswered: u64,
    /// Random seed of the schedule.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Whether to print the report as JSON; set from the program's output
    /// option.
    #[arg(skip)]
    pub json: bool,
}

impl Args {
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// A class and its relative share of the requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClassShare {
    /// The value of the requests' class header.
    pub class: Class,
    /// Weight relative to the other classes; never 0.
    pub weight: u32,
}

/// A class share that can't be parsed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ClassShareError {
    /// The part before the colon is not a class.
    #[error(transparent)]
    Class(#[from] ParseClassError),
    /// The part after the colon is not a number.
    #[error("invalid weight: {0}")]
    Weight(#[from] ParseIntError),
    /// The weight is 0, so the class would never be drawn.
    #[error("weight must not be 0")]
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

/// A number that can't be parsed or is out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
enum RangeError {
    #[error(transparent)]
    Number(#[from] ParseFloatError),
    #[error("must be greater than 0 and at most {0}")]
    Range(f64),
}

fn parse_rate(text: &str) -> Result<f64, RangeError> {
    parse_positive_up_to(text, MAX_RATE)
}

fn parse_seconds(text: &str) -> Result<f64, RangeError> {
    parse_positive_up_to(text, MAX_SECONDS)
}

fn parse_positive_up_to(text: &str, max: f64) -> Result<f64, RangeError> {
    let value = text.parse()?;
    if value > 0.0 && value <= max {
        Ok(value)
    } else {
        Err(RangeError::Range(max))
    }
}
