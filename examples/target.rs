//! Runs a stand-in target as a process of its own.
//!
//! ```sh
//! cargo run --example target -- --target t1 --service shifts \
//!     --entry 127.0.0.1:7101 --address 127.0.0.1:9001 --time-ms 5
//! ```
//!
//! It echoes requests and accepts `GET /counters`, `PUT /fault` (such
//! as `{"shed":{"percent":50}}`) and `PUT /drain`. See `docs/ops/load.md`.

use clap::{Parser, ValueEnum};
use pimento_standin::{ColdStart, Fault, ServiceTime, Standin, StandinConfig};
use pimentolanding::core::{ServiceId, TargetId};
use std::{net::SocketAddr, time::Duration};

/// A stand-in target.
#[derive(Debug, Parser)]
struct Args {
    /// The name that the target announces.
    #[arg(long)]
    target: TargetId,
    /// The service that it serves.
    #[arg(long)]
    service: ServiceId,
    /// The address that it listens on.
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
    /// The address of an entry VM's listener for targets, to announce to; may be
    /// repeated.
    #[arg(long)]
    entry: Vec<SocketAddr>,
    /// The number of requests that it runs at a time.
    #[arg(long, default_value_t = 4)]
    slots: u32,
    /// The maximum number of connections that it accepts.
    #[arg(long, default_value_t = 700)]
    connections: u32,
    /// The mean service time of a request, in milliseconds.
    #[arg(long, default_value_t = 5.0)]
    time_ms: f64,
    /// The distribution of service times.
    #[arg(long, value_enum, default_value_t = Shape::Fixed)]
    shape: Shape,
    /// The time from the start until its caches are warm, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
    /// The factor of the service time until the caches are warm.
    #[arg(long, default_value_t = 4.0)]
    cold_factor: f64,
    /// The simulated fault, in JSON.
    #[arg(long, value_parser = parse_fault, default_value = "\"none\"")]
    fault: Fault,
    /// The minimum size of a response, in bytes.
    #[arg(long, default_value_t = 0)]
    answer: usize,
    /// The number of threads that serve requests.
    #[arg(long, default_value_t = 1)]
    workers: usize,
    /// The seed of the random service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// The distribution of service times.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Shape {
    /// Always the mean.
    Fixed,
    /// Uniform between half of the mean and one and a half times the mean.
    Uniform,
    /// Exponential with this mean.
    Exponential,
}

fn parse_fault(text: &str) -> Result<Fault, serde_json::Error> {
    serde_json::from_str(text)
}

impl Args {
    fn service_time(&self) -> ServiceTime {
        let mean = Duration::from_secs_f64(self.time_ms / 1_000.0);
        match self.shape {
            Shape::Fixed => ServiceTime::Fixed(mean),
            Shape::Uniform => ServiceTime::Uniform(mean / 2, mean * 3 / 2),
            Shape::Exponential => ServiceTime::Exponential(mean),
        }
    }

    fn config(self) -> StandinConfig {
        let service_time = self.service_time();
        let cold_start = ColdStart {
            period: Duration::from_millis(self.cold_ms),
            factor: self.cold_factor,
        };
        StandinConfig {
            address: self.address,
            entries: self.entry,
            slots: self.slots,
            connections: self.connections,
            service_time,
            cold_start,
            fault: self.fault,
            min_answer: self.answer,
            workers: self.workers,
            seed: self.seed,
            ..StandinConfig::new(self.target, self.service)
        }
    }
}

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let standin = Standin::start(Args::parse().config())?;
    println!("listening on {}", standin.address());
    std::future::pending().await
}
