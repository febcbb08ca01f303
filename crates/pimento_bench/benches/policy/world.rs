//! The event queue, and the state that events change.

use crate::{
    preset::{self, DOMAINS, Preset, REGIONS, TARGETS, VMS},
    scenario::{Policy, Scenario},
    stats::{Links, Stats},
    target::Target,
};
use pimento_admit::{Admission, AdmissionConfig};
use pimento_core::prelude::*;
use pimento_steer::{
    Attempts, BlockTable, ClusterView, Failure, Hop, Liveness, Location, RetryBudget, Steering,
    SteeringConfig,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{cmp::Ordering, collections::BinaryHeap, net::SocketAddr, sync::Arc};

/// The time between two heartbeats of entry VMs.
pub const BEAT: Duration = Duration::from_millis(250);
/// The time between two announcements of a target.
pub const ANNOUNCE: Duration = Duration::from_millis(500);
/// The time between two samples of slots in use.
const SAMPLE: Duration = Duration::from_millis(10);
/// One-way latency inside a failure domain and inside a region.
pub const NEAR: [Duration; 2] = [Duration::from_micros(200), Duration::from_millis(1)];

/// What happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sends a new request.
    Arrive,
    /// A request reaches an entry VM.
    Enter {
        req: usize,
        vm: usize,
    },
    /// The next attempt of a request begins.
    Attempt {
        req: usize,
    },
    /// The delay before a hedge is over.
    Hedge {
        req: usize,
    },
    /// An attempt reaches the VM that it was passed to.
    Passed {
        id: usize,
    },
    /// An attempt reaches its target.
    AtTarget {
        id: usize,
        fresh: bool,
    },
    /// A target ends an attempt.
    Done {
        id: usize,
    },
    /// A target's word reaches the VM that sent the attempt.
    Word {
        id: usize,
        word: Word,
    },
    /// An ending reaches the first VM of a request.
    Reply {
        id: usize,
        failure: Option<Failure>,
    },
    /// Nothing came for long at the VM that sent the attempt.
    Silence {
        id: usize,
    },
    /// A cancellation reaches the VM that sent the attempt.
    Cancel {
        id: usize,
    },
    /// A closed connection reaches the target.
    Closed {
        id: usize,
    },
    /// Admission at a VM wants the time.
    Wake {
        vm: usize,
    },
    Beat,
    Announce {
        target: usize,
    },
    Sample,
    FaultsBegin,
    FaultsEnd,
    /// Targets that restart are back.
    Restarted,
}

/// How an attempt ended at its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Word {
    Answer,
    Shed,
    /// The connection was refused, so no byte was taken.
    Refused,
    /// The connection broke.
    Broken,
}

#[derive(Debug)]
struct Scheduled {
    time: Time,
    serial: u64,
    event: Event,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.time, other.serial).cmp(&(self.time, self.serial))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Eq for Scheduled {}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

/// A pooled connection to a target.
#[derive(Clone, Debug)]
pub struct Conn {
    pub key: u64,
    /// Whether it silently drops everything.
    pub silent: bool,
}

/// An entry VM.
#[derive(Debug)]
pub struct Vm {
    pub admit: Admission,
    pub steer: Steering,
    /// What steering was last told of the others.
    pub steer_view: ClusterView,
    pub budget: RetryBudget,
    pub silence: Liveness<u64>,
    /// Idle connections, by target.
    pub pools: Vec<Vec<Conn>>,
    pub up: bool,
    /// The next time that admission asked for.
    pub wake: Option<Time>,
}

/// A request of a caller.
#[derive(Debug)]
pub struct Req {
    pub kind: usize,
    pub class: Class,
    pub domain: usize,
    pub block: usize,
    pub born: Time,
    pub deadline: Time,
    pub vm: usize,
    pub attempts: Option<Attempts>,
    /// Attempts under way.
    pub open: Vec<usize>,
    pub runs: u32,
    /// The caller lost a connection with the request under way.
    pub broken: bool,
    /// The caller has its answer or failure.
    pub over: bool,
    /// What the caller was told, if the request failed.
    pub told: Option<Verdict>,
    pub counted: bool,
}

