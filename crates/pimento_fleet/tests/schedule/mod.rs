//! Seeded schedules of targets that leave or pause, over several entry VMs: lost,
//! late and reordered messages; cuts from all others and from the control group
//! alone; restarts, freezes and dark times of VMs; and targets that are replaced
//! at their address by another name or by a later incarnation of their own.

use crate::world::{World, target, world};
use pimento_broker::RequestOutcome;
use pimento_core::Time;
use pimento_fleet::{PermitDecision, RequestReport, Role, TargetInfo};
use pimento_notices::{TargetNotice, TargetNotices};
use pimento_registry::{Stage, Target};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{sync::Arc, time::Duration};

const STEP: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);
/// How long a schedule lasts.
const LENGTH: Duration = Duration::from_secs(20);
/// The number of addresses of targets.
const ADDRESSES: usize = 3;

/// What happened in a schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests that reached a target.
    pub sent: u32,
    /// Attempts that the VM itself stopped after it had a permit.
    pub held: u32,
    /// Requests that reached a target after the VM had heard that it leaves.
    pub after_leaving: u32,
    /// Requests that reached a target in a pause that the VM had heard of.
    pub in_pause: u32,
    /// Requests that reached a target after it had said so to the VM while the VM
    /// took it for its predecessor of the same name.
    pub as_predecessor: u32,
    /// Requests that another target at the address refused.
    pub misdirected: u32,
    /// Targets whose name was taken by a later incarnation.
    pub reincarnations: u32,
    pub cuts: u32,
    pub control_cuts: u32,
    pub restarts: u32,
    pub freezes: u32,
    pub dark_times: u32,
}

impl Counts {
    /// How often a promise was broken.
    pub const fn broken(&self) -> u32 {
        self.after_leaving + self.in_pause
    }

    /// Whether each kind of trouble occurred.
    pub fn covers_all(&self) -> bool {
        let kinds = [
            self.held,
            self.misdirected,
            self.reincarnations,
            self.cuts,
            self.control_cuts,
            self.restarts,
            self.freezes,
            self.dark_times,
        ];
        kinds.iter().all(|count| *count > 0)
    }

    pub fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.held += other.held;
        self.after_leaving += other.after_leaving;
        self.in_pause += other.in_pause;
        self.as_predecessor += other.as_predecessor;
        self.misdirected += other.misdirected;
        self.reincarnations += other.reincarnations;
        self.cuts += other.cuts;
        self.control_cuts += other.control_cuts;
        self.restarts += other.restarts;
        self.freezes += other.freezes;
        self.dark_times += other.dark_times;
    }
}

/// What a VM has heard from one incarnation of a target.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    leaving: bool,
    paused_until: Time,
    /// The same, heard while the VM took it for its predecessor.
    as_predecessor: bool,
    predecessor_until: Time,
}

/// One incarnation of a target, as it really is.
struct Lifetime {
    state: Target,
    leaves_at: Time,
    /// When it reports that it leaves; it exits a second later.
    reports_at: Time,
    paused_until: Time,
    /// By VM.
    told: Vec<Told>,
}

enum Step {
    Waiting,
    /// Connects until then.
    Connecting(Time),
    /// The response of that lifetime arrives then.
    Running(Time, usize, TargetNotice),
}

struct Request {
    vm: usize,
    serial: u64,
    /// The target as the VM knew it when the permit arrived.
    target: Option<Arc<TargetInfo>>,
    step: Step,
}

pub struct Schedule {
    world: World,
    rng: SmallRng,
    vms: Vec<usize>,
    /// What each VM has heard; the gateway asks it in the same two places.
    notices: Vec<TargetNotices>,
    lifetimes: Vec<Lifetime>,
    requests: Vec<Request>,
    serial: u64,
    counts: Counts,
}

impl Schedule {
    /// Runs the schedule of a seed.
    pub fn run(seed: u64) -> Counts {
        let mut schedule = Self::new(seed);
        let end = schedule.world.now + LENGTH;
        while schedule.world.now < end {
            schedule.step();
        }
        schedule.counts
    }

    fn new(seed: u64) -> Self {
        let mut world = world(3, 6, seed);
        world.set_items(1);
        world.run(3 * SECOND);
        let vms = world.with_role(Role::Entry);
        let mut schedule = Self {
            rng: SmallRng::seed_from_u64(seed),
            notices: vec![TargetNotices::default(); vms.len()],
            vms,
            world,
            lifetimes: Vec::new(),
            requests: Vec::new(),
            serial: 0,
            counts: Counts::default(),
        };
        for address in 0..ADDRESSES {
            schedule.start_target(address, &format!("t{address}"));
        }
        schedule.world.run(SECOND);
        schedule
    }

    fn step(&mut self) {
        self.world.run(STEP);
        self.change_network();
        self.change_vms();
        self.change_targets();
        for vm in 0..self.vms.len() {
            let process = &self.world.processes[self.vms[vm]];
            if process.alive && !process.frozen {
                self.run_vm(vm);
            }
        }
    }

