//! The retries of all VMs together stay within the system-wide limit.

use pimento_broker::RetryBudget;
use pimento_core::Time;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);

/// A retry storm: 20 VMs want to retry each of their requests.
#[test]
fn retry_storm() {
    const VMS: u64 = 20;
    let mut sent = [0_u32; 40];
    for vm in 0..VMS {
        let mut budget = RetryBudget::new(Time::ZERO, 120.0, WINDOW, VMS as usize);
        for ms in (vm..40_000).step_by(60) {
            let now = Time::from_millis(ms);
            budget.record_request(now, 0.2);
            sent[ms as usize / 1_000] += u32::from(budget.try_spend(now));
        }
    }
    let requests = 1_000.0 / 60.0 * VMS as f64 * 10.0;
    let allowed = 0.2 * requests + 120.0;
    for window in sent.windows(10) {
        let sum: u32 = window.iter().sum();
        assert!(f64::from(sum) <= allowed, "{sum} of {allowed}");
    }
}

#[test]
fn single_retry() {
    let mut budget = RetryBudget::new(Time::ZERO, 120.0, WINDOW, 20);
    assert!(
        budget.try_spend(Time::ZERO),
        "a single retry is always allowed"
    );
}

// After a start of all VMs each took itself for the only one, with the whole slack, and for
// the life of its process.
#[test]
fn start_of_all_vms() {
    const VMS: u64 = 20;
    /// How long each VM knows of no other.
    const ALONE_MS: u64 = 1_500;
    const REQUEST_INTERVAL_MS: u64 = 150;
    let mut sent = [0_u32; 40];
    for vm in 0..VMS {
        let mut budget = RetryBudget::new(Time::ZERO, 120.0, WINDOW, 1);
        for ms in (vm..40_000).step_by(REQUEST_INTERVAL_MS as usize) {
            let now = Time::from_millis(ms);
            if ms > ALONE_MS {
                budget.follow_vms(VMS as usize);
            }
            budget.record_request(now, 0.2);
            sent[ms as usize / 1_000] += u32::from(budget.try_spend(now));
        }
    }
    let requests = 10_000.0 / REQUEST_INTERVAL_MS as f64 * VMS as f64;
    let allowed = 0.2 * requests + 120.0;
    for window in sent.windows(10) {
        let sum: u32 = window.iter().sum();
        assert!(f64::from(sum) <= allowed, "{sum} of {allowed}");
    }
}

// VMs that are cut off from each other must not share out the slack twice.
#[test]
fn fewer_vms_get_no_more() {
    let mut whole = RetryBudget::new(Time::ZERO, 120.0, WINDOW, 20);
    let mut half = whole;
    half.follow_vms(10);
    for second in 0..60 {
        let now = Time::from_millis(second * 1_000);
        for _ in 0..10 {
            assert_eq!(half.try_spend(now), whole.try_spend(now));
        }
    }
}
