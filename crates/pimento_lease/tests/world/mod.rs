//! Simulates a target and some entry VMs in virtual time, with faults drawn
//! from a seed.
//!
//! Each process has its own clock. Messages are lost, duplicated and delayed
//! for seconds; processes pause and restart; entry VMs disagree on which VMs
//! are live. After each step, the simulation counts how many VMs may send to
//! the target.

use super::common::{candidate, config, target};
use pimento_core::{TargetId, Time};
use pimento_lease::{
    AnnounceReply, Announcement, Announcer, Candidate, LeaseRelease, Leases, Token,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, time::Duration};

/// The simulated time between steps, in microseconds.
const STEP_MICROS: u64 = 5_000;

/// How long a target waits for a reply, in microseconds of simulated time. With
/// the short timeout it often gives up on a holder whose lease is still valid
/// for long.
const REPLY_TIMEOUTS_MICROS: [u64; 2] = [500_000, 50_000];

/// The maximum delay of a message, in microseconds.
const MAX_DELAY_MICROS: u64 = 5_000_000;

/// A deliberate fault in the rules, which the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// A new holder doesn't wait: each VM believes that the former holder
    /// released the lease.
    NoWait,
    /// The lease term starts when an echo is received: each echo counts as one
    /// of a serial that was issued just now.
    FromReceipt,
    /// A target keeps the reply that arrived last, even if it has an older
    /// epoch.
    OldEpoch,
}

/// The rates of injected faults and clock drift.
#[derive(Clone, Copy, Debug)]
pub struct Chaos {
    /// The percentage of messages that are lost.
    pub lost: u32,
    /// The percentage of messages that are delayed, by up to the maximum delay.
    pub delayed: u32,
    /// The percentage of messages that are duplicated.
    pub duplicates: u32,
    /// The mean simulated time between process faults, in milliseconds; zero
    /// for no faults.
    pub fault_interval: u64,
    /// How much faster one clock may run than another, in percent.
    pub drift: u32,
}

impl Chaos {
    /// All kinds of faults.
    pub const FULL: Self = Self {
        lost: 10,
        delayed: 10,
        duplicates: 10,
        fault_interval: 1_500,
        drift: 5,
    };

    /// No faults except clock drift.
    pub const NONE: Self = Self {
        lost: 0,
        delayed: 0,
        duplicates: 0,
        fault_interval: 0,
        drift: 5,
    };
}

enum Event {
    Announce {
        vm: usize,
        number: u64,
        ann: Announcement,
    },
    Reply {
        number: u64,
        target_incarnation: u64,
        reply: AnnounceReply,
    },
    Release {
        vm: usize,
        release: LeaseRelease,
    },
}

struct Vm {
    leases: Leases,
    clock: Clock,
    incarnation: u64,
    /// Until when the process is down and loses its messages, in simulated
    /// microseconds.
    down_until: u64,
    /// Until when the process is paused and its messages wait, in simulated
    /// microseconds.
    paused_until: u64,
    live: Vec<Candidate>,
}

#[derive(Clone, Copy)]
struct Clock {
    /// The reading at the start of the simulation, in microseconds.
    offset: u64,
    /// How much faster it runs than simulated time, in percent.
    percent: f64,
}

impl Clock {
    fn read(&self, sim_time: u64) -> Time {
        let passed = sim_time as f64 * (1.0 + self.percent / 100.0);
        Time::from_micros(self.offset + passed as u64)
    }
}

pub struct World {
    /// The simulated time, in microseconds.
    pub sim_time: u64,
    pub chaos: Chaos,
    /// The number of steps at which two or more VMs could send to the target.
    pub overlaps: u64,
    /// How often the VM that could send changed.
    pub changes: u64,
    /// The VM that could send most recently.
    pub sender: Option<usize>,
    /// The number of steps at which at least one VM could send.
    pub served: u64,
    rule_fault: Fault,
    /// How long the target waits for a reply, in microseconds.
    reply_timeout: u64,
    rng: SmallRng,
    vms: Vec<Vm>,
    target: Announcer,
    clock: Clock,
    target_incarnation: u64,
    paused_until: u64,
    /// The number of the announcement that awaits its reply, and when it times
    /// out.
    pending: Option<(u64, u64)>,
    last_number: u64,
    /// The last reply, which a target with the fault `OldEpoch` keeps.
    last_reply: Option<(Token, SocketAddr)>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Vec<Option<Event>>,
}

impl World {
    pub fn new(vms: usize, chaos: Chaos, fault: Fault, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let live: Vec<_> = (0..vms as u16).map(candidate).collect();
        let vms = (0..vms as u16).map(|vm| Vm {
            leases: Leases::new(config(vm, 1)),
            clock: clock(&mut rng, chaos.drift),
            incarnation: 1,
            down_until: 0,
            paused_until: 0,
            live: live.clone(),
        });
        let vms: Vec<_> = vms.collect();
        Self {
            sim_time: 0,
            chaos,
            overlaps: 0,
            changes: 0,
            sender: None,
            served: 0,
            rule_fault: fault,
            reply_timeout: REPLY_TIMEOUTS_MICROS[(seed % 2) as usize],
            target: target(1, 0..vms.len() as u16),
            clock: clock(&mut rng, chaos.drift),
            vms,
            rng,
            target_incarnation: 1,
            paused_until: 0,
            pending: None,
            last_number: 0,
            last_reply: None,
            queue: BinaryHeap::new(),
            events: Vec::new(),
        }
    }

