//! Decides what happens after each attempt of one request.

use crate::RetryBudget;
use pimento_core::prelude::*;
use pimento_rules::{Retry, Service};
use rand::Rng;

/// The upper limit of the delay before the first retry; doubles with each
/// retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
/// The upper limit of the delay before any retry.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The number of refusals by entry VMs in a round that are rerouted at once.
/// Refusals cost no target anything, so they don't count against the retry
/// budget.
const MAX_REROUTES: u8 = 3;
/// The number of rounds of reroutes for a critical request, each after a longer
/// delay. A VM that was full or unreachable may be available again long before
/// the deadline.
const MAX_REROUTE_ROUNDS: u8 = 4;
/// The upper limit of the delay before the second round; doubles with each
/// further round.
const INITIAL_ROUND_DELAY: Duration = Duration::from_millis(50);

/// How an attempt failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// An entry VM refused the request before it reached any target.
    Refused {
        /// The VM that refused.
        vm: VmId,
    },
    /// A target refused the request before running it.
    Shed {
        /// The target that refused.
        target: TargetId,
    },
    /// The request failed at a target, or on the way to or from it.
    Failed {
        /// Whether the request may have run.
        verdict: Verdict,
        /// The target, if it is known.
        target: Option<TargetId>,
        /// The VM that the request was forwarded to, if any.
        vm: Option<VmId>,
    },
}

impl Failure {
    /// Whether the request may have run in this attempt.
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Refused { .. } | Self::Shed { .. } => Verdict::NotRun,
            Self::Failed { verdict, .. } => *verdict,
        }
    }
}

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Start another attempt after a delay.
    Retry {
        /// The delay before the attempt.
        after: Duration,
    },
    /// Return the failure to the caller.
    GiveUp {
        /// The worst verdict of all attempts.
        verdict: Verdict,
    },
}

/// The attempts of one request.
///
/// A target that had an attempt is never tried again, and a VM only in a later
/// round of reroutes. A request that must not run twice is only retried while
/// every verdict says that it did not run.
#[derive(Clone, Debug)]
pub struct Attempts {
    retry: Retry,
    repeatable: bool,
    class: Class,
    deadline: Time,
    /// The attempts at targets, including a hedge.
    attempt_count: u8,
    /// The reroutes in the current round.
    reroutes: u8,
    /// The rounds of reroutes that have ended.
    rounds: u8,
    hedged: bool,
    worst_verdict: Verdict,
    tried_targets: Vec<TargetId>,
    tried_vms: Vec<VmId>,
}

impl Attempts {
    /// Records a request in the retry budget and starts its first attempt.
    pub fn new(
        now: Time,
        service: &Service,
        class: Class,
        deadline: Time,
        budget: &mut RetryBudget,
    ) -> Self {
        budget.record_request(now);
        Self {
            retry: service.retry.clone(),
            repeatable: service.repeatable,
            class,
            deadline,
            attempt_count: 1,
            reroutes: 0,
            rounds: 0,
            hedged: false,
            worst_verdict: Verdict::NotRun,
            tried_targets: Vec::new(),
            tried_vms: Vec::new(),
        }
    }

    /// Targets that the next attempt must avoid.
    pub fn tried_targets(&self) -> &[TargetId] {
        &self.tried_targets
    }

    /// Entry VMs that the next attempt must avoid.
    pub fn tried_vms(&self) -> &[VmId] {
        &self.tried_vms
    }

    /// The worst verdict of all attempts so far.
    pub const fn verdict(&self) -> Verdict {
        self.worst_verdict
    }

    /// Records the target of an attempt in flight, so that a hedge avoids it.
    pub fn record_target(&mut self, target: &TargetId) {
        if !self.tried_targets.contains(target) {
            self.tried_targets.push(target.clone());
        }
    }

