//! The event queue of the simulation and the state that events change.

use crate::{
    preset::{self, DOMAINS, Preset, REGIONS, TARGETS, VMS},
    scenario::{Policy, Scenario},
    stats::{LinkUsage, Stats},
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

/// Time between two heartbeats of entry VMs.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Mean time between two announcements of a target.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two samples of slots in use.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// One-way latency inside a failure domain, and between domains of one region.
pub const LOCAL_LATENCIES: [Duration; 2] = [Duration::from_micros(200), Duration::from_millis(1)];

/// A simulation event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sends a new request.
    Arrive,
    /// A request arrives at an entry VM.
    ReachEntry {
        req: usize,
        vm: usize,
    },
    /// The next attempt of a request begins.
    StartAttempt {
        req: usize,
    },
    /// The delay before a hedged attempt has passed.
    Hedge {
        req: usize,
    },
    /// An attempt arrives at the VM that it was forwarded to.
    ReachHolder {
        id: usize,
    },
    /// An attempt arrives at its target; `fresh` says whether over a new
    /// connection.
    ReachTarget {
        id: usize,
        fresh: bool,
    },
    /// A target finishes the run of an attempt.
    RunEnded {
        id: usize,
    },
    /// A target's reply arrives at the VM that sent the attempt.
    TargetReply {
        id: usize,
        reply: TargetReply,
    },
    /// The result of an attempt arrives at the entry VM of its request; no failure
    /// means an answer.
    AttemptResult {
        id: usize,
        failure: Option<Failure>,
    },
    /// The VM that sent the attempt got no reply within the response timeout.
    ResponseTimeout {
        id: usize,
    },
    /// A cancellation arrives at the VM that sent the attempt.
    Cancel {
        id: usize,
    },
    /// The target notices that the connection of an attempt was closed.
    ConnectionClosed {
        id: usize,
    },
    /// Admission at a VM asked to be called at this time.
    Wake {
        vm: usize,
    },
    Heartbeat,
    Announce {
        target: usize,
    },
    Sample,
    FaultsBegin,
    FaultsEnd,
    /// The restarting targets are up again.
    TargetsRestarted,
}

/// How an attempt ended at its target, as seen by the VM that sent it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetReply {
    Answer,
    Shed,
    /// The connection was refused, so the target received nothing.
    Refused,
    /// The connection broke; the attempt may have run.
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
    /// Whether it silently drops all data.
    pub silent: bool,
}

/// An entry VM.
#[derive(Debug)]
pub struct Vm {
    pub admit: Admission,
    pub steer: Steering,
    /// The view of other VMs and domains that steering last got.
    pub steer_view: ClusterView,
    pub budget: RetryBudget,
    pub liveness: Liveness<u64>,
    /// Idle connections, by target.
    pub pools: Vec<Vec<Conn>>,
    pub up: bool,
    /// The next scheduled wake-up of admission.
    pub wake: Option<Time>,
}

/// A request of a caller.
#[derive(Debug)]
pub struct Req {
    pub profile: usize,
    pub class: Class,
    pub domain: usize,
    pub block: usize,
    pub sent_at: Time,
    pub deadline: Time,
    pub vm: usize,
    pub attempts: Option<Attempts>,
    /// Attempts without a result yet.
    pub open_attempts: Vec<usize>,
    pub runs: u32,
    /// The caller lost its connection while the request was in flight.
    pub conn_lost: bool,
    /// The caller got an answer or a failure.
    pub concluded: bool,
    /// The verdict that the caller got, if the request failed.
    pub verdict: Option<Verdict>,
    pub counted: bool,
}

/// An attempt of a request.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the holder, the target and the entry VM track their state independently"
)]
pub struct Attempt {
    pub req: usize,
    pub entry_vm: usize,
    /// The VM that sends the attempt to a target.
    pub holder: usize,
    pub hop: Option<Hop>,
    pub target: Option<usize>,
    pub conn: Option<Conn>,
    pub started: Time,
    /// Size of the result that was sent between VMs, in bytes.
    pub bytes: u64,
    /// The holder still waits for the target's reply.
    pub waiting: bool,
    /// The target started to run the attempt.
    pub ran: bool,
    /// The target has noticed that the holder closed the connection.
    pub conn_closed: bool,
    /// The entry VM still waits for the result.
    pub pending: bool,
}