    /// Runs for a number of milliseconds of simulated time.
    pub fn run(&mut self, millis: u64) {
        let end = self.sim_time + millis * 1_000;
        while self.sim_time < end {
            self.sim_time += STEP_MICROS;
            self.inject_fault();
            self.deliver();
            self.run_target();
            self.run_vms();
            self.count_senders();
        }
    }

    /// Randomly draws which VMs each VM believes to be live.
    pub fn shuffle_live(&mut self) {
        let all = self.vms.len() as u16;
        for vm in 0..self.vms.len() {
            let live = (0..all).filter(|_| self.rng.random_bool(0.6));
            self.vms[vm].live = live.map(candidate).collect();
        }
    }

    /// Ends all faults; every entry VM sees which VMs are live.
    pub fn end_faults(&mut self) {
        self.chaos = Chaos::NONE;
        let all: Vec<_> = (0..self.vms.len() as u16).map(candidate).collect();
        for vm in &mut self.vms {
            (vm.down_until, vm.paused_until) = (0, 0);
            vm.live.clone_from(&all);
        }
        self.paused_until = 0;
    }

    fn inject_fault(&mut self) {
        let mean_steps = self.chaos.fault_interval * 1_000 / STEP_MICROS;
        if mean_steps == 0 || self.rng.random_range(0..mean_steps) > 0 {
            return;
        }
        let vm = self.rng.random_range(0..self.vms.len());
        let span = self.rng.random_range(0..4_000_000);
        match self.rng.random_range(0..10) {
            0 | 1 => self.vms[vm].paused_until = self.sim_time + span,
            2 => self.restart(vm, span),
            3 => self.restart_target(),
            4 => self.paused_until = self.sim_time + span,
            5..=7 => self.shuffle_live(),
            8 => self.release(vm),
            _ => self.release(self.sender.unwrap_or(vm)),
        }
    }

    fn restart(&mut self, vm: usize, span: u64) {
        let restarted = &mut self.vms[vm];
        restarted.incarnation += 1;
        restarted.down_until = self.sim_time + span;
        restarted.leases = Leases::new(config(vm as u16, restarted.incarnation));
    }

    fn restart_target(&mut self) {
        self.target_incarnation += 1;
        self.target = target(self.target_incarnation, 0..self.vms.len() as u16);
        self.pending = None;
        self.last_reply = None;
    }

    /// Lets a VM release its lease, if it holds one.
    fn release(&mut self, vm: usize) {
        if self.sim_time < self.vms[vm].down_until.max(self.vms[vm].paused_until) {
            return;
        }
        let now = self.vms[vm].clock.read(self.sim_time);
        let live = self.vms[vm].live.clone();
        let released = self.vms[vm].leases.release(now, &target_id(), 0, &live);
        if let Some((to, release)) = released {
            let vm = (0..self.vms.len()).find(|vm| candidate(*vm as u16) == to);
            let vm = vm.expect("a known VM");
            self.send(|| Event::Release {
                vm,
                release: release.clone(),
            });
        }
    }

