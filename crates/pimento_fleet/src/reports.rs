//! Conversion of the reports on finished requests to messages and back.

use crate::message::ReleasedPermit;
use pimento_broker::{RequestOutcome, RequestReport};
use pimento_notices::{RequestRate, StatedLimit, TargetNotice};
use std::time::Duration;

/// The outcomes in the order of their numbers in messages.
const OUTCOME_CODES: [RequestOutcome; 7] = [
    RequestOutcome::Answered,
    RequestOutcome::Shed,
    RequestOutcome::Failed,
    RequestOutcome::Broken,
    RequestOutcome::Replaced,
    RequestOutcome::Cancelled,
    RequestOutcome::Unreachable,
];

/// Converts the report on a finished request to its message.
pub(crate) fn released_permit(serial: u64, report: &RequestReport) -> ReleasedPermit {
    let outcome = OUTCOME_CODES.iter().position(|o| *o == report.outcome);
    ReleasedPermit {
        serial,
        outcome: outcome.map_or(0, |i| i as u32),
        took_us: report.took.as_micros() as u64,
        running: report.load.map(|(running, _)| running),
        waiting: report.load.map(|(_, waiting)| waiting),
        cold_ms: report.cold.map(|cold| cold.as_millis() as u32),
        leaving: report.notice.leaving,
        // Rounded up, so that the receiver doesn't end the pause too early.
        pause_ms: report.notice.pause.map(|left| left.as_millis() as u32 + 1),
        limit_age_ms: report
            .notice
            .limit
            .map(|limit| u32::try_from(limit.age.as_millis()).unwrap_or(u32::MAX)),
        limit_millis: report
            .notice
            .limit
            .and_then(|limit| limit.rate)
            .map(RequestRate::as_millis),
    }
}

/// Converts the message on a finished request to its report.
pub(crate) fn request_report(permit: &ReleasedPermit) -> RequestReport {
    let outcome = OUTCOME_CODES.get(permit.outcome as usize);
    RequestReport {
        outcome: outcome.copied().unwrap_or(RequestOutcome::Cancelled),
        took: Duration::from_micros(permit.took_us),
        load: permit.running.zip(permit.waiting),
        cold: permit.cold_ms.map(|ms| Duration::from_millis(ms.into())),
        notice: TargetNotice {
            leaving: permit.leaving,
            pause: permit.pause_ms.map(|ms| Duration::from_millis(ms.into())),
            limit: permit.limit_age_ms.map(|ms| StatedLimit {
                rate: permit.limit_millis.map(RequestRate::from_millis),
                age: Duration::from_millis(ms.into()),
            }),
        },
    }
}
