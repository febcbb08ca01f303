//! Retries, hedges and their budget.

mod common;

use common::*;
use pimento_core::prelude::*;
use pimento_steer::{Attempts, Failure, Liveness, NextStep, RetryBudget};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const EXPECTED: Duration = Duration::from_millis(20);

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
fn funded() -> RetryBudget {
    let mut budget = RetryBudget::new();
    for _ in 0..1_000 {
        budget.record_request(at(0));
    }
    budget
}

fn attempts(repeatable: bool, budget: &mut RetryBudget) -> Attempts {
    Attempts::new(at(0), &rule(repeatable), Class::Critical, at(5_000), budget)
}

#[test]
fn repeatable_retries() {
    let (mut budget, mut rng) = (funded(), SmallRng::seed_from_u64(1));
    let mut attempts = attempts(true, &mut budget);
    for n in 0..2 {
        let failure = failed(Verdict::MayHaveRun, n);
        let next = attempts.record_failure(at(10), &failure, EXPECTED, &mut budget, &mut rng);
        assert!(matches!(next, NextStep::Retry { .. }));
    }
    assert_eq!(attempts.tried_targets(), [target(0), target(1)]);
    let failure = failed(Verdict::NotRun, 2);
    let next = attempts.record_failure(at(20), &failure, EXPECTED, &mut budget, &mut rng);
    let verdict = Verdict::MayHaveRun;
    assert_eq!(
        next,
        NextStep::GiveUp { verdict },
        "the worst, not the last"
    );
}

#[test]
fn once_only() {
    let (mut budget, mut rng) = (funded(), SmallRng::seed_from_u64(1));
    let mut attempts = attempts(false, &mut budget);
    let shed = Failure::Shed { target: target(0) };
    let next = attempts.record_failure(at(10), &shed, EXPECTED, &mut budget, &mut rng);
    assert!(matches!(next, NextStep::Retry { .. }));
    let failure = failed(Verdict::MayHaveRun, 1);
    let next = attempts.record_failure(at(20), &failure, EXPECTED, &mut budget, &mut rng);
    let verdict = Verdict::MayHaveRun;
    assert_eq!(next, NextStep::GiveUp { verdict });
    assert_eq!(attempts.hedge_after(), None);
}

#[test]
fn no_time() {
    let (mut budget, mut rng) = (funded(), SmallRng::seed_from_u64(1));
    let mut attempts = attempts(true, &mut budget);
    let failure = failed(Verdict::NotRun, 0);
    let next = attempts.record_failure(at(4_985), &failure, EXPECTED, &mut budget, &mut rng);
    let verdict = Verdict::NotRun;
    assert_eq!(next, NextStep::GiveUp { verdict });
}

/// The delays of the moves after refusals by entry VMs.
fn moves(class: Class) -> Vec<Duration> {
    let mut budget = RetryBudget::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let rule = rule(false);
    let mut attempts = Attempts::new(at(0), &rule, class, at(5_000), &mut budget);
    let mut delays = Vec::new();
    for n in 0..100 {
        let refused = Failure::Refused { vm: vm(HOME, n) };
        let next = attempts.record_failure(at(1), &refused, EXPECTED, &mut budget, &mut rng);
        let NextStep::Retry { after } = next else {
            break;
        };
        delays.push(after);
    }
    assert_eq!(attempts.verdict(), Verdict::NotRun);
    delays
}

#[test]
fn bounded_moves() {
    assert_eq!(moves(Class::Background), [Duration::ZERO; 3]);
    let delays = moves(Class::Critical);
    let waits: Vec<_> = delays.iter().filter(|d| !d.is_zero()).collect();
    assert_eq!((delays.len(), waits.len()), (15, 3));
    assert!(waits.is_sorted());
}

#[test]
fn hedges() {
    let mut budget = funded();
    let mut first = attempts(true, &mut budget);
    assert_eq!(first.hedge_after(), Some(Duration::from_millis(100)));
    assert!(first.try_hedge(at(100), EXPECTED, &mut budget));
    assert!(!first.try_hedge(at(100), EXPECTED, &mut budget));
    let rule = rule(true);
    let late = Attempts::new(at(0), &rule, Class::Standard, at(5_000), &mut budget);
    assert_eq!(late.hedge_after(), None);
    let mut poor = RetryBudget::new();
    let mut second = attempts(true, &mut poor);
    assert!(!second.try_hedge(at(100), EXPECTED, &mut poor));
}

/// Every target fails, at a random rate of requests: the attempts at targets
/// stay below 1.1 times the requests.
fn storm(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new();
    let (mut requests, mut tried) = (0_u64, 0_u64);
    let mut now = Time::ZERO;
    let gap = rng.random_range(1..200);
    for _ in 0..2_000 {
        now += Duration::from_millis(rng.random_range(0..gap));
        requests += 1;
        let deadline = now + Duration::from_secs(5);
        let rule = rule(true);
        let mut attempts = Attempts::new(now, &rule, Class::Critical, deadline, &mut budget);
        tried += 1;
        if rng.random_bool(0.5) {
            tried += u64::from(attempts.try_hedge(now, EXPECTED, &mut budget));
        }
        for n in 0..5 {
            let verdict = Verdict::ALL[rng.random_range(0..3)];
            let failure = failed(verdict, n);
            let next = attempts.record_failure(now, &failure, EXPECTED, &mut budget, &mut rng);
            if !matches!(next, NextStep::Retry { .. }) {
                break;
            }
            tried += 1;
        }
    }
    assert!(tried * 10 < requests * 11, "{tried} for {requests}");
}

#[test]
fn no_storm() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(50)
        .for_each(|seed| storm(*seed));
}

#[test]
fn budget_is_used() {
    let mut budget = RetryBudget::new();
    let mut taken = 0;
    for n in 0..1_000 {
        budget.record_request(at(n));
        taken += u32::from(budget.try_acquire(at(n), 10));
    }
    assert!((90..100).contains(&taken), "{taken}");
    assert!(
        !budget.try_acquire(at(30_000), 10),
        "old requests count no more"
    );
}

#[test]
fn silent_connections() {
    let strict = Duration::from_millis(200);
    let mut silence = Liveness::new(strict, Duration::from_secs(5));
    silence.record_activity(at(0), &"pooled");
    assert!(silence.is_usable(at(199), &"pooled", false));
    assert!(!silence.is_usable(at(200), &"pooled", false));
    assert!(silence.is_usable(at(200), &"pooled", true));
    assert!(!silence.is_usable(at(0), &"unknown", true));
    silence.record_activity(at(300), &"pooled");
    assert!(silence.is_usable(at(400), &"pooled", false));
    assert_eq!(silence.stale(at(5_300)).collect::<Vec<_>>(), [&"pooled"]);
    silence.remove(&"pooled");
    assert!(!silence.is_usable(at(300), &"pooled", true));
}