    fn send(&mut self, event: impl Fn() -> Event) {
        let mut copies = 1;
        copies += u32::from(self.draw_percent(self.chaos.duplicates));
        copies -= u32::from(self.draw_percent(self.chaos.lost));
        for _ in 0..copies {
            let slow = self.draw_percent(self.chaos.delayed);
            let max_delay = if slow { MAX_DELAY_MICROS } else { 20_000 };
            let at = self.sim_time + self.rng.random_range(500..max_delay);
            self.schedule(at, event());
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.queue.push(Reverse((at, self.events.len() as u64)));
        self.events.push(Some(event));
    }

    fn draw_percent(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, i))) = self.queue.peek().copied() {
            if at > self.sim_time {
                return;
            }
            self.queue.pop();
            let event = self.events[i as usize].take().expect("delivered once");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Announce { vm, .. } | Event::Release { vm, .. }
                if self.sim_time < self.vms[vm].down_until => {}
            Event::Announce { vm, .. } | Event::Release { vm, .. }
                if self.sim_time < self.vms[vm].paused_until =>
            {
                self.schedule(self.vms[vm].paused_until + 1, event);
            }
            Event::Reply {
                target_incarnation, ..
            } if target_incarnation != self.target_incarnation => {}
            Event::Reply { .. } if self.sim_time < self.paused_until => {
                self.schedule(self.paused_until + 1, event);
            }
            Event::Announce { vm, number, ann } => self.on_announce(vm, number, ann),
            Event::Release { vm, release } => {
                let now = self.vms[vm].clock.read(self.sim_time);
                self.vms[vm].leases.accept_release(now, release);
            }
            Event::Reply { number, reply, .. } => self.on_reply(number, reply),
        }
    }

    fn on_announce(&mut self, vm: usize, number: u64, mut ann: Announcement) {
        let Vm {
            leases,
            clock,
            live,
            incarnation,
            ..
        } = &mut self.vms[vm];
        let now = clock.read(self.sim_time);
        let vm_id = candidate(vm as u16).vm;
        if let (Fault::NoWait, Some(token)) = (self.rule_fault, &ann.token)
            && (&token.holder, token.instance) != (&vm_id, *incarnation)
        {
            leases.accept_release(now, forge_release(&ann, token));
        }
        let (mut reply, _) = leases.handle_announcement(now, &ann, live);
        let echoed = ann.token.as_ref().map(|t| (t.epoch, t.instance, &t.holder));
        let fresh = &reply.token;
        if self.rule_fault == Fault::FromReceipt
            && echoed == Some((fresh.epoch, fresh.instance, &fresh.holder))
        {
            ann.token = Some(fresh.clone());
            (reply, _) = leases.handle_announcement(now, &ann, live);
        }
        let target_incarnation = ann.instance;
        self.send(|| Event::Reply {
            number,
            target_incarnation,
            reply: reply.clone(),
        });
    }

    fn on_reply(&mut self, number: u64, reply: AnnounceReply) {
        if self.pending.is_some_and(|(n, _)| n == number) {
            self.pending = None;
        }
        self.last_reply = Some((reply.token.clone(), reply.holder));
        self.target
            .handle_reply(self.clock.read(self.sim_time), reply);
    }

    fn run_target(&mut self) {
        if self.sim_time < self.paused_until {
            return;
        }
        let now = self.clock.read(self.sim_time);
        if self
            .pending
            .is_some_and(|(_, timeout)| timeout <= self.sim_time)
        {
            self.pending = None;
            self.target.handle_failure(now);
        }
        let Some((mut to, mut ann)) = self.target.next_announcement(now) else {
            return;
        };
        if let (Fault::OldEpoch, Some((token, holder))) = (self.rule_fault, &self.last_reply) {
            ann.token = (token.epoch > 0).then(|| token.clone());
            to = *holder;
        }
        self.last_number += 1;
        let number = self.last_number;
        self.pending = Some((number, self.sim_time + self.reply_timeout));
        let vm = (0..self.vms.len()).find(|vm| candidate(*vm as u16).listener == to);
        let vm = vm.expect("a known listener");
        self.send(|| Event::Announce {
            vm,
            number,
            ann: ann.clone(),
        });
    }

    fn run_vms(&mut self) {
        for vm in &mut self.vms {
            if self.sim_time >= vm.down_until.max(vm.paused_until) {
                vm.leases.tick(vm.clock.read(self.sim_time));
            }
        }
    }

    /// Counts the VMs that may send; a paused VM counts by its own clock.
    fn count_senders(&mut self) {
        let sim_time = self.sim_time;
        let may_send = |vm: &Vm| {
            let now = vm.clock.read(sim_time);
            sim_time >= vm.down_until && vm.leases.send_deadline(now, &target_id()).is_some()
        };
        let senders = (0..self.vms.len()).filter(|vm| may_send(&self.vms[*vm]));
        let senders: Vec<_> = senders.collect();
        self.overlaps += u64::from(senders.len() > 1);
        self.served += u64::from(!senders.is_empty());
        if let [sender, ..] = senders[..]
            && self.sender != Some(sender)
        {
            self.changes += u64::from(self.sender.is_some());
            self.sender = Some(sender);
        }
    }

    /// Whether at least one VM may send now.
    pub fn is_served(&self) -> bool {
        let vm_time = |vm: &Vm| vm.clock.read(self.sim_time);
        let mut vms = self.vms.iter();
        vms.any(|vm| vm.leases.send_deadline(vm_time(vm), &target_id()).is_some())
    }
}

fn target_id() -> TargetId {
    "t1".parse().expect("a valid name")
}

fn clock(rng: &mut SmallRng, drift: u32) -> Clock {
    // The limits of the range are as likely as all values in between.
    let percent = match rng.random_range(0..3) {
        0 => 0.0,
        1 => f64::from(drift),
        _ => rng.random_range(0.0..=f64::from(drift)),
    };
    let offset = rng.random_range(0..Duration::from_secs(1_000).as_micros() as u64);
    Clock { offset, percent }
}

fn forge_release(ann: &Announcement, token: &Token) -> LeaseRelease {
    LeaseRelease {
        target: ann.target.to_string(),
        target_incarnation: ann.instance,
        epoch: token.epoch,
        holder: token.holder.to_string(),
        holder_incarnation: token.instance,
        used_slots: 0,
        drained: false,
    }
}
