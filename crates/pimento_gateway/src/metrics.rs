//! What is counted and measured of requests.

use crate::{Answer, attempt::Outcome};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};
use pimento_metrics::{BUCKETS, Exporter};
use std::time::Duration;

/// The instruments of a gateway.
///
/// Labels come from the items in force (services) or closed sets (statuses,
/// reasons, outcomes), so callers can't grow them.
#[derive(Debug)]
pub(crate) struct Metrics {
    exporter: Exporter,
    duration: Histogram<f64>,
    waited: Histogram<f64>,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    dropped: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        let histogram = |name: &'static str, text: &'static str| {
            let builder = meter.f64_histogram(name).with_unit("s");
            let builder = builder.with_description(text);
            builder.with_boundaries(BUCKETS.to_vec()).build()
        };
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Ok(Self {
            duration: histogram(
                "pimento_request_duration",
                "Time from a request's head to its answer's head",
            ),
            waited: histogram(
                "pimento_place_wait",
                "Time until places were granted or refused",
            ),
            requests: counter("pimento_requests", "Requests by status and reason"),
            attempts: counter("pimento_attempts", "Requests sent to targets by outcome"),
            dropped: counter("pimento_log_dropped", "Log lines that were not written"),
            exporter,
        })
    }

    pub(crate) fn request(
        &self,
        service: Option<&str>,
        answer: &Answer,
        took: Duration,
        waited: Duration,
    ) {
        let service = KeyValue::new("service", service.unwrap_or_default().to_owned());
        let own = std::slice::from_ref(&service);
        self.duration.record(took.as_secs_f64(), own);
        self.waited.record(waited.as_secs_f64(), own);
        let status = KeyValue::new("status", i64::from(answer.status().as_u16()));
        let reason = KeyValue::new("reason", answer.reason());
        self.requests.add(1, &[service, status, reason]);
    }

    pub(crate) fn attempt(&self, service: &str, outcome: &Outcome) {
        let service = KeyValue::new("service", service.to_owned());
        let outcome = KeyValue::new("outcome", outcome.name());
        self.attempts.add(1, &[service, outcome]);
    }

    pub(crate) fn dropped(&self, lines: u64) {
        if lines > 0 {
            self.dropped.add(lines, &[]);
        }
    }

    pub(crate) fn render(&self) -> anyhow::Result<Vec<u8>> {
        self.exporter.render()
    }
}