    /// Starts a target; its incarnations are numbered over all targets.
    fn start_target(&mut self, address: usize, name: &str) {
        let state = Target {
            incarnation: self.lifetimes.len() as u64 + 1,
            address: format!("10.1.0.{address}:80"),
            ..target(name, Stage::Ready, 1)
        };
        let leaves_at = self.world.now + SECOND.mul_f64(self.rng.random_range(3.0..9.0));
        self.world.report(0, &state);
        self.lifetimes.push(Lifetime {
            state,
            leaves_at,
            reports_at: leaves_at + SECOND.mul_f64(self.rng.random_range(0.2..2.0)),
            paused_until: Time::ZERO,
            told: vec![Told::default(); self.vms.len()],
        });
    }

    /// Loses, delays and reorders messages, and cuts VMs off.
    fn change_network(&mut self) {
        if self.rng.random_bool(0.05) {
            self.world.loss = self.rng.random_range(0.0..0.3);
            self.world.delay = Duration::from_millis(self.rng.random_range(0..120));
            self.world.jitter = Duration::from_millis(self.rng.random_range(0..80));
        }
        let vm = self.random_vm();
        let process = &mut self.world.processes[self.vms[vm]];
        if self.rng.random_bool(0.01) {
            // VMs of one partition still reach each other.
            process.partition = self.rng.random_range(0..3);
            self.counts.cuts += u32::from(process.partition > 0);
        }
        if self.rng.random_bool(0.01) {
            let is_cut = process.cut_from.is_some();
            process.cut_from = (!is_cut).then_some(Role::Control);
            self.counts.control_cuts += u32::from(!is_cut);
        }
    }

    /// Restarts VMs, freezes and wakes them, and makes them dark for a while.
    fn change_vms(&mut self) {
        let vm = self.random_vm();
        let process = &mut self.world.processes[self.vms[vm]];
        if self.rng.random_bool(0.005) {
            process.alive = !process.alive;
            self.counts.dark_times += u32::from(!process.alive);
        }
        if self.rng.random_bool(0.005) {
            process.frozen = !process.frozen;
            self.counts.freezes += u32::from(process.frozen);
        }
        if self.rng.random_bool(0.002) {
            self.restart(vm);
        }
    }

    /// Restarts a VM, which forgets what it has heard.
    fn restart(&mut self, vm: usize) {
        self.world.restart(self.vms[vm]);
        self.notices[vm] = TargetNotices::default();
        self.requests.retain(|r| r.vm != vm);
        for lifetime in &mut self.lifetimes {
            lifetime.told[vm] = Told::default();
        }
        self.counts.restarts += 1;
    }

    fn random_vm(&mut self) -> usize {
        self.rng.random_range(0..self.vms.len())
    }

    fn change_targets(&mut self) {
        let now = self.world.now;
        for i in 0..self.lifetimes.len() {
            let lifetime = &mut self.lifetimes[i];
            let stage = lifetime.state.stage;
            if stage < Stage::Gone as i32 && self.rng.random_bool(0.002) {
                let pause = SECOND.mul_f64(self.rng.random_range(0.3..2.5));
                lifetime.paused_until = now + pause;
            }
            let next = match stage {
                0 if now >= lifetime.reports_at => Stage::Draining,
                1 if now >= lifetime.reports_at + SECOND => Stage::Gone,
                _ => continue,
            };
            lifetime.state.stage = next as i32;
            lifetime.state.seq += 1;
            let report = lifetime.state.clone();
            self.world.report(0, &report);
            if next == Stage::Gone {
                self.replace(i, report.id);
            }
        }
    }

    /// Starts another target at the address of one that has exited: a new name,
    /// or a later incarnation of the same one.
    fn replace(&mut self, lifetime: usize, name: String) {
        let address = self.lifetimes[lifetime].state.address.clone();
        let address = (0..ADDRESSES).find(|a| address == format!("10.1.0.{a}:80"));
        let same = self.rng.random_bool(0.5);
        self.counts.reincarnations += u32::from(same);
        let name = if same {
            name
        } else {
            format!("t{}", self.lifetimes.len())
        };
        self.start_target(address.unwrap_or_default(), &name);
    }

    fn run_vm(&mut self, vm: usize) {
        self.forget_old_notices(vm);
        if self.rng.random_bool(0.1) {
            self.serial += 1;
            self.world.request_permit(self.vms[vm], self.serial);
            self.requests.push(Request {
                vm,
                serial: self.serial,
                target: None,
                step: Step::Waiting,
            });
        }
        let process = &mut self.world.processes[self.vms[vm]];
        for (serial, decision) in std::mem::take(&mut process.decisions) {
            self.handle_decision(vm, serial, &decision);
        }
        let now = self.world.now;
        let is_due = |r: &mut Request| {
            let due = match r.step {
                Step::Waiting => return false,
                Step::Connecting(at) | Step::Running(at, ..) => at,
            };
            r.vm == vm && due <= now
        };
        let due: Vec<_> = self.requests.extract_if(.., is_due).collect();
        for request in due {
            let Some(target) = request.target else {
                continue;
            };
            match request.step {
                Step::Waiting => {}
                Step::Connecting(_) => self.send(vm, request.serial, target),
                Step::Running(_, lifetime, notice) => {
                    self.answer(vm, request.serial, &target, lifetime, notice);
                }
            }
        }
    }

