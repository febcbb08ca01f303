//! A target and some entry VMs in virtual time, with faults from a seed.
//!
//! Each process has a clock of its own. Messages are lost, repeated and held
//! back for seconds; processes pause and restart; entry VMs disagree on who
//! lives. After each step the world counts who may send to the target.

use super::common::{candidate, config, target};
use pimento_core::{TargetId, Time};
use pimento_lease::{
    AnnounceReply, Announcement, Announcer, Candidate, LeaseRelease, Leases, Token,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddr, time::Duration};

/// The real time between steps, in microseconds.
const STEP: u64 = 5_000;

/// How long a target waits for a reply, in microseconds of real time. With the
/// short wait it often leaves a holder whose lease has long to run.
const LIMITS: [u64; 2] = [500_000, 50_000];

/// The longest delay of a message, in microseconds.
const DELAY: u64 = 5_000_000;

/// A deliberate fault in the rules, which the checks must find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The rules as they are.
    None,
    /// A new holder doesn't wait: each VM believes that the former holder
    /// released the lease.
    NoWait,
    /// A lease runs from the receipt of an echo: each echo counts as one of a
    /// serial that was issued just now.
    FromReceipt,
    /// A target keeps whichever reply comes last, be it of an older epoch.
    OldEpoch,
}

/// What the world does to its processes.
#[derive(Clone, Copy, Debug)]
pub struct Chaos {
    /// Messages lost, in percent.
    pub loss: u32,
    /// Messages held back for up to the longest delay, in percent.
    pub slow: u32,
    /// Messages delivered twice, in percent.
    pub twice: u32,
    /// The mean real time between faults of processes, in milliseconds; zero
    /// for none.
    pub fault: u64,
    /// The most by which one clock runs faster than another, in percent.
    pub drift: u32,
}

impl Chaos {
    /// Everything at once.
    pub const FULL: Self = Self {
        loss: 10,
        slow: 10,
        twice: 10,
        fault: 1_500,
        drift: 5,
    };

