//! Metrics by OpenTelemetry, in Prometheus' text format.

use crate::inbound::Inbound;
use anyhow::Context;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use pimento_core::Verdict;
use prometheus::{Encoder, Registry, TextEncoder};
use std::time::Duration;

/// Upper bounds of the latency histogram's buckets, in seconds.
const BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// The instruments of one process.
///
/// Labels come from the rules in force (services, tenants) or closed sets
/// (classes, verdicts), so callers can't grow them.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    duration: Histogram<f64>,
    failures: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context("the metrics exporter can't be built")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("pimento");
        let duration = meter
            .f64_histogram("pimento_request_duration")
            .with_unit("s")
            .with_description("Time from a request's head to its answer's head")
            .with_boundaries(BUCKETS.to_vec())
            .build();
        let failures = meter
            .u64_counter("pimento_request_failures")
            .with_description("Failed requests by verdict")
            .build();
        Ok(Self {
            registry,
            _provider: provider,
            duration,
            failures,
        })
    }

    /// Records the end of a request; `verdict` is given for failures.
    pub(crate) fn request(&self, inbound: &Inbound, took: Duration, verdict: Option<Verdict>) {
        let labels = [
            KeyValue::new("service", inbound.service.name.to_string()),
            KeyValue::new("tenant", inbound.tenant.to_string()),
            KeyValue::new("class", inbound.class.as_str()),
        ];
        self.duration.record(took.as_secs_f64(), &labels);
        if let Some(verdict) = verdict {
            let [service, tenant, class] = labels;
            let verdict = KeyValue::new("verdict", verdict.as_str());
            self.failures.add(1, &[service, tenant, class, verdict]);
        }
    }

    /// Writes all metrics as text.
    pub(crate) fn render(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