    /// Records a failed attempt and decides what happens next. `expected` is
    /// the minimum time that another attempt takes.
    pub fn record_failure(
        &mut self,
        now: Time,
        failure: &Failure,
        expected: Duration,
        budget: &mut RetryBudget,
        rng: &mut impl Rng,
    ) -> NextStep {
        self.worst_verdict = self.worst_verdict.max(failure.verdict());
        self.record_tried(failure);
        let verdict = self.worst_verdict;
        let give_up = NextStep::GiveUp { verdict };
        if !self.repeatable && !verdict.allows_resend() {
            return give_up;
        }
        if let Failure::Refused { .. } = failure {
            return self.reroute(now, expected, rng).unwrap_or(give_up);
        }
        let after = self.backoff(rng);
        if now + after + expected >= self.deadline {
            return give_up;
        }
        if !self.take_retry(now, budget) {
            return give_up;
        }
        NextStep::Retry { after }
    }

    /// Records the target or VM that had the attempt.
    fn record_tried(&mut self, failure: &Failure) {
        let (target, vm) = match failure {
            Failure::Refused { vm } => (None, Some(vm)),
            Failure::Shed { target } => (Some(target), None),
            Failure::Failed { target, vm, .. } => (target.as_ref(), vm.as_ref()),
        };
        if let Some(target) = target {
            self.record_target(target);
        }
        if let Some(vm) = vm
            && !self.tried_vms.contains(vm)
        {
            self.tried_vms.push(vm.clone());
        }
    }

    /// Reroutes a request that an entry VM refused. The first few reroutes are
    /// immediate; after that, only critical requests are rerouted, and only
    /// after a delay. VMs that refused may then be tried again, since no target
    /// had an attempt.
    fn reroute(&mut self, now: Time, expected: Duration, rng: &mut impl Rng) -> Option<NextStep> {
        self.reroutes += 1;
        let mut after = Duration::ZERO;
        if self.reroutes > MAX_REROUTES {
            if self.class != Class::Critical || self.rounds + 1 >= MAX_REROUTE_ROUNDS {
                return None;
            }
            after = jittered(INITIAL_ROUND_DELAY * 2_u32.pow(u32::from(self.rounds)), rng);
            self.rounds += 1;
            self.reroutes = 0;
            self.tried_vms.clear();
        }
        (now + after + expected < self.deadline).then_some(NextStep::Retry { after })
    }

    /// The delay before another attempt at a target.
    fn backoff(&self, rng: &mut impl Rng) -> Duration {
        let doublings = u32::from(self.attempt_count.saturating_sub(1)).min(8);
        jittered(
            (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF),
            rng,
        )
    }

    /// Takes another attempt, if the attempt limit and the retry budget allow
    /// it.
    fn take_retry(&mut self, now: Time, budget: &mut RetryBudget) -> bool {
        if self.attempt_count >= self.retry.attempts {
            return false;
        }
        if !budget.try_acquire(now, self.retry.budget) {
            return false;
        }
        self.attempt_count += 1;
        true
    }

    /// The delay after which a hedge may be sent in parallel with the first
    /// attempt: only for repeatable requests of the critical class.
    pub fn hedge_after(&self) -> Option<Duration> {
        let may_hedge = self.repeatable && self.class == Class::Critical && !self.hedged;
        let delay = self.retry.hedge.filter(|_| may_hedge)?;
        Some(Duration::from_millis(u64::from(delay)))
    }

    /// Takes a hedge from the retry budget, at most once per request. Returns
    /// whether it may be sent.
    pub fn try_hedge(&mut self, now: Time, expected: Duration, budget: &mut RetryBudget) -> bool {
        if self.hedge_after().is_none() || self.attempt_count >= self.retry.attempts {
            return false;
        }
        if now + expected >= self.deadline || !budget.try_acquire(now, self.retry.budget) {
            return false;
        }
        self.hedged = true;
        self.attempt_count += 1;
        true
    }
}

/// Adds jitter to a delay, so that the retries of many requests don't coincide.
fn jittered(max_delay: Duration, rng: &mut impl Rng) -> Duration {
    max_delay.mul_f64(rng.random_range(0.5..1.0))
}