    /// A quiet domain.
    pub const NONE: Self = Self {
        loss: 0,
        slow: 0,
        twice: 0,
        fault: 0,
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
        life: u64,
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
    instance: u64,
    /// The process neither runs nor gets messages until then.
    down: u64,
    /// The process doesn't run until then; its messages wait.
    paused: u64,
    live: Vec<Candidate>,
}

#[derive(Clone, Copy)]
struct Clock {
    offset: u64,
    percent: f64,
}

impl Clock {
    fn read(&self, real: u64) -> Time {
        let passed = real as f64 * (1.0 + self.percent / 100.0);
        Time::from_micros(self.offset + passed as u64)
    }
}

pub struct World {
    pub real: u64,
    pub chaos: Chaos,
    /// Steps at which two VMs could send to the target.
    pub overlaps: u64,
    /// How often another VM than the last came to send.
    pub changes: u64,
    /// The VM that last could send.
    pub sender: Option<usize>,
    /// Steps at which some VM could send.
    pub served: u64,
    fault: Fault,
    limit: u64,
    rng: SmallRng,
    vms: Vec<Vm>,
    target: Announcer,
    clock: Clock,
    life: u64,
    paused: u64,
    /// The announcement that waits for its reply: its number and limit.
    waiting: Option<(u64, u64)>,
    numbers: u64,
    /// What a target with the last fault keeps.
    last: Option<(Token, SocketAddr)>,
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
            instance: 1,
            down: 0,
            paused: 0,
            live: live.clone(),
        });
        let vms: Vec<_> = vms.collect();
        Self {
            real: 0,
            chaos,
            overlaps: 0,
            changes: 0,
            sender: None,
            served: 0,
            fault,
            limit: LIMITS[(seed % 2) as usize],
            target: target(1, 0..vms.len() as u16),
            clock: clock(&mut rng, chaos.drift),
            vms,
            rng,
            life: 1,
            paused: 0,
            waiting: None,
            numbers: 0,
            last: None,
            queue: BinaryHeap::new(),
            events: Vec::new(),
        }
    }

    /// Runs for some milliseconds of real time.
    pub fn run(&mut self, millis: u64) {
        let end = self.real + millis * 1_000;
        while self.real < end {
            self.real += STEP;
            self.strike();
            self.deliver();
            self.run_target();
            self.run_vms();
            self.check();
        }
    }

    /// Draws anew which VMs each VM believes to live.
    pub fn disagree(&mut self) {
        let all = self.vms.len() as u16;
        for vm in 0..self.vms.len() {
            let live = (0..all).filter(|_| self.rng.random_bool(0.6));
            self.vms[vm].live = live.map(candidate).collect();
        }
    }

    /// Ends all faults; entry VMs see who lives.
    pub fn calm(&mut self) {
        self.chaos = Chaos::NONE;
        let all: Vec<_> = (0..self.vms.len() as u16).map(candidate).collect();
        for vm in &mut self.vms {
            (vm.down, vm.paused) = (0, 0);
            vm.live.clone_from(&all);
        }
        self.paused = 0;
    }

    fn strike(&mut self) {
        let mean = self.chaos.fault * 1_000 / STEP;
        if mean == 0 || self.rng.random_range(0..mean) > 0 {
            return;
        }
        let vm = self.rng.random_range(0..self.vms.len());
        let span = self.rng.random_range(0..4_000_000);
        match self.rng.random_range(0..10) {
            0 | 1 => self.vms[vm].paused = self.real + span,
            2 => self.restart(vm, span),
            3 => self.restart_target(),
            4 => self.paused = self.real + span,
            5..=7 => self.disagree(),
            8 => self.release(vm),
            _ => self.release(self.sender.unwrap_or(vm)),
        }
    }

    fn restart(&mut self, vm: usize, span: u64) {
        let old = &mut self.vms[vm];
        old.instance += 1;
        old.down = self.real + span;
        old.leases = Leases::new(config(vm as u16, old.instance));
    }

    fn restart_target(&mut self) {
        self.life += 1;
        self.target = target(self.life, 0..self.vms.len() as u16);
        self.waiting = None;
        self.last = None;
    }

    /// Lets a VM hand its lease over, if it has one.
    fn release(&mut self, vm: usize) {
        if self.real < self.vms[vm].down.max(self.vms[vm].paused) {
            return;
        }
        let now = self.vms[vm].clock.read(self.real);
        let live = self.vms[vm].live.clone();
        let released = self.vms[vm].leases.release(now, &t1(), 0, &live);
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
        copies += u32::from(self.chance(self.chaos.twice));
        copies -= u32::from(self.chance(self.chaos.loss));
        for _ in 0..copies {
            let slow = self.chance(self.chaos.slow);
            let limit = if slow { DELAY } else { 20_000 };
            let at = self.real + self.rng.random_range(500..limit);
            self.put(at, event());
        }
    }

    fn put(&mut self, at: u64, event: Event) {
        self.queue.push(Reverse((at, self.events.len() as u64)));
        self.events.push(Some(event));
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, i))) = self.queue.peek().copied() {
            if at > self.real {
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
                if self.real < self.vms[vm].down => {}
            Event::Announce { vm, .. } | Event::Release { vm, .. }
                if self.real < self.vms[vm].paused =>
            {
                self.put(self.vms[vm].paused + 1, event);
            }
            Event::Reply { life, .. } if life != self.life => {}
            Event::Reply { .. } if self.real < self.paused => self.put(self.paused + 1, event),
            Event::Announce { vm, number, ann } => self.on_announce(vm, number, ann),
            Event::Release { vm, release } => {
                let now = self.vms[vm].clock.read(self.real);
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
            instance,
            ..
        } = &mut self.vms[vm];
        let now = clock.read(self.real);
        let me = candidate(vm as u16).vm;
        if let (Fault::NoWait, Some(token)) = (self.fault, &ann.token)
            && (&token.holder, token.instance) != (&me, *instance)
        {
            leases.accept_release(now, forged(&ann, token));
        }
        let (mut reply, _) = leases.handle_announcement(now, &ann, live);
        let own = ann.token.as_ref().map(|t| (t.epoch, t.instance, &t.holder));
        let fresh = &reply.token;
        if self.fault == Fault::FromReceipt
            && own == Some((fresh.epoch, fresh.instance, &fresh.holder))
        {
            ann.token = Some(fresh.clone());
            (reply, _) = leases.handle_announcement(now, &ann, live);
        }
        let life = ann.instance;
        self.send(|| Event::Reply {
            number,
            life,
            reply: reply.clone(),
        });
    }

    fn on_reply(&mut self, number: u64, reply: AnnounceReply) {
        if self.waiting.is_some_and(|(n, _)| n == number) {
            self.waiting = None;
        }
        self.last = Some((reply.token.clone(), reply.holder));
        self.target.handle_reply(self.clock.read(self.real), reply);
    }

    fn run_target(&mut self) {
        if self.real < self.paused {
            return;
        }
        let now = self.clock.read(self.real);
        if self.waiting.is_some_and(|(_, limit)| limit <= self.real) {
            self.waiting = None;
            self.target.handle_failure(now);
        }
        let Some((mut to, mut ann)) = self.target.next_announcement(now) else {
            return;
        };
        if let (Fault::OldEpoch, Some((token, holder))) = (self.fault, &self.last) {
            ann.token = (token.epoch > 0).then(|| token.clone());
            to = *holder;
        }
        self.numbers += 1;
        let number = self.numbers;
        self.waiting = Some((number, self.real + self.limit));
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
            if self.real >= vm.down.max(vm.paused) {
                vm.leases.tick(vm.clock.read(self.real));
            }
        }
    }

    /// Counts the VMs that may send, a paused one by its own clock.
    fn check(&mut self) {
        let real = self.real;
        let may_send = |vm: &Vm| {
            let now = vm.clock.read(real);
            real >= vm.down && vm.leases.send_deadline(now, &t1()).is_some()
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

    /// Whether some VM may send now.
    pub fn is_served(&self) -> bool {
        let read = |vm: &Vm| vm.clock.read(self.real);
        let mut vms = self.vms.iter();
        vms.any(|vm| vm.leases.send_deadline(read(vm), &t1()).is_some())
    }
}

fn t1() -> TargetId {
    "t1".parse().expect("good name")
}

fn clock(rng: &mut SmallRng, drift: u32) -> Clock {
    // The ends of the range are as likely as all between.
    let percent = match rng.random_range(0..3) {
        0 => 0.0,
        1 => f64::from(drift),
        _ => rng.random_range(0.0..=f64::from(drift)),
    };
    let offset = rng.random_range(0..Duration::from_secs(1_000).as_micros() as u64);
    Clock { offset, percent }
}

fn forged(ann: &Announcement, token: &Token) -> LeaseRelease {
    LeaseRelease {
        target: ann.target.to_string(),
        target_instance: ann.instance,
        epoch: token.epoch,
        holder: token.holder.to_string(),
        holder_instance: token.instance,
        used_slots: 0,
        drained: false,
    }
}