/// An attempt of a request.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "what the holder, the target and the first VM know is independent"
)]
pub struct Try {
    pub req: usize,
    pub first: usize,
    /// The VM that sends it to a target.
    pub holder: usize,
    pub hop: Option<Hop>,
    pub target: Option<usize>,
    pub conn: Option<Conn>,
    pub started: Time,
    /// The bytes of the answer that went between VMs.
    pub bytes: u64,
    /// The holder still waits for the target.
    pub waits: bool,
    /// The target began to run it.
    pub ran: bool,
    /// The holder has closed the connection.
    pub closed: bool,
    /// The first VM still waits for an ending.
    pub open: bool,
}

/// Everything that a run consists of.
#[derive(Debug)]
pub struct World {
    pub preset: Preset,
    pub policy: Policy,
    pub scenario: Scenario,
    pub rng: SmallRng,
    /// Draws what callers do, so that all policies get the same requests.
    pub callers: SmallRng,
    pub now: Time,
    queue: BinaryHeap<Scheduled>,
    serial: u64,
    pub vms: Vec<Vm>,
    pub targets: Vec<Target>,
    pub reqs: Vec<Req>,
    pub tries: Vec<Try>,
    /// The cached look-up of each block and service, and its end.
    pub cache: Vec<Option<(Time, Vec<usize>)>>,
    pub links: Links,
    pub stats: Stats,
    /// Whether faults last.
    pub faulty: bool,
    pub keys: u64,
    samples: (u64, u64),
}

impl World {
    pub fn new(preset: &Preset, policy: Policy, scenario: &Scenario) -> Self {
        let rules = preset.rules();
        let table = Arc::new(BlockTable::new(rules.blocks.iter()));
        let kinds = preset.kinds.len();
        let domains = REGIONS * DOMAINS;
        let mut targets = Vec::new();
        for kind in 0..kinds {
            for n in 0..domains * TARGETS {
                let domain = n % domains;
                let slots = preset.slots_of(n / domains + n);
                let holder = domain * VMS + (kind * TARGETS + n / domains) % VMS;
                targets.push(new_target(kind, domain, holder, slots));
            }
        }
        let vm = |n: usize| {
            let home = Location {
                vm: preset::vm_id(n),
                domain: preset::domain_id(n / VMS),
                region: preset::region_id(n / VMS / DOMAINS),
            };
            let mut steer = Steering::new(SteeringConfig::default(), home, n as u64);
            steer.set_rules(Time::ZERO, &rules, Arc::clone(&table));
            Vm {
                admit: Admission::new(AdmissionConfig::default(), n as u64),
                steer,
                steer_view: ClusterView::default(),
                budget: RetryBudget::new(),
                silence: Liveness::new(Duration::from_millis(200), Duration::from_secs(5)),
                pools: vec![Vec::new(); targets.len()],
                up: true,
                wake: None,
            }
        };
        let mut world = Self {
            vms: (0..domains * VMS).map(vm).collect(),
            preset: preset.clone(),
            policy,
            rng: SmallRng::seed_from_u64(scenario.seed),
            callers: SmallRng::seed_from_u64(scenario.seed),
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            serial: 0,
            reqs: Vec::new(),
            tries: Vec::new(),
            cache: vec![None; domains * preset::BLOCKS * kinds],
            links: Links::new(preset.mbit, scenario.end),
            stats: Stats::new(),
            faulty: false,
            keys: 0,
            samples: (0, 0),
            scenario: scenario.clone(),
            targets,
        };
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        for target in 0..self.targets.len() {
            self.announce(target);
        }
        self.beat();
        self.at(Time::from_millis(1), Event::Arrive);
        self.at(Time::from_millis(5), Event::Sample);
        self.at(self.scenario.from(), Event::FaultsBegin);
        self.at(self.scenario.until(), Event::FaultsEnd);
    }

