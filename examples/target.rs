//! Runs a stand-in target as a process of its own.
//!
//! ```sh
//! cargo run --example target -- --target t1 --service shifts \
//!     --entry 127.0.0.1:7101 --address 127.0.0.1:9001 --time-ms 5
//! ```
//!
//! Its listener echoes requests and takes `GET /counters`, `PUT /fault` (such
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
    /// A targets' listener of an entry VM to announce to; repeat for more.
    #[arg(long)]
    entry: Vec<SocketAddr>,
    /// The requests that it runs at a time.
    #[arg(long, default_value_t = 4)]
    slots: u32,
    /// The connections that it takes.
    #[arg(long, default_value_t = 700)]
    connections: u32,
    /// The mean time that a request runs, in milliseconds.
    #[arg(long, default_value_t = 5.0)]
    time_ms: f64,
    /// The distribution of that time.
    #[arg(long, value_enum, default_value_t = Shape::Fixed)]
    shape: Shape,
    /// The time until its caches are warm, in milliseconds.
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
    /// What the service time is multiplied by until then.
    #[arg(long, default_value_t = 4.0)]
    cold_factor: f64,
    /// How it misbehaves, in JSON.
    #[arg(long, value_parser = parse_fault, default_value = "\"none\"")]
    fault: Fault,
    /// The least bytes of an answer.
    #[arg(long, default_value_t = 0)]
    answer: usize,
    /// The threads that serve requests.
    #[arg(long, default_value_t = 1)]
    workers: usize,
    /// The seed of service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// The distribution of service times.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Shape {
    /// The mean, always.
    Fixed,
    /// Between half of the mean and one and a half.
    Uniform,
    /// Exponential around the mean.
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
