//! A target that names the requests per second that it takes, under more load
//! than that from several entry VMs while these restart, freeze and lose
//! datagrams.

mod world;

use pimento_core::Time;
use pimento_fleet::{PermitDecision, RequestReport, Role};
use pimento_notices::{RequestRate, StatedLimit, TargetNotice};
use pimento_registry::Stage;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;
use world::{World, target, world};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(20);
const RUN_TIME: Duration = Duration::from_millis(100);
const WINDOW: Duration = Duration::from_secs(4);
/// How long a limit need not be kept after it was first named.
const LIMIT_GRACE: Duration = Duration::from_secs(3);
/// The permits per second that all entry VMs request.
const LOAD: f64 = 30.0;

/// A fault that strikes a random entry VM.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Restart,
    Freeze,
    LossOfDatagrams,
}

struct Running {
    serial: u64,
    vm: usize,
    ends_at: Time,
}

struct Load {
    world: World,
    rng: SmallRng,
    /// In requests per second.
    limit: f64,
    waiting: Vec<(u64, usize)>,
    running: Vec<Running>,
    sent: Vec<Time>,
    first_named: Option<Time>,
}

impl Load {
    fn new(seed: u64, limit: f64) -> Self {
        let mut world = world(3, 6, seed);
        world.set_items(1);
        world.run(3 * SECOND);
        world.report(0, &target("t", Stage::Ready, 1));
        world.run(SECOND);
        Self {
            world,
            rng: SmallRng::seed_from_u64(seed),
            limit,
            waiting: Vec::new(),
            running: Vec::new(),
            sent: Vec::new(),
            first_named: None,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.request();
            self.world.run(STEP);
            self.start_runs();
            self.end_runs();
        }
    }

    fn request(&mut self) {
        if !self.rng.random_bool(LOAD * STEP.as_secs_f64()) {
            return;
        }
        let entries = self.world.with_role(Role::Entry);
        let vm = entries[self.rng.random_range(0..entries.len())];
        if !self.world.processes[vm].frozen {
            let serial = self.rng.random();
            self.world.request_permit(vm, serial);
            self.waiting.push((serial, vm));
        }
    }

    fn start_runs(&mut self) {
        for (serial, vm) in std::mem::take(&mut self.waiting) {
            match self.world.decision(vm, serial) {
                Some(PermitDecision::Grant(_)) => {
                    let ends_at = self.world.now + RUN_TIME;
                    self.sent.push(self.world.now);
                    self.running.push(Running {
                        serial,
                        vm,
                        ends_at,
                    });
                }
                Some(PermitDecision::Refuse(_)) => {}
                None => self.waiting.push((serial, vm)),
            }
        }
    }

    fn end_runs(&mut self) {
        let now = self.world.now;
        let ended: Vec<_> = self.running.extract_if(.., |r| r.ends_at <= now).collect();
        for Running { serial, vm, .. } in ended {
            self.first_named.get_or_insert(now);
            let limit = StatedLimit {
                rate: RequestRate::parse(&self.limit.to_string()),
                age: Duration::ZERO,
            };
            let notice = TargetNotice {
                limit: Some(limit),
                ..TargetNotice::NONE
            };
            let report = RequestReport {
                notice,
                ..RequestReport::CANCELLED
            };
            self.world.release_permit(vm, serial, &report);
        }
    }

    fn strike(&mut self, fault: Fault) {
        let entries = self.world.with_role(Role::Entry);
        let vm = entries[self.rng.random_range(0..entries.len())];
        match fault {
            Fault::Restart => {
                // The target's answers to its requests are lost with it.
                self.waiting.retain(|(_, other)| *other != vm);
                self.running.retain(|r| r.vm != vm);
                self.world.restart(vm);
            }
            Fault::Freeze => self.world.processes[vm].frozen = true,
            Fault::LossOfDatagrams => self.world.loss = 0.1,
        }
        self.run(2 * SECOND);
        self.world.processes[vm].frozen = false;
        self.world.loss = 0.0;
        self.run(4 * SECOND);
    }

    /// Fails if some window has more requests than the target may get.
    fn check(&self, case: &str) {
        let from = self.first_named.expect("the target answered") + LIMIT_GRACE;
        let allowed = (1.5 * self.limit * WINDOW.as_secs_f64() + 5.0) as usize;
        for start in self.sent.iter().filter(|at| **at >= from) {
            let inside = |at: &&Time| **at >= *start && **at < *start + WINDOW;
            let count = self.sent.iter().filter(inside).count();
            assert!(count <= allowed, "{case}: {count} at {start:?}");
        }
    }
}

#[test]
fn limit_binds_all_vms_together() {
    for limit in [0.5, 1.0, 3.4, 8.0] {
        let mut load = Load::new(1, limit);
        load.run(20 * SECOND);
        load.check(&format!("limit {limit}"));
        let sent = load.sent.len() as f64 / 20.0;
        assert!(sent > limit * 0.9, "limit {limit}: {sent} a second");
    }
}

#[test]
fn limit_outlasts_faults() {
    for seed in 0..30 {
        for limit in [0.5, 3.4, 8.0] {
            let mut load = Load::new(seed, limit);
            load.run(6 * SECOND);
            for fault in [Fault::Restart, Fault::Freeze, Fault::LossOfDatagrams] {
                load.strike(fault);
                load.check(&format!("seed {seed}, limit {limit}, {fault:?}"));
            }
        }
    }
}
