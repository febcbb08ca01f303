//! OpenTelemetry metrics, exported in the Prometheus text format.

use anyhow::Context;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Upper bounds of the buckets of latency histograms.
pub const LATENCY_BUCKETS_SECS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Collects the metrics of one process and renders them as text.
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter without instruments.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be built.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context("the metrics exporter can't be built")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// The meter that creates the instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("pimento")
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be rendered.
    pub fn render(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