    fn forget_old_notices(&mut self, vm: usize) {
        let notices = &mut self.notices[vm];
        if notices.is_empty() {
            return;
        }
        notices.take_ended(self.world.now);
        let view = self.world.processes[self.vms[vm]].fleet.view();
        for target in view.targets.all() {
            notices.forget_others(&target.id, target.incarnation);
        }
    }

    fn handle_decision(&mut self, vm: usize, serial: u64, decision: &PermitDecision) {
        let is_same = |r: &mut Request| r.vm == vm && r.serial == serial;
        let found = self.requests.extract_if(.., is_same).next();
        let (Some(_), PermitDecision::Grant(id)) = (found, decision) else {
            return;
        };
        let process = &mut self.world.processes[self.vms[vm]];
        let Some(target) = process.fleet.view().target(id).map(Arc::clone) else {
            let report = &RequestReport::CANCELLED;
            return self.world.release_permit(self.vms[vm], serial, report);
        };
        if self.is_held(vm, &target) {
            return self.release(vm, serial, &target, RequestOutcome::Cancelled);
        }
        let connecting = Duration::from_millis(self.rng.random_range(0..300));
        self.requests.push(Request {
            vm,
            serial,
            target: Some(target),
            step: Step::Connecting(self.world.now + connecting),
        });
    }

    fn is_held(&mut self, vm: usize, target: &TargetInfo) -> bool {
        let hold = self.notices[vm].hold(self.world.now, &target.id, target.incarnation);
        self.counts.held += u32::from(hold.is_some());
        hold.is_some()
    }

    /// The connection is open: sends the request, unless the VM has heard that
    /// the target wants none.
    fn send(&mut self, vm: usize, serial: u64, target: Arc<TargetInfo>) {
        if self.is_held(vm, &target) {
            return self.release(vm, serial, &target, RequestOutcome::Cancelled);
        }
        let now = self.world.now;
        let address = target.address.to_string();
        let at_address = |l: &Lifetime| l.state.address == address;
        let Some(i) = self.lifetimes.iter().rposition(at_address) else {
            return;
        };
        let lifetime = &self.lifetimes[i];
        if *lifetime.state.id != *target.id {
            self.counts.misdirected += 1;
            return self.release(vm, serial, &target, RequestOutcome::Replaced);
        }
        let told = lifetime.told[vm];
        self.counts.sent += 1;
        self.counts.after_leaving += u32::from(told.leaving);
        self.counts.in_pause += u32::from(now < told.paused_until);
        let as_predecessor = told.as_predecessor || now < told.predecessor_until;
        self.counts.as_predecessor += u32::from(as_predecessor);
        let left = lifetime.paused_until.since(now);
        let notice = TargetNotice {
            leaving: now >= lifetime.leaves_at,
            pause: (!left.is_zero()).then_some(left),
            limit: None,
        };
        let run_time = if left.is_zero() { 20..300 } else { 5..20 };
        let run_time = Duration::from_millis(self.rng.random_range(run_time));
        self.requests.push(Request {
            vm,
            serial,
            target: Some(target),
            step: Step::Running(now + run_time, i, notice),
        });
    }

    fn answer(
        &mut self,
        vm: usize,
        serial: u64,
        target: &TargetInfo,
        lifetime: usize,
        notice: TargetNotice,
    ) {
        let now = self.world.now;
        let lifetime = &mut self.lifetimes[lifetime];
        let told = &mut lifetime.told[vm];
        let paused_until = notice.pause.map_or(Time::ZERO, |pause| now + pause);
        if lifetime.state.incarnation == target.incarnation {
            told.leaving |= notice.leaving;
            told.paused_until = told.paused_until.max(paused_until);
        } else {
            told.as_predecessor |= notice.leaving;
            told.predecessor_until = told.predecessor_until.max(paused_until);
        }
        let outcome = if notice.pause.is_some() {
            RequestOutcome::Shed
        } else {
            RequestOutcome::Answered
        };
        let id = Arc::from(&*target.id);
        self.notices[vm].record(now, &id, target.incarnation, notice);
        self.release(vm, serial, target, outcome);
    }

    fn release(&mut self, vm: usize, serial: u64, target: &TargetInfo, outcome: RequestOutcome) {
        let notices = &self.notices[vm];
        let report = RequestReport {
            outcome,
            took: Duration::from_millis(100),
            load: None,
            cold: None,
            notice: notices.notice(self.world.now, &target.id, target.incarnation),
        };
        self.world.release_permit(self.vms[vm], serial, &report);
    }
}
