//! Crash reports that are sent until all their receivers acknowledge them.

use crate::message::{Body, CrashReport, CrashedRequest};
use pimento_core::Time;
use pimento_poison::Fingerprint;
use std::{net::SocketAddr, time::Duration};

/// The time after which an unacknowledged report is sent again; each repetition
/// doubles it.
const INITIAL_RESEND_DELAY: Duration = Duration::from_millis(150);
/// Upper bound of the time between two repetitions, for receivers that are down or
/// cut off.
const MAX_RESEND_DELAY: Duration = Duration::from_secs(2);
/// How long a report is kept, for receivers that come back or restart.
const REPORT_TTL: Duration = Duration::from_mins(10);
/// The maximum number of reports that are kept; the oldest is dropped first.
const MAX_REPORTS: usize = 64;

#[derive(Clone, Debug)]
struct Report {
    id: u64,
    incarnation: u64,
    requests: Vec<Fingerprint>,
    crashed_at: Time,
    resend_at: Time,
    resend_delay: Duration,
    /// The receivers that have not acknowledged.
    receivers: Vec<SocketAddr>,
}

/// The crash reports of this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashReports {
    /// Oldest first.
    reports: Vec<Report>,
    last_id: u64,
}

impl CrashReports {
    /// Sends a report with the next call of [`Self::take_due`].
    pub(crate) fn start(
        &mut self,
        now: Time,
        incarnation: u64,
        requests: &[Fingerprint],
        crashed_at: Time,
        receivers: Vec<SocketAddr>,
    ) {
        self.last_id += 1;
        if self.reports.len() >= MAX_REPORTS {
            self.reports.remove(0);
        }
        self.reports.push(Report {
            id: self.last_id,
            incarnation,
            requests: requests.to_vec(),
            crashed_at,
            resend_at: now,
            resend_delay: INITIAL_RESEND_DELAY,
            receivers,
        });
    }

    pub(crate) fn record_ack(&mut self, from: &SocketAddr, id: u64) {
        if let Some(report) = self.reports.iter_mut().find(|r| r.id == id) {
            report.receivers.retain(|a| a != from);
        }
    }

    /// Sends all reports to a process that has restarted and forgotten them.
    pub(crate) fn repeat_to(&mut self, now: Time, receiver: SocketAddr) {
        for report in &mut self.reports {
            if !report.receivers.contains(&receiver) {
                report.receivers.push(receiver);
            }
            report.resend_at = now;
            report.resend_delay = INITIAL_RESEND_DELAY;
        }
    }

    /// The messages to send now.
    pub(crate) fn take_due(&mut self, now: Time) -> Vec<(SocketAddr, Body)> {
        self.reports
            .retain(|r| now.since(r.crashed_at) < REPORT_TTL);
        let mut messages = Vec::new();
        let due = |r: &&mut Report| r.resend_at <= now && !r.receivers.is_empty();
        for report in self.reports.iter_mut().filter(due) {
            report.resend_at = now + report.resend_delay;
            report.resend_delay = (report.resend_delay * 2).min(MAX_RESEND_DELAY);
            let body = Body::CrashReport(report.message(now));
            messages.extend(report.receivers.iter().map(|to| (*to, body.clone())));
        }
        messages
    }
}

impl Report {
    fn message(&self, now: Time) -> CrashReport {
        let request = |r: &Fingerprint| CrashedRequest {
            fingerprint: r.as_bytes().to_vec(),
        };
        CrashReport {
            id: self.id,
            incarnation: self.incarnation,
            age_ms: now.since(self.crashed_at).as_millis() as u64,
            requests: self.requests.iter().map(request).collect(),
        }
    }
}