/// The complete state of a run.
#[derive(Debug)]
pub struct World {
    pub preset: Preset,
    pub policy: Policy,
    pub scenario: Scenario,
    pub rng: SmallRng,
    /// A separate generator for callers, so that all policies get the same
    /// requests.
    pub caller_rng: SmallRng,
    pub now: Time,
    queue: BinaryHeap<Scheduled>,
    serial: u64,
    pub vms: Vec<Vm>,
    pub targets: Vec<Target>,
    pub reqs: Vec<Req>,
    pub all_attempts: Vec<Attempt>,
    /// Cached look-up and its expiry, by service, domain and block.
    pub lookup_cache: Vec<Option<(Time, Vec<usize>)>>,
    pub links: LinkUsage,
    pub stats: Stats,
    /// Whether the fault period is in progress.
    pub faults_active: bool,
    pub conn_keys: u64,
    full_samples: (u64, u64),
}

impl World {
    pub fn new(preset: &Preset, policy: Policy, scenario: &Scenario) -> Self {
        let rules = preset.rules();
        let table = Arc::new(BlockTable::new(rules.blocks.iter()));
        let profiles = preset.profiles.len();
        let domains = REGIONS * DOMAINS;
        let mut targets = Vec::new();
        for profile in 0..profiles {
            for n in 0..domains * TARGETS {
                let domain = n % domains;
                let slots = preset.slots_of(n / domains + n);
                let holder = domain * VMS + (profile * TARGETS + n / domains) % VMS;
                targets.push(new_target(profile, domain, holder, slots));
            }
        }
        let vm = |n: usize| {
            let location = Location {
                vm: preset::vm_id(n),
                domain: preset::domain_id(n / VMS),
                region: preset::region_id(n / VMS / DOMAINS),
            };
            let mut steer = Steering::new(SteeringConfig::default(), location, n as u64);
            steer.set_rules(Time::ZERO, &rules, Arc::clone(&table));
            Vm {
                admit: Admission::new(AdmissionConfig::default(), n as u64),
                steer,
                steer_view: ClusterView::default(),
                budget: RetryBudget::new(),
                liveness: Liveness::new(Duration::from_millis(200), Duration::from_secs(5)),
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
            caller_rng: SmallRng::seed_from_u64(scenario.seed),
            now: Time::ZERO,
            queue: BinaryHeap::new(),
            serial: 0,
            reqs: Vec::new(),
            all_attempts: Vec::new(),
            lookup_cache: vec![None; domains * preset::BLOCKS * profiles],
            links: LinkUsage::new(preset.mbit, scenario.end),
            stats: Stats::new(),
            faults_active: false,
            conn_keys: 0,
            full_samples: (0, 0),
            scenario: scenario.clone(),
            targets,
        };
        world.schedule_initial_events();
        world
    }

    fn schedule_initial_events(&mut self) {
        for target in 0..self.targets.len() {
            self.announce(target);
        }
        self.heartbeat();
        self.schedule_at(Time::from_millis(1), Event::Arrive);
        self.schedule_at(Time::from_millis(5), Event::Sample);
        self.schedule_at(self.scenario.faults_start(), Event::FaultsBegin);
        self.schedule_at(self.scenario.faults_end(), Event::FaultsEnd);
    }

    /// Runs the simulation to its end and returns the results.
    pub fn run(mut self) -> Stats {
        // Callers stop before the simulation ends, so that all requests finish.
        let grace = Duration::from_secs(5);
        let end = self.scenario.end + grace;
        while let Some(next) = self.queue.pop() {
            if next.time > end {
                break;
            }
            self.now = next.time;
            self.handle(next.event);
        }
        self.summarize()
    }

    pub fn schedule_at(&mut self, time: Time, event: Event) {
        self.serial += 1;
        let serial = self.serial;
        self.queue.push(Scheduled {
            time,
            serial,
            event,
        });
    }

    pub fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::ReachEntry { req, vm } => self.reach_entry(req, vm),
            Event::StartAttempt { req } => self.start_attempt(req),
            Event::Hedge { req } => self.start_hedge(req),
            Event::ReachHolder { id } => self.receive_forwarded(id),
            Event::ReachTarget { id, fresh } => self.reach_target(id, fresh),
            Event::RunEnded { id } => self.end_run(id),
            Event::TargetReply { id, reply } => self.receive_target_reply(id, reply),
            Event::AttemptResult { id, failure } => self.receive_result(id, failure),
            Event::ResponseTimeout { id } => self.response_timed_out(id),
            Event::Cancel { id } => self.receive_cancel(id),
            Event::ConnectionClosed { id } => self.connection_closed(id),
            Event::Wake { vm } => self.wake(vm),
            Event::Heartbeat => self.heartbeat(),
            Event::Announce { target } => self.announce(target),
            Event::Sample => self.sample(),
            Event::FaultsBegin => self.begin_faults(),
            Event::FaultsEnd => self.end_faults(),
            Event::TargetsRestarted => self.targets_restarted(),
        }
    }

    /// Draws the one-way latency between two failure domains, with up to 20%
    /// jitter.
    pub fn draw_latency(&mut self, a: usize, b: usize) -> Duration {
        let base = if a == b {
            LOCAL_LATENCIES[0]
        } else if a / DOMAINS == b / DOMAINS {
            LOCAL_LATENCIES[1]
        } else {
            Duration::from_millis(u64::from(self.preset.region_latency))
        };
        base.mul_f64(self.rng.random_range(1.0..1.2))
    }

    fn sample(&mut self) {
        let profiles = self.preset.profiles.len();
        let mut used = vec![(0, 0); profiles * REGIONS];
        for target in self.targets.iter().filter(|t| t.up) {
            let sum = &mut used[target.profile * REGIONS + target.domain / DOMAINS];
            sum.0 += target.running.len();
            sum.1 += target.slots as usize;
        }
        self.full_samples.1 += used.len() as u64;
        let full = used.iter().filter(|sum| sum.1 > 0 && sum.0 >= sum.1);
        self.full_samples.0 += full.count() as u64;
        let all = used.iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        let share = all.0 as f64 / all.1.max(1) as f64;
        self.stats.slot_use = self.stats.slot_use.max(share);
        if self.now < self.scenario.end {
            self.schedule_after(SAMPLE_INTERVAL, Event::Sample);
        }
    }

    fn summarize(mut self) -> Stats {
        let mut stats = self.stats;
        (stats.link_use, stats.link_overruns) = self.links.peak_use();
        stats.full_share = self.full_samples.0 as f64 / self.full_samples.1.max(1) as f64;
        stats.seconds = self
            .scenario
            .end
            .since(crate::caller::WARM_UP_END)
            .as_secs_f64();
        let is_false_not_run =
            |req: &&mut Req| req.verdict == Some(Verdict::NotRun) && req.runs > 0;
        stats.false_not_run = self.reqs.iter_mut().filter(is_false_not_run).count() as u64;
        for target in &self.targets {
            if let (Some(drain), Some(last)) = (target.drain_start, target.last_accepted) {
                stats.drain_time = stats.drain_time.max(last.since(drain));
            }
        }
        stats
    }
}

fn new_target(profile: usize, domain: usize, holder: usize, slots: u32) -> Target {
    Target {
        profile,
        domain,
        holder,
        slots,
        running: Vec::new(),
        up: true,
        slow: false,
        cold_since: None,
        drain_start: None,
        last_accepted: None,
        reported: 0,
        reported_drain: false,
    }
}

/// Returns the address that represents a VM.
pub fn address(vm: usize) -> SocketAddr {
    SocketAddr::from(([10, 255, 0, vm as u8], 80))
}

/// Returns the VM that an address represents.
pub fn vm_of_address(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("the bench uses only IPv4 addresses"),
    }
}
