//! The load pattern of poison requests: they come again and again beside requests
//! that must not be refused, while targets also crash together by other causes.

use pimento_core::Time;
use pimento_poison::{Fingerprint, Judge, Verdict};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
/// How long a run lasts.
const RUN_TIME: Duration = Duration::from_mins(1);
/// The time that a crashed target needs to start again.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// The time after a third crash from which at most [`MAX_LATE`] tries may be sent.
const CONTACT: Duration = Duration::from_secs(3);
/// The tries that may still be sent after [`CONTACT`].
pub const MAX_LATE: u32 = 3;
/// The maximum number of targets that one attempt of a caller breaks off on.
const MAX_BREAKS: u32 = 2;

/// What one run, or many, have shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// The poison requests that crashed three targets or more.
    pub poison: u32,
    /// The most targets that one of them crashed.
    pub most_crashed: u32,
    /// The most tries of one that were sent after [`CONTACT`].
    pub most_late: u32,
    /// The other requests, how many met crashes, and how many of them three or more.
    pub others: u32,
    pub met_crash: u32,
    pub met_three: u32,
    /// The other requests that were refused as poison.
    pub refused: u32,
}

impl Counts {
    pub fn add(&mut self, other: &Self) {
        self.poison += other.poison;
        self.most_crashed = self.most_crashed.max(other.most_crashed);
        self.most_late = self.most_late.max(other.most_late);
        self.others += other.others;
        self.met_crash += other.met_crash;
        self.met_three += other.met_three;
        self.refused += other.refused;
    }
}

/// How a poison request comes again.
#[derive(Clone, Copy, Debug)]
enum Tries {
    /// Ten at once, at different VMs.
    Bursts,
    EachSecond,
    /// As soon as the last one has failed.
    Dense,
    /// For minutes in a real system.
    Sparse,
}

impl Tries {
    const ALL: [Self; 4] = [Self::Bursts, Self::EachSecond, Self::Dense, Self::Sparse];

    const fn interval(self) -> Duration {
        match self {
            Self::Bursts => Duration::from_secs(4),
            Self::EachSecond => Duration::from_secs(1),
            Self::Dense => Duration::from_millis(200),
            Self::Sparse => Duration::from_secs(9),
        }
    }

    const fn copies(self) -> u32 {
        match self {
            Self::Bursts => 10,
            Self::EachSecond | Self::Dense | Self::Sparse => 1,
        }
    }
}

#[derive(Debug)]
struct Request {
    fingerprint: Fingerprint,
    tries: Option<Tries>,
    next_try: Time,
    crashes: u32,
    third_crash: Option<Time>,
    late: u32,
    was_refused: bool,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    request: usize,
    ends_at: Time,
    breaks: u32,
}

#[derive(Debug, Default)]
struct Target {
    incarnation: u64,
    up_at: Time,
    runs: Vec<Run>,
}

/// A report that is on its way to the judge.
#[derive(Debug)]
struct Report {
    arrives_at: Time,
    crashed_at: Time,
    incarnation: u64,
    request: Fingerprint,
}

#[derive(Debug)]
pub struct Load {
    now: Time,
    rng: SmallRng,
    judge: Judge,
    targets: Vec<Target>,
    slots: usize,
    requests: Vec<Request>,
    reports: Vec<Report>,
    /// From when on the VMs refuse a request, or watch it.
    refusals: Vec<(Fingerprint, Time)>,
    watched: Vec<(Fingerprint, Time)>,
    /// The request that many callers send who can't be told apart.
    popular: usize,
    next_mass: Time,
    /// The rate of other requests per step.
    rate: f64,
}

impl Load {
    /// Runs the load that a seed draws.
    pub fn run(seed: u64) -> Counts {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Time::from_millis(1_000_000);
        let targets = rng.random_range(12..60);
        let mut load = Self {
            now: start,
            slots: rng.random_range(3..7),
            targets: (0..targets).map(|_| Target::default()).collect(),
            judge: Judge::default(),
            requests: Vec::new(),
            reports: Vec::new(),
            refusals: Vec::new(),
            watched: Vec::new(),
            popular: 0,
            next_mass: start + Duration::from_millis(rng.random_range(2_000..9_000)),
            rate: f64::from(targets) * rng.random_range(0.005..0.03),
            rng,
        };
        for _ in 0..load.rng.random_range(1..4) {
            let kind = load.rng.random_range(0..Tries::ALL.len());
            load.add_request(Some(Tries::ALL[kind]));
        }
        load.popular = load.add_request(None);
        while load.now < start + RUN_TIME {
            load.step();
        }
        load.counts()
    }

    fn add_request(&mut self, tries: Option<Tries>) -> usize {
        let number = self.requests.len() as u64;
        let start = Duration::from_millis(self.rng.random_range(0..8_000));
        self.requests.push(Request {
            fingerprint: Fingerprint::of([&number.to_le_bytes()[..]]),
            tries,
            next_try: self.now + start,
            crashes: 0,
            third_crash: None,
            late: 0,
            was_refused: false,
        });
        self.requests.len() - 1
    }

    fn step(&mut self) {
        self.now += STEP;
        self.arrive();
        self.end_runs();
        if self.now >= self.next_mass {
            self.crash_together();
        }
        self.judge_reports();
    }

