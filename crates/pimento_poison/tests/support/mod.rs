//! Requests and crashes by number.

#![allow(dead_code, reason = "no test file uses all of it")]

use pimento_core::Time;
use pimento_poison::{Fingerprint, Judge, Verdict};
use std::time::Duration;

pub const SECOND: Duration = Duration::from_secs(1);

pub fn request(number: u64) -> Fingerprint {
    Fingerprint::of([&number.to_le_bytes()[..]])
}

/// A number of seconds after the start of a test.
pub fn at(seconds: u64) -> Time {
    Time::from_millis(1_000_000 + seconds * 1_000)
}

/// Records that a target crashed now while it had these requests.
pub fn crash(judge: &mut Judge, now: Time, target: u64, requests: &[u64]) {
    for number in requests {
        judge.record_crash(now, target, request(*number), Duration::ZERO);
    }
    judge.decide(now);
}

/// Decides as often as a process does, until two seconds after `now`.
pub fn decide_all(judge: &mut Judge, now: Time) {
    for step in 0..40 {
        judge.decide(now + SECOND / 20 * step);
    }
}

pub fn verdict(judge: &Judge, number: u64) -> Option<Verdict> {
    judge.verdict(request(number))
}

/// A judge that has refused a request.
pub fn refuse(number: u64) -> Judge {
    let mut judge = Judge::default();
    for target in 0..3 {
        crash(&mut judge, at(target), target, &[number]);
    }
    decide_all(&mut judge, at(4));
    assert_eq!(verdict(&judge, number), Some(Verdict::Refused));
    judge
}
