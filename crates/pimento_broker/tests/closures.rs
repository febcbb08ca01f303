//! Shards that refused are left alone for a moment.

mod support;

use pimento_broker::ShardBackoff;
use pimento_core::Time;
use std::{sync::Arc, time::Duration};
use support::place;

const START: Time = Time::from_millis(10_000);

#[test]
fn closed_for_its_wait() {
    let mut backoff = ShardBackoff::default();
    let service = Arc::from("service");
    let (here, there) = (place(0, 0, 2, 6), place(1, 0, 2, 6));
    let wait = Duration::from_millis(100);
    backoff.record_refusal(START, &service, &here, wait);
    assert!(backoff.is_active(START, &service, &here));
    assert!(!backoff.is_active(START, &service, &there));
    assert!(!backoff.is_active(START + wait, &service, &here));
}

#[test]
fn asked_again_soon() {
    // A long wait doesn't keep requests away from places that come free.
    let mut backoff = ShardBackoff::default();
    let service = Arc::from("service");
    let here = place(0, 0, 2, 6);
    backoff.record_refusal(START, &service, &here, Duration::from_mins(1));
    let later = START + Duration::from_millis(300);
    assert!(!backoff.is_active(later, &service, &here));
}