    fn arrive(&mut self) {
        for i in 0..self.requests.len() {
            let request = &mut self.requests[i];
            let Some(tries) = request.tries.filter(|_| request.next_try <= self.now) else {
                continue;
            };
            request.next_try = self.now + tries.interval();
            for _ in 0..tries.copies() {
                self.send(i, 0);
            }
        }
        if self.rng.random_bool(self.rate.min(1.0)) {
            // Some callers ask for the same again.
            let again = match self.rng.random_range(0..10) {
                0..3 => Some(self.popular),
                3..5 => self.some_other(),
                _ => None,
            };
            let request = again.unwrap_or_else(|| self.add_request(None));
            self.send(request, 0);
        }
    }

    fn some_other(&mut self) -> Option<usize> {
        let recent = self.requests.len().saturating_sub(40);
        let i = self.rng.random_range(recent..self.requests.len());
        self.requests[i].tries.is_none().then_some(i)
    }

    /// Sends a request to a target with a free slot, if it isn't refused. Retries
    /// crowd on the first targets, so that requests move together.
    fn send(&mut self, i: usize, breaks: u32) {
        let request = &mut self.requests[i];
        let known = self
            .refusals
            .iter()
            .find(|(r, _)| *r == request.fingerprint);
        if known.is_some_and(|(_, from)| *from <= self.now) {
            request.was_refused = true;
            return;
        }
        let (now, slots) = (self.now, self.slots);
        let is_free = |t: &Target| t.up_at <= now && t.runs.len() < slots;
        let free: Vec<_> = (0..self.targets.len())
            .filter(|t| is_free(&self.targets[*t]))
            .collect();
        let Some(first) = free.first() else {
            return;
        };
        let target = if breaks > 0 {
            *first
        } else {
            free[self.rng.random_range(0..free.len())]
        };
        if request.third_crash.is_some_and(|at| now > at + CONTACT) {
            request.late += 1;
        }
        let time = if request.tries.is_some() {
            60..120
        } else {
            100..1_500
        };
        let ends_at = now + Duration::from_millis(self.rng.random_range(time));
        self.targets[target].runs.push(Run {
            request: i,
            ends_at,
            breaks,
        });
    }

    fn end_runs(&mut self) {
        for target in 0..self.targets.len() {
            let now = self.now;
            let ended = self.targets[target]
                .runs
                .extract_if(.., |r| r.ends_at <= now);
            let ended: Vec<_> = ended.collect();
            for run in &ended {
                let request = &self.requests[run.request];
                // VMs report the answers of watched requests only.
                let mut watched = self.watched.iter();
                let is_watched = watched.any(|(r, from)| *r == request.fingerprint && *from <= now);
                if request.tries.is_none() && is_watched {
                    self.judge.acquit(now, request.fingerprint);
                    self.watched.retain(|(r, _)| *r != request.fingerprint);
                }
            }
            let is_deadly = |run: &&Run| self.requests[run.request].tries.is_some();
            if let Some(run) = ended.iter().find(is_deadly) {
                self.targets[target].runs.push(*run);
                self.crash(target);
            }
        }
    }

    fn crash(&mut self, target: usize) {
        let target = &mut self.targets[target];
        target.incarnation += self.rng.random_range(1..u64::MAX / 4_096);
        target.up_at = self.now + RESTART_TIME;
        let incarnation = target.incarnation;
        let mut counted: Vec<usize> = Vec::new();
        for run in std::mem::take(&mut target.runs) {
            let request = &mut self.requests[run.request];
            // Copies of a request on one target meet one crash.
            if !counted.contains(&run.request) {
                counted.push(run.request);
                request.crashes += 1;
            }
            if request.crashes == 3 {
                request.third_crash.get_or_insert(self.now);
            }
            // Some probes need longer, and some datagrams are lost.
            let slow = self.rng.random_bool(0.1);
            let delay = self.rng.random_range(if slow { 100..600 } else { 5..60 });
            self.reports.push(Report {
                arrives_at: self.now + Duration::from_millis(delay),
                crashed_at: self.now,
                incarnation,
                request: request.fingerprint,
            });
            if run.breaks + 1 < MAX_BREAKS {
                self.send(run.request, run.breaks + 1);
            }
        }
    }

    /// A cause outside of all requests ends a part of the targets.
    fn crash_together(&mut self) {
        self.next_mass = self.now + Duration::from_millis(self.rng.random_range(1_500..20_000));
        let share = self.rng.random_range(0.2..0.6);
        let mut ended = Vec::new();
        for target in 0..self.targets.len() {
            if self.targets[target].up_at <= self.now && self.rng.random_bool(share) {
                // No retry reaches it any more.
                self.targets[target].up_at = self.now + RESTART_TIME;
                ended.push(target);
            }
        }
        for target in ended {
            self.crash(target);
        }
    }

    fn judge_reports(&mut self) {
        let now = self.now;
        for report in self.reports.extract_if(.., |r| r.arrives_at <= now) {
            let age = now.since(report.crashed_at);
            self.judge
                .record_crash(now, report.incarnation, report.request, age);
        }
        for decision in self.judge.decide(now) {
            let lag = Duration::from_millis(self.rng.random_range(20..600));
            let known = (decision.ruling.request, now + lag);
            match decision.ruling.verdict {
                Verdict::Refused => self.refusals.push(known),
                Verdict::Watched => self.watched.push(known),
                Verdict::Acquitted => {}
            }
        }
    }

    fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for request in &self.requests {
            let crashes = request.crashes;
            if request.tries.is_some() {
                counts.poison += u32::from(crashes >= 3);
                counts.most_crashed = counts.most_crashed.max(crashes);
                counts.most_late = counts.most_late.max(request.late);
            } else {
                counts.others += 1;
                counts.met_crash += u32::from(crashes >= 1);
                counts.met_three += u32::from(crashes >= 3);
                counts.refused += u32::from(request.was_refused);
            }
        }
        counts
    }
}
