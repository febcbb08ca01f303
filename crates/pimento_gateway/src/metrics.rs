//! Metrics about requests.

use crate::{GatewayResponse, attempt::Outcome};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};
use pimento_metrics::{Exporter, LATENCY_BUCKETS_SECS};
use pimento_notices::RetryAfter;
use std::time::Duration;

/// The metrics of a gateway.
///
/// Label values come from the items in force (services) or from closed sets
/// (statuses, reasons, outcomes), so callers can't increase their number.
#[derive(Debug)]
pub(crate) struct Metrics {
    exporter: Exporter,
    duration: Histogram<f64>,
    permit_wait: Histogram<f64>,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    pauses: Counter<u64>,
    cut_requests: Counter<u64>,
    dropped_lines: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let exporter = Exporter::new()?;
        let meter = exporter.meter();
        let histogram = |name: &'static str, description: &'static str| {
            let builder = meter.f64_histogram(name).with_unit("s");
            let builder = builder.with_description(description);
            builder
                .with_boundaries(LATENCY_BUCKETS_SECS.to_vec())
                .build()
        };
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Ok(Self {
            duration: histogram(
                "pimento_request_duration",
                "Time from a request's head to its answer's head",
            ),
            permit_wait: histogram(
                "pimento_place_wait",
                "Time until places were granted or refused",
            ),
            requests: counter("pimento_requests", "Requests by status and reason"),
            attempts: counter("pimento_attempts", "Requests sent to targets by outcome"),
            pauses: counter("pimento_pauses", "Pauses that targets asked for, by kind"),
            cut_requests: counter(
                "pimento_requests_cut",
                "Requests without an answer when the process exited",
            ),
            dropped_lines: counter("pimento_log_dropped", "Log lines that were not written"),
            exporter,
        })
    }

    pub(crate) fn record_request(
        &self,
        service: Option<&str>,
        response: &GatewayResponse,
        duration: Duration,
        permit_wait: Duration,
    ) {
        let service = KeyValue::new("service", service.unwrap_or_default().to_owned());
        let labels = std::slice::from_ref(&service);
        self.duration.record(duration.as_secs_f64(), labels);
        self.permit_wait.record(permit_wait.as_secs_f64(), labels);
        let status = KeyValue::new("status", i64::from(response.status().as_u16()));
        let reason = KeyValue::new("reason", response.reason());
        self.requests.add(1, &[service, status, reason]);
    }

    pub(crate) fn record_attempt(&self, service: &str, outcome: &Outcome) {
        let service = KeyValue::new("service", service.to_owned());
        let outcome = KeyValue::new("outcome", outcome.name());
        self.attempts.add(1, &[service, outcome]);
    }

    pub(crate) fn record_pause(&self, service: &str, retry_after: RetryAfter) {
        let service = KeyValue::new("service", service.to_owned());
        let kind = KeyValue::new("kind", retry_after.name());
        self.pauses.add(1, &[service, kind]);
    }

    pub(crate) fn record_cut_requests(&self, requests: u64) {
        self.cut_requests.add(requests, &[]);
    }

    pub(crate) fn record_dropped_lines(&self, lines: u64) {
        if lines > 0 {
            self.dropped_lines.add(lines, &[]);
        }
    }

    pub(crate) fn render(&self) -> anyhow::Result<Vec<u8>> {
        self.exporter.render()
    }
}