    /// Runs to the end and gives the counts.
    pub fn run(mut self) -> Stats {
        // Callers stop a little earlier, so that all requests come to an end.
        let grace = Duration::from_secs(5);
        let end = self.scenario.end + grace;
        while let Some(next) = self.queue.pop() {
            if next.time > end {
                break;
            }
            self.now = next.time;
            self.handle(next.event);
        }
        self.sum_up()
    }

    pub fn at(&mut self, time: Time, event: Event) {
        self.serial += 1;
        let serial = self.serial;
        self.queue.push(Scheduled {
            time,
            serial,
            event,
        });
    }

    pub fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Enter { req, vm } => self.enter(req, vm),
            Event::Attempt { req } => self.attempt(req),
            Event::Hedge { req } => self.hedge(req),
            Event::Passed { id } => self.passed(id),
            Event::AtTarget { id, fresh } => self.at_target(id, fresh),
            Event::Done { id } => self.done(id),
            Event::Word { id, word } => self.word(id, word),
            Event::Reply { id, failure } => self.reply(id, failure),
            Event::Silence { id } => self.silence(id),
            Event::Cancel { id } => self.cancelled(id),
            Event::Closed { id } => self.closed(id),
            Event::Wake { vm } => self.wake(vm),
            Event::Beat => self.beat(),
            Event::Announce { target } => self.announce(target),
            Event::Sample => self.sample(),
            Event::FaultsBegin => self.begin_faults(),
            Event::FaultsEnd => self.end_faults(),
            Event::Restarted => self.restarted(),
        }
    }

    /// One-way latency between two failure domains, with some jitter.
    pub fn path(&mut self, a: usize, b: usize) -> Duration {
        let base = if a == b {
            NEAR[0]
        } else if a / DOMAINS == b / DOMAINS {
            NEAR[1]
        } else {
            Duration::from_millis(u64::from(self.preset.far))
        };
        base.mul_f64(self.rng.random_range(1.0..1.2))
    }

    fn sample(&mut self) {
        let kinds = self.preset.kinds.len();
        let mut used = vec![(0, 0); kinds * REGIONS];
        for target in self.targets.iter().filter(|t| t.up) {
            let sum = &mut used[target.kind * REGIONS + target.domain / DOMAINS];
            sum.0 += target.running.len();
            sum.1 += target.slots as usize;
        }
        self.samples.1 += used.len() as u64;
        let full = used.iter().filter(|sum| sum.1 > 0 && sum.0 >= sum.1);
        self.samples.0 += full.count() as u64;
        let all = used.iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        let share = all.0 as f64 / all.1.max(1) as f64;
        self.stats.slot_use = self.stats.slot_use.max(share);
        if self.now < self.scenario.end {
            self.after(SAMPLE, Event::Sample);
        }
    }

    fn sum_up(mut self) -> Stats {
        let mut stats = self.stats;
        (stats.link_use, stats.link_overruns) = self.links.highest();
        stats.at_limit = self.samples.0 as f64 / self.samples.1.max(1) as f64;
        stats.seconds = self.scenario.end.since(crate::caller::WARM).as_secs_f64();
        let lied = |req: &&mut Req| req.told == Some(Verdict::NotRun) && req.runs > 0;
        stats.false_not_run = self.reqs.iter_mut().filter(lied).count() as u64;
        for target in &self.targets {
            if let (Some(drain), Some(last)) = (target.drain, target.last) {
                stats.drain = stats.drain.max(last.since(drain));
            }
        }
        stats
    }
}

fn new_target(kind: usize, domain: usize, holder: usize, slots: u32) -> Target {
    Target {
        kind,
        domain,
        holder,
        slots,
        running: Vec::new(),
        up: true,
        slow: false,
        cold: None,
        drain: None,
        last: None,
        reported: 0,
        told: false,
    }
}

/// The address that stands for a VM.
pub fn address(vm: usize) -> SocketAddr {
    SocketAddr::from(([10, 255, 0, vm as u8], 80))
}

/// The VM that an address stands for.
pub fn vm_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("the bench uses IPv4 alone"),
    }
}
