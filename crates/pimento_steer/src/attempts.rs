//! What happens after each attempt of one request.

use crate::RetryBudget;
use pimento_core::prelude::*;
use pimento_rules::{Retry, Service};
use rand::Rng;

/// The longest delay before the first retry; doubles with each that follows.
const BACKOFF: Duration = Duration::from_millis(10);
/// The longest delay before any retry.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The refusals by entry VMs after which a request is moved on at once. They
/// cost no target anything, so the retry budget doesn't count them.
const MAX_MOVES: u8 = 3;
/// The rounds of such moves for a critical request, each after a longer delay:
/// what was full or away may be back long before the deadline.
const MAX_ROUNDS: u8 = 4;
/// The longest delay before the second round; doubles with each that follows.
const ROUND: Duration = Duration::from_millis(50);

/// How an attempt failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// An entry VM refused it, before any target saw it.
    Refused {
        /// The VM that refused.
        vm: VmId,
    },
    /// A target refused it before running it.
    Shed {
        /// The target.
        target: TargetId,
    },
    /// It failed at a target, or on the way there or back.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
        /// The target, if it is known.
        target: Option<TargetId>,
        /// The VM that the request was passed to, if any.
        vm: Option<VmId>,
    },
}

impl Failure {
    /// Whether the request may have run.
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::Refused { .. } | Self::Shed { .. } => Verdict::NotRun,
            Self::Failed { verdict, .. } => *verdict,
        }
    }
}

/// What happens next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Another attempt begins after a delay.
    Retry {
        /// The delay.
        after: Duration,
    },
    /// The caller is answered with the failure.
    GiveUp {
        /// The worst that is known over all attempts.
        verdict: Verdict,
    },
}

/// The attempts of one request.
///
/// A target or VM that had an attempt is never tried again; a request that
/// must not run twice is only tried again while all that is known says that it
/// did not run.
#[derive(Clone, Debug)]
pub struct Attempts {
    rule: Retry,
    repeatable: bool,
    class: Class,
    deadline: Time,
    count: u8,
    moves: u8,
    rounds: u8,
    hedged: bool,
    worst: Verdict,
    targets: Vec<TargetId>,
    vms: Vec<VmId>,
}

impl Attempts {
    /// Counts a request and begins its first attempt.
    pub fn new(
        now: Time,
        rule: &Service,
        class: Class,
        deadline: Time,
        budget: &mut RetryBudget,
    ) -> Self {
        budget.record_request(now);
        Self {
            rule: rule.retry.clone(),
            repeatable: rule.repeatable,
            class,
            deadline,
            count: 1,
            moves: 0,
            rounds: 0,
            hedged: false,
            worst: Verdict::NotRun,
            targets: Vec::new(),
            vms: Vec::new(),
        }
    }

    /// Targets that the next attempt must avoid.
    pub fn tried_targets(&self) -> &[TargetId] {
        &self.targets
    }

    /// Entry VMs that the next attempt must avoid.
    pub fn tried_vms(&self) -> &[VmId] {
        &self.vms
    }

    /// The worst that is known of all attempts.
    pub const fn verdict(&self) -> Verdict {
        self.worst
    }

    /// Notes the target of an attempt under way, which a hedge must avoid.
    pub fn record_target(&mut self, target: &TargetId) {
        if !self.targets.contains(target) {
            self.targets.push(target.clone());
        }
    }

    /// Decides after a failed attempt. `expected` is how long another attempt
    /// takes at least.
    pub fn record_failure(
        &mut self,
        now: Time,
        failure: &Failure,
        expected: Duration,
        budget: &mut RetryBudget,
        rng: &mut impl Rng,
    ) -> NextStep {
        self.worst = self.worst.max(failure.verdict());
        self.note(failure);
        let verdict = self.worst;
        let give_up = NextStep::GiveUp { verdict };
        if !self.repeatable && !verdict.allows_resend() {
            return give_up;
        }
        if let Failure::Refused { .. } = failure {
            return self.move_on(now, expected, rng).unwrap_or(give_up);
        }
        let after = self.delay(rng);
        if now + after + expected >= self.deadline {
            return give_up;
        }
        if !self.affords(now, budget) {
            return give_up;
        }
        NextStep::Retry { after }
    }

    /// Remembers who had the attempt.
    fn note(&mut self, failure: &Failure) {
        let (target, vm) = match failure {
            Failure::Refused { vm } => (None, Some(vm)),
            Failure::Shed { target } => (Some(target), None),
            Failure::Failed { target, vm, .. } => (target.as_ref(), vm.as_ref()),
        };
        if let Some(target) = target {
            self.record_target(target);
        }
        if let Some(vm) = vm
            && !self.vms.contains(vm)
        {
            self.vms.push(vm.clone());
        }
    }

    /// Moves on after a refusal by an entry VM: at once, and after a few
    /// refusals only for critical requests and after a delay. VMs that refused
    /// may then be asked again, since no target had an attempt.
    fn move_on(&mut self, now: Time, expected: Duration, rng: &mut impl Rng) -> Option<NextStep> {
        self.moves += 1;
        let mut after = Duration::ZERO;
        if self.moves > MAX_MOVES {
            if self.class != Class::Critical || self.rounds + 1 >= MAX_ROUNDS {
                return None;
            }
            after = jittered(ROUND * 2_u32.pow(u32::from(self.rounds)), rng);
            self.rounds += 1;
            self.moves = 0;
            self.vms.clear();
        }
        (now + after + expected < self.deadline).then_some(NextStep::Retry { after })
    }

    /// The delay before another attempt at a target.
    fn delay(&self, rng: &mut impl Rng) -> Duration {
        let doublings = u32::from(self.count.saturating_sub(1)).min(8);
        jittered((BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF), rng)
    }

    /// Takes another attempt from the bounds that apply to it.
    fn affords(&mut self, now: Time, budget: &mut RetryBudget) -> bool {
        if self.count >= self.rule.attempts {
            return false;
        }
        if !budget.try_acquire(now, self.rule.budget) {
            return false;
        }
        self.count += 1;
        true
    }

    /// The delay after which a second attempt may be sent beside the first:
    /// only for repeatable requests of the critical class.
    pub fn hedge_after(&self) -> Option<Duration> {
        let wanted = self.repeatable && self.class == Class::Critical && !self.hedged;
        let delay = self.rule.hedge.filter(|_| wanted)?;
        Some(Duration::from_millis(u64::from(delay)))
    }

    /// Takes a hedge from the budget, once for each request.
    pub fn try_hedge(&mut self, now: Time, expected: Duration, budget: &mut RetryBudget) -> bool {
        if self.hedge_after().is_none() || self.count >= self.rule.attempts {
            return false;
        }
        if now + expected >= self.deadline || !budget.try_acquire(now, self.rule.budget) {
            return false;
        }
        self.hedged = true;
        self.count += 1;
        true
    }
}

/// A random part of a delay, so that retries of many requests don't come
/// together.
fn jittered(longest: Duration, rng: &mut impl Rng) -> Duration {
    longest.mul_f64(rng.random_range(0.5..1.0))
}
