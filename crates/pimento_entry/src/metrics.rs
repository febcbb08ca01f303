//! OpenTelemetry metrics in the Prometheus text format.

use crate::inbound::Inbound;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};
use pimento_core::{ServiceId, Verdict};
use pimento_metrics::{Exporter, LATENCY_BUCKETS_SECS};
use pimento_notices::RetryAfter;
use std::time::Duration;

/// The metric instruments of a process.
///
/// Labels come from the rules in force (services, tenants) or from closed sets
/// (classes, verdicts), so that callers can't inflate their number.
#[derive(Debug)]
pub(crate) struct Metrics {
    exporter: Exporter,
    duration: Histogram<f64>,
    failures: Counter<u64>,
    pauses: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        let duration = meter
            .f64_histogram("pimento_request_duration")
            .with_unit("s")
            .with_description("Time from a request's head to its answer's head")
            .with_boundaries(LATENCY_BUCKETS_SECS.to_vec())
            .build();
        let failures = meter
            .u64_counter("pimento_request_failures")
            .with_description("Failed requests by verdict")
            .build();
        let pauses = meter
            .u64_counter("pimento_pauses")
            .with_description("Pauses that targets asked for, by kind")
            .build();
        Ok(Self {
            exporter,
            duration,
            failures,
            pauses,
        })
    }

    /// Records a finished request; `verdict` is set for failures.
    pub(crate) fn record_request(
        &self,
        inbound: &Inbound,
        latency: Duration,
        verdict: Option<Verdict>,
    ) {
        let labels = [
            KeyValue::new("service", inbound.service.name.to_string()),
            KeyValue::new("tenant", inbound.tenant.to_string()),
            KeyValue::new("class", inbound.class.as_str()),
        ];
        self.duration.record(latency.as_secs_f64(), &labels);
        if let Some(verdict) = verdict {
            let [service, tenant, class] = labels;
            let verdict = KeyValue::new("verdict", verdict.as_str());
            self.failures.add(1, &[service, tenant, class, verdict]);
        }
    }

    /// Records that a target asked for a pause.
    pub(crate) fn record_pause(&self, service: &ServiceId, retry_after: RetryAfter) {
        let service = KeyValue::new("service", service.to_string());
        let kind = KeyValue::new("kind", retry_after.name());
        self.pauses.add(1, &[service, kind]);
    }

    /// Renders all metrics as text.
    pub(crate) fn render(&self) -> anyhow::Result<Vec<u8>> {
        self.exporter.render()
    }
}
