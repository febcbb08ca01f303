//! Slots and connections are never exceeded.

mod common;

use common::*;
use pimento_admit::{Admission, AdmissionConfig, Completion, Effect, LoadReport};
use pimento_core::prelude::*;
use pimento_lease::TargetState;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const TARGETS: u32 = 3;
const STEPS: usize = 400;

/// What the targets really run: (request, target, end of the run).
#[derive(Default)]
struct Truth {
    runs: Vec<(u64, TargetId, Time)>,
    draining: Vec<TargetId>,
    refused: Vec<u64>,
}

impl Truth {
    fn apply(&mut self, now: Time, effects: &[Effect], deadlines: &[(u64, Time)]) {
        for effect in effects {
            match effect {
                Effect::Start { id, target } => self.start(now, *id, target, deadlines),
                Effect::Refuse { id, .. } => {
                    assert!(self.runs.iter().all(|run| run.0 != *id), "{id} had run");
                    self.refused.push(*id);
                }
            }
        }
    }

    fn start(&mut self, now: Time, id: u64, target: &TargetId, deadlines: &[(u64, Time)]) {
        self.runs.retain(|run| run.2 > now);
        assert!(!self.draining.contains(target), "{target} drains");
        assert!(!self.refused.contains(&id), "{id} was refused");
        let deadline = deadlines.iter().find(|d| d.0 == id).unwrap().1;
        assert!(deadline > now, "{id} is late");
        self.runs.push((id, target.clone(), deadline));
        let used = self.runs.iter().filter(|run| run.1 == *target).count();
        assert!(used <= 3, "{target} runs {used}");
    }
}

fn random_view(rng: &mut SmallRng, now: Time) -> pimento_admit::TargetView {
    let mut view = view(rng.random_range(0..TARGETS), 3);
    view.state = match rng.random_range(0..6) {
        0 => TargetState::Draining,
        1 => TargetState::Cold,
        _ => TargetState::Ready,
    };
    let load = rng.random_range(0..5);
    view.report = rng.random_bool(0.7).then_some(LoadReport {
        load,
        received_at: now,
    });
    view
}

/// Ends a random run; the target hears of an early end a little later.
fn end_one(rng: &mut SmallRng, admit: &mut Admission, truth: &mut Truth, now: Time) -> Vec<Effect> {
    if truth.runs.is_empty() {
        return Vec::new();
    }
    let i = rng.random_range(0..truth.runs.len());
    let id = truth.runs[i].0;
    let ending = match rng.random_range(0..7) {
        0 => Completion::Shed,
        6 => Completion::Unreachable,
        1 => Completion::Failed,
        2 => Completion::TimedOut,
        3 => Completion::Cancelled,
        _ => Completion::Ok {
            latency: Duration::from_millis(20),
        },
    };
    match ending {
        Completion::Ok { .. } | Completion::Shed | Completion::Unreachable => truth.runs[i].2 = now,
        Completion::Failed | Completion::Cancelled => {
            let heard = now + Duration::from_millis(10);
            truth.runs[i].2 = truth.runs[i].2.min(heard);
        }
        Completion::TimedOut => {}
    }
    admit.finish(now, id, ending)
}

fn check(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut admit = Admission::new(AdmissionConfig::default(), seed);
    let mut truth = Truth::default();
    let mut deadlines = Vec::new();
    let mut now = Time::ZERO;
    for step in 0..STEPS {
        now += Duration::from_millis(rng.random_range(0..30));
        let effects = match rng.random_range(0..10) {
            0 => {
                let view = random_view(&mut rng, now);
                truth.draining.retain(|t| *t != view.target);
                if view.state == TargetState::Draining {
                    truth.draining.push(view.target.clone());
                }
                admit.set_target(now, view)
            }
            1 => admit.tick(now),
            2..=5 => end_one(&mut rng, &mut admit, &mut truth, now),
            _ => {
                let mut request = request(step as u64, 0);
                request.deadline = now + Duration::from_millis(rng.random_range(1..900));
                request.class = Class::ALL[rng.random_range(0..3)];
                deadlines.push((request.id, request.deadline));
                admit.submit(now, request)
            }
        };
        truth.apply(now, &effects, &deadlines);
    }
}

#[test]
fn never_above() {
    bolero::check!()
        .with_type::<u64>()
        .with_iterations(300)
        .for_each(|seed| check(*seed));
}

#[test]
fn carried_counts() {
    let mut admit = Admission::new(AdmissionConfig::default(), 1);
    let mut held = view(0, 3);
    held.inherited = 2;
    admit.set_target(at(0), held);
    assert_eq!(started(&admit.submit(at(0), request(1, 500))), [1]);
    assert!(started(&admit.submit(at(0), request(2, 500))).is_empty());
    assert_eq!(started(&admit.set_target(at(1), view(0, 3))), [2]);
}

#[test]
fn silent_holds() {
    let mut admit = admit(1);
    for id in 0..3 {
        assert_eq!(started(&admit.submit(at(0), request(id, 500))), [id]);
    }
    admit.finish(at(100), 0, Completion::TimedOut);
    assert!(started(&admit.submit(at(100), request(3, 900))).is_empty());
    assert!(started(&admit.tick(at(499))).is_empty());
    assert_eq!(started(&admit.tick(at(520))), [3]);
}

#[test]
fn regained_lease() {
    let mut admit = admit(1);
    for id in 0..3 {
        admit.submit(at(0), request(id, 5_000));
    }
    admit.remove_target(at(1), &target_id(0));
    admit.set_target(at(2), view(0, 3));
    assert!(started(&admit.submit(at(3), request(9, 5_000))).is_empty());
}

#[test]
fn connection_bound() {
    let mut admit = Admission::new(AdmissionConfig::default(), 1);
    let mut held = view(0, 3);
    held.connections = 2;
    admit.set_target(at(0), held);
    assert!(admit.add_connection("t0"));
    assert!(admit.add_connection("t0"));
    assert!(!admit.add_connection("t0"));
    admit.remove_connection("t0");
    assert!(admit.add_connection("t0"));
    for id in 0..2 {
        assert_eq!(started(&admit.submit(at(0), request(id, 500))), [id]);
    }
    assert!(started(&admit.submit(at(0), request(2, 500))).is_empty());
}
