//! A load on one shard whose targets name the requests per second that they
//! take. The limit changes and ends while the load goes on.

mod support;

use pimento_broker::{Broker, Decision, ExpectedWait, RequestId, RequestOutcome, RequestReport};
use pimento_core::Time;
use pimento_notices::{RequestRate, StatedLimit, TargetNotice};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;
use support::{permit_request, report, view};

const SLOTS: u32 = 3;
const RUN_TIME: Duration = Duration::from_millis(120);
const OBJECTIVE: Duration = Duration::from_millis(250);
const TICK: Duration = Duration::from_millis(10);
const WINDOW: Duration = Duration::from_secs(4);
/// How long a limit need not be kept after it was first named.
const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// A limit in requests per second, from a second of the load on.
type Step = (u64, Option<f64>);

/// The requests that one target gets, with the limits that it names.
struct Load {
    broker: Broker,
    now: Time,
    steps: Vec<Step>,
    /// The requests per second that arrive.
    rate: f64,
    /// The targets that the shard has; the first one names limits.
    targets: usize,
    running: Vec<(u64, String, Time)>,
    /// When each request was sent to the first target.
    sent: Vec<Time>,
    /// The requests sent to the other targets.
    sent_elsewhere: usize,
    /// The waits that refused requests were told.
    refused: Vec<(Time, ExpectedWait)>,
}

impl Load {
    fn new(targets: usize, rate: f64, steps: &[Step]) -> Self {
        let mut load = Self {
            broker: Broker::default(),
            now: Time::ZERO,
            steps: steps.to_vec(),
            rate,
            targets,
            running: Vec::new(),
            sent: Vec::new(),
            sent_elsewhere: 0,
            refused: Vec::new(),
        };
        load.set_targets();
        load
    }

    fn set_targets(&mut self) {
        let views = (0..self.targets).map(|i| view(&format!("t{i}"), "d0", SLOTS));
        let decisions = self.broker.set_targets(self.now, views.collect());
        self.apply(decisions);
    }

    /// Replays a seeded arrival list for some seconds. The VM loses all that it
    /// knows at `restart`.
    fn run(mut self, seed: u64, seconds: u64, restart: Option<u64>) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let ticks = Duration::from_secs(seconds).as_millis() / TICK.as_millis();
        let restart = restart.map(|second| Time::ZERO + Duration::from_secs(second));
        for serial in 0..ticks as u64 {
            self.now += TICK;
            if Some(self.now) == restart {
                self.broker = Broker::default();
                self.set_targets();
            }
            self.end_runs();
            let decisions = self.broker.tick(self.now);
            self.apply(decisions);
            if rng.random_bool((self.rate * TICK.as_secs_f64()).min(1.0)) {
                let request = permit_request(serial, self.now, OBJECTIVE);
                let decisions = self.broker.submit(self.now, request);
                self.apply(decisions);
            }
        }
        self
    }

    fn limit(&self) -> Option<f64> {
        let second = self.now.since(Time::ZERO).as_secs();
        let begun = self.steps.iter().rev().find(|(from, _)| *from <= second);
        begun.and_then(|(_, limit)| *limit)
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.running.extract_if(.., |r| r.2 <= now).collect();
        for (serial, target, _) in ended {
            let limit = self.limit().filter(|_| target == "t0");
            let rate = limit.and_then(|limit| RequestRate::parse(&limit.to_string()));
            let age = Duration::ZERO;
            let limit = Some(StatedLimit { rate, age });
            let report = RequestReport {
                notice: TargetNotice {
                    limit,
                    ..TargetNotice::NONE
                },
                ..report(RequestOutcome::Answered, RUN_TIME)
            };
            let id = RequestId { process: 1, serial };
            let decisions = self.broker.release(now, &id, &report);
            self.apply(decisions);
        }
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Grant { id, target } => {
                    let ends_at = self.now + RUN_TIME;
                    if *target == *"t0" {
                        self.sent.push(self.now);
                    } else {
                        self.sent_elsewhere += 1;
                    }
                    self.running.push((id.serial, target.to_string(), ends_at));
                }
                Decision::Refuse { wait, .. } => self.refused.push((self.now, wait)),
            }
        }
    }

    fn sent_between(&self, from: Time, until: Time) -> usize {
        let inside = |at: &&Time| **at >= from && **at < until;
        self.sent.iter().filter(inside).count()
    }

    /// The most requests that the first target got in a window that begins at or
    /// after a time.
    fn busiest_window(&self, from: Time) -> usize {
        let starts = self.sent.iter().filter(|at| **at >= from);
        let counts = starts.map(|at| self.sent_between(*at, *at + WINDOW));
        counts.max().unwrap_or(0)
    }
}

/// The most requests that a target may get in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

fn second(number: u64) -> Time {
    Time::ZERO + Duration::from_secs(number)
}

#[test]
fn target_gets_what_it_takes() {
    for limit in [0.0, 0.2, 0.7, 1.0, 3.4, 7.5, 10.0] {
        for seed in 0..10 {
            let load = Load::new(1, 30.0, &[(5, Some(limit))]).run(seed, 40, None);
            let most = load.busiest_window(second(5) + LIMIT_GRACE);
            assert!(most <= allowed(limit), "limit {limit}: {most}");
            let sent = load.sent_between(second(10), second(40)) as f64 / 30.0;
            assert!(sent >= limit * 0.9, "limit {limit}: {sent} a second");
        }
    }
}

/// A VM that takes over grants permits before it hears of the limit.
#[test]
fn vm_without_news_takes_little() {
    for limit in [0.7, 1.0, 3.4, 7.5, 10.0] {
        for seed in 0..10 {
            let load = Load::new(1, 30.0, &[(2, Some(limit))]).run(seed, 30, Some(15));
            let most = load.busiest_window(second(2) + LIMIT_GRACE);
            assert!(most <= allowed(limit), "limit {limit}: {most}");
        }
    }
}

#[test]
fn lower_limit_counts_at_once() {
    for seed in 0..10 {
        let steps = [(2, Some(9.0)), (12, Some(2.5))];
        let load = Load::new(1, 30.0, &steps).run(seed, 30, None);
        let most = load.busiest_window(second(13));
        assert!(most <= allowed(2.5), "{most}");
    }
}

#[test]
fn end_of_limit_frees_target() {
    for seed in 0..10 {
        let steps = [(2, Some(1.0)), (10, None)];
        let load = Load::new(1, 15.0, &steps).run(seed, 30, None);
        let sent = load.sent_between(second(14), second(30)) as f64 / 16.0;
        assert!(sent > 13.0, "{sent} a second");
    }
}

#[test]
fn rest_goes_to_other_targets() {
    for seed in 0..10 {
        let load = Load::new(3, 30.0, &[(2, Some(3.0))]).run(seed, 30, None);
        let total = load.sent.len() + load.sent_elsewhere;
        let refused = load.refused.len();
        assert!(refused * 50 <= total, "{refused} of {total} refused");
    }
}

/// Callers are refused at once and told when a place is due.
#[test]
fn refusal_names_next_place() {
    let load = Load::new(1, 30.0, &[(2, Some(0.5))]).run(1, 30, None);
    let settled = load.refused.iter().filter(|(at, _)| *at > second(6));
    let waits: Vec<_> = settled.map(|(_, wait)| *wait).collect();
    assert!(waits.len() > 400, "{}", waits.len());
    for wait in waits {
        let ExpectedWait::For(wait) = wait else {
            panic!("{wait:?}");
        };
        assert!(wait >= Duration::from_millis(1_500), "{wait:?}");
    }
}
