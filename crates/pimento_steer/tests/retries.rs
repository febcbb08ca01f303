//! Retries, hedges and the retry budget.

mod common;

use common::*;
use pimento_core::prelude::*;
use pimento_steer::{Attempts, Failure, Liveness, NextStep, RetryBudget};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const EXPECTED_LATENCY: Duration = Duration::from_millis(20);

fn target(n: usize) -> TargetId {
    TargetId::new(format!("t{n}")).unwrap()
}

fn failed(verdict: Verdict, n: usize) -> Failure {
    Failure::Failed {
        verdict,
        target: Some(target(n)),
        vm: None,
    }
}

/// A budget that allows retries.
fn budget_with_requests() -> RetryBudget {
    let mut budget = RetryBudget::new();
    for _ in 0..1_000 {
        budget.record_request(at(0));
    }
    budget
}

fn attempts(repeatable: bool, budget: &mut RetryBudget) -> Attempts {
    Attempts::new(
        at(0),
        &service_rule(repeatable),
        Class::Critical,
        at(5_000),
        budget,
    )
}

#[test]
fn repeatable_request_is_retried() {
    let (mut budget, mut rng) = (budget_with_requests(), SmallRng::seed_from_u64(1));
    let mut attempts = attempts(true, &mut budget);
    for n in 0..2 {
        let failure = failed(Verdict::MayHaveRun, n);
        let next =
            attempts.record_failure(at(10), &failure, EXPECTED_LATENCY, &mut budget, &mut rng);
        assert!(matches!(next, NextStep::Retry { .. }));
    }
    assert_eq!(attempts.tried_targets(), [target(0), target(1)]);
    let failure = failed(Verdict::NotRun, 2);
    let next = attempts.record_failure(at(20), &failure, EXPECTED_LATENCY, &mut budget, &mut rng);
    let verdict = Verdict::MayHaveRun;
    assert_eq!(
        next,
        NextStep::GiveUp { verdict },
        "the worst verdict, not the last one"
    );
}

#[test]
fn unrepeatable_request_is_not_retried() {
    let (mut budget, mut rng) = (budget_with_requests(), SmallRng::seed_from_u64(1));
    let mut attempts = attempts(false, &mut budget);
    let shed = Failure::Shed { target: target(0) };
    let next = attempts.record_failure(at(10), &shed, EXPECTED_LATENCY, &mut budget, &mut rng);
    assert!(matches!(next, NextStep::Retry { .. }));
    let failure = failed(Verdict::MayHaveRun, 1);
    let next = attempts.record_failure(at(20), &failure, EXPECTED_LATENCY, &mut budget, &mut rng);
    let verdict = Verdict::MayHaveRun;
    assert_eq!(next, NextStep::GiveUp { verdict });
    assert_eq!(attempts.hedge_after(), None);
}

#[test]
fn no_retry_after_deadline() {
    let (mut budget, mut rng) = (budget_with_requests(), SmallRng::seed_from_u64(1));
    let mut attempts = attempts(true, &mut budget);
    let failure = failed(Verdict::NotRun, 0);
    let next =
        attempts.record_failure(at(4_985), &failure, EXPECTED_LATENCY, &mut budget, &mut rng);
    let verdict = Verdict::NotRun;
    assert_eq!(next, NextStep::GiveUp { verdict });
}

/// The delays of the reroutes after refusals by entry VMs.
fn reroute_delays(class: Class) -> Vec<Duration> {
    let mut budget = RetryBudget::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let rule = service_rule(false);
    let mut attempts = Attempts::new(at(0), &rule, class, at(5_000), &mut budget);
    let mut delays = Vec::new();
    for n in 0..100 {
        let refused = Failure::Refused {
            vm: vm(OWN_DOMAIN, n),
        };
        let next =
            attempts.record_failure(at(1), &refused, EXPECTED_LATENCY, &mut budget, &mut rng);
        let NextStep::Retry { after } = next else {
            break;
        };
        delays.push(after);
    }
    assert_eq!(attempts.verdict(), Verdict::NotRun);
    delays
}

#[test]
fn reroutes_are_limited() {
    assert_eq!(reroute_delays(Class::Background), [Duration::ZERO; 3]);
    let delays = reroute_delays(Class::Critical);
    let waits: Vec<_> = delays.iter().filter(|d| !d.is_zero()).collect();
    assert_eq!((delays.len(), waits.len()), (15, 3));
    assert!(waits.is_sorted());
}

#[test]
fn hedge_conditions() {
    let mut budget = budget_with_requests();
    let mut first = attempts(true, &mut budget);
    assert_eq!(first.hedge_after(), Some(Duration::from_millis(100)));
    assert!(first.try_hedge(at(100), EXPECTED_LATENCY, &mut budget));
    assert!(!first.try_hedge(at(100), EXPECTED_LATENCY, &mut budget));
    let rule = service_rule(true);
    let late = Attempts::new(at(0), &rule, Class::Standard, at(5_000), &mut budget);
    assert_eq!(late.hedge_after(), None);
    let mut empty_budget = RetryBudget::new();
    let mut second = attempts(true, &mut empty_budget);
    assert!(!second.try_hedge(at(100), EXPECTED_LATENCY, &mut empty_budget));
}

/// Every target fails while requests arrive at random intervals. The attempts
/// at targets must stay below 1.1 times the requests.
fn check_retry_storm(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new();
    let (mut requests, mut attempted) = (0_u64, 0_u64);
    let mut now = Time::ZERO;
    let gap = rng.random_range(1..200);
    for _ in 0..2_000 {
        now += Duration::from_millis(rng.random_range(0..gap));
        requests += 1;
        let deadline = now + Duration::from_secs(5);
        let rule = service_rule(true);
        let mut attempts = Attempts::new(now, &rule, Class::Critical, deadline, &mut budget);
        attempted += 1;
        if rng.random_bool(0.5) {
            attempted += u64::from(attempts.try_hedge(now, EXPECTED_LATENCY, &mut budget));
        }
        for n in 0..5 {
            let verdict = Verdict::ALL[rng.random_range(0..3)];
            let failure = failed(verdict, n);
            let next =
                attempts.record_failure(now, &failure, EXPECTED_LATENCY, &mut budget, &mut rng);
            if !matches!(next, NextStep::Retry { .. }) {
                break;
            }
            attempted += 1;
        }
    }
    assert!(
        attempted * 10 < requests * 11,
        "{attempted} attempts for {requests} requests"
    );
}

#[test]
fn no_retry_storm() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(50)
        .for_each(|seed| check_retry_storm(*seed));
}

#[test]
fn budget_is_used() {
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for n in 0..1_000 {
        budget.record_request(at(n));
        retries += u32::from(budget.try_acquire(at(n), 10));
    }
    assert!((90..100).contains(&retries), "{retries}");
    assert!(
        !budget.try_acquire(at(30_000), 10),
        "old requests no longer count"
    );
}

#[test]
fn idle_connections_are_not_used() {
    let strict = Duration::from_millis(200);
    let mut liveness = Liveness::new(strict, Duration::from_secs(5));
    liveness.record_activity(at(0), &"pooled");
    assert!(liveness.is_usable(at(199), &"pooled", false));
    assert!(!liveness.is_usable(at(200), &"pooled", false));
    assert!(liveness.is_usable(at(200), &"pooled", true));
    assert!(!liveness.is_usable(at(0), &"unknown", true));
    liveness.record_activity(at(300), &"pooled");
    assert!(liveness.is_usable(at(400), &"pooled", false));
    assert_eq!(liveness.stale(at(5_300)).collect::<Vec<_>>(), [&"pooled"]);
    liveness.remove(&"pooled");
    assert!(!liveness.is_usable(at(300), &"pooled", true));
}
