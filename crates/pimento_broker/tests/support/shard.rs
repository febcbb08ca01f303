//! One shard in virtual time: targets that start, leave and pause as planned, an
//! entry VM that keeps what they say, and callers that return when they are told
//! to. All times are in milliseconds.

use super::{permit_request, report, view};
use pimento_broker::{Broker, Decision, ExpectedWait, RequestId, RequestOutcome, RequestReport};
use pimento_core::Time;
use pimento_notices::{TargetNotice, TargetNotices};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{ops::Range, sync::Arc, time::Duration};

/// The slots of each target.
pub const SLOTS: u32 = 4;
pub const RUN_MS: u64 = 100;
pub const OBJECTIVE: Duration = Duration::from_millis(500);
/// How long a load lasts.
pub const END_AT: u64 = 10_000;
/// How long a target takes to turn a request away.
const REFUSAL_MS: u64 = 5;
/// How long after an answer that asks for a pause requests may still arrive.
const PAUSE_GRACE_MS: u64 = 500;
/// The incarnation of all targets, whose names are unique.
const INCARNATION: u64 = 1;

/// What a target does.
#[derive(Clone, Debug)]
pub struct Life {
    pub name: Arc<str>,
    pub starts_at: u64,
    /// From then on its answers say that it leaves.
    pub leaves_at: u64,
    pub exits_at: u64,
    /// When it turns all requests away, and says for how long.
    pub pauses: Vec<Range<u64>>,
}

impl Life {
    /// A target that serves all the time.
    pub fn new(name: &str) -> Self {
        Self {
            name: Arc::from(name),
            starts_at: 0,
            leaves_at: u64::MAX,
            exits_at: u64::MAX,
            pauses: Vec::new(),
        }
    }

    /// The index of the pause at a time.
    fn pause_at(&self, at: u64) -> Option<usize> {
        self.pauses.iter().position(|pause| pause.contains(&at))
    }
}

/// A request that was sent to a target.
struct Running {
    serial: u64,
    life: usize,
    ends_at: u64,
    /// The index of the pause that it was turned away for.
    pause: Option<usize>,
}

/// A request whose connection is being opened.
struct Connecting {
    serial: u64,
    life: usize,
    opens_at: u64,
}

/// A pause that the VM was told of, and the requests sent during it.
struct ToldPause {
    life: usize,
    told_at: u64,
    ends_at: u64,
    sent: u32,
}

pub struct Shard {
    broker: Broker,
    /// What the VM has heard.
    notices: TargetNotices,
    lives: Vec<Life>,
    /// New requests per millisecond.
    rate: f64,
    /// How long connections take to open.
    connect_ms: Range<u64>,
    rng: SmallRng,
    now_ms: u64,
    serial: u64,
    /// When refused callers return.
    returning: Vec<u64>,
    connecting: Vec<Connecting>,
    running: Vec<Running>,
    told_pauses: Vec<ToldPause>,
    /// When the VM was first told that each target leaves.
    told_leaving: Vec<Option<u64>>,
    /// The responses in each second.
    pub answered: Vec<u32>,
    /// The requests that each target turned away in each of its pauses.
    pub turned_away: Vec<Vec<u32>>,
    /// The requests that reached a target later than half a second after the
    /// beginning of its pause.
    pub late: u32,
    /// The requests that reached a target that had said that it leaves.
    pub after_leaving: u32,
    /// The requests that were sent to targets that had exited.
    pub lost: u32,
    /// The attempts that the VM itself stopped after it had a permit.
    pub held: u32,
    /// The most requests that ran on one target at the same time.
    pub most_running: usize,
    /// When requests were refused, and for how long.
    pub refused_at: Vec<(u64, u64)>,
}

impl Shard {
    /// Targets under a load given as a share of `slots` slots.
    pub fn new(seed: u64, lives: Vec<Life>, load: f64, slots: u32) -> Self {
        Self {
            broker: Broker::default(),
            notices: TargetNotices::default(),
            rate: load * f64::from(slots) / RUN_MS as f64,
            connect_ms: 0..0,
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            serial: 0,
            returning: Vec::new(),
            connecting: Vec::new(),
            running: Vec::new(),
            told_pauses: Vec::new(),
            told_leaving: vec![None; lives.len()],
            answered: vec![0; (END_AT / 1_000) as usize],
            turned_away: lives.iter().map(|l| vec![0; l.pauses.len()]).collect(),
            late: 0,
            after_leaving: 0,
            lost: 0,
            held: 0,
            most_running: 0,
            refused_at: Vec::new(),
            lives,
        }
    }

    /// Lets connections take a while to open.
    pub fn connecting_for(mut self, connect_ms: Range<u64>) -> Self {
        self.connect_ms = connect_ms;
        self
    }

    pub fn run(mut self) -> Self {
        while self.now_ms < END_AT {
            self.step();
            self.now_ms += 1;
        }
        self
    }

    /// The most requests that reached a target from half a second after it asked
    /// for a pause to the end of that pause.
    pub fn most_in_pause(&self) -> u32 {
        let sent = self.told_pauses.iter().map(|told| told.sent);
        sent.max().unwrap_or(0)
    }

    const fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    fn step(&mut self) {
        let due = self.now_ms;
        self.change_targets();
        let returned = self.returning.extract_if(.., |at| *at <= due).count();
        let new = usize::from(self.rng.random_bool(self.rate));
        for _ in 0..returned + new {
            self.submit();
        }
        let opened = self.connecting.extract_if(.., |c| c.opens_at <= due);
        let opened: Vec<_> = opened.collect();
        for connecting in opened {
            self.send(connecting.serial, connecting.life);
        }
        let ended: Vec<_> = self.running.extract_if(.., |r| r.ends_at <= due).collect();
        for running in ended {
            self.end(&running);
        }
        if due.is_multiple_of(50) {
            let decisions = self.broker.tick(self.now());
            self.apply(decisions);
        }
    }

    /// Targets report that they start and that they have exited, but not that
    /// they leave.
    fn change_targets(&mut self) {
        for i in 0..self.lives.len() {
            let life = &self.lives[i];
            if life.starts_at == self.now_ms {
                let view = view(&life.name, "d0", SLOTS);
                let decisions = self.broker.set_target(self.now(), view);
                self.apply(decisions);
            } else if life.exits_at == self.now_ms {
                self.broker.drop_target(&life.name);
            }
        }
    }

    fn submit(&mut self) {
        self.serial += 1;
        let request = permit_request(self.serial, self.now(), OBJECTIVE);
        let decisions = self.broker.submit(self.now(), request);
        self.apply(decisions);
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Grant { id, target } => self.connect(id.serial, &target),
                Decision::Refuse { wait, .. } => self.refuse(wait),
            }
        }
    }

    fn refuse(&mut self, wait: ExpectedWait) {
        let wait_ms = match wait {
            ExpectedWait::For(wait) | ExpectedWait::Foreign(wait) => wait.as_millis() as u64,
            ExpectedWait::Paused(left) => left.as_millis() as u64,
            ExpectedWait::Unknown => 500,
        };
        self.refused_at.push((self.now_ms, wait_ms));
        let spread = self.rng.random_range(0..=wait_ms / 4 + 50);
        self.returning.push(self.now_ms + wait_ms + spread);
    }

    fn connect(&mut self, serial: u64, target: &Arc<str>) {
        let life = self.lives.iter().position(|l| l.name == *target).unwrap();
        if self.connect_ms.is_empty() {
            return self.send(serial, life);
        }
        let opens_at = self.now_ms + self.rng.random_range(self.connect_ms.clone());
        self.connecting.push(Connecting {
            serial,
            life,
            opens_at,
        });
    }

    /// Sends a request, unless the VM has heard that the target wants none. A
    /// request that was not sent is submitted again.
    fn send(&mut self, serial: u64, life: usize) {
        let name = &self.lives[life].name;
        if self.notices.hold(self.now(), name, INCARNATION).is_some() {
            self.held += 1;
            self.returning.push(self.now_ms);
            return self.release(serial, life, RequestOutcome::Cancelled);
        }
        if self.now_ms >= self.lives[life].exits_at {
            self.lost += 1;
            self.returning.push(self.now_ms);
            return self.release(serial, life, RequestOutcome::Unreachable);
        }
        self.count_sent(life);
        let pause = self.lives[life].pause_at(self.now_ms);
        let run_ms = if pause.is_some() { REFUSAL_MS } else { RUN_MS };
        self.running.push(Running {
            serial,
            life,
            ends_at: self.now_ms + run_ms,
            pause,
        });
        let running = self.running.iter().filter(|r| r.life == life);
        self.most_running = self.most_running.max(running.count());
    }

    fn count_sent(&mut self, life: usize) {
        let now = self.now_ms;
        self.after_leaving += u32::from(self.told_leaving[life].is_some());
        let told = self.told_pauses.iter_mut().filter(|told| told.life == life);
        for told in told.filter(|t| now > t.told_at + PAUSE_GRACE_MS && now < t.ends_at) {
            told.sent += 1;
        }
        if let Some(pause) = self.lives[life].pause_at(now) {
            let begin = self.lives[life].pauses[pause].start;
            self.late += u32::from(now > begin + PAUSE_GRACE_MS);
            self.turned_away[life][pause] += 1;
        }
    }

    fn end(&mut self, running: &Running) {
        let (now, life) = (self.now_ms, &self.lives[running.life]);
        let mut outcome = RequestOutcome::Answered;
        let mut notice = TargetNotice {
            leaving: now >= life.leaves_at,
            pause: None,
            limit: None,
        };
        if let Some(pause) = running.pause {
            let ends_at = life.pauses[pause].end;
            let left = ends_at.saturating_sub(now);
            outcome = RequestOutcome::Shed;
            notice.pause = Some(Duration::from_millis(left));
            self.returning.push(now + left);
            self.told_pauses.push(ToldPause {
                life: running.life,
                told_at: now,
                ends_at,
                sent: 0,
            });
        } else {
            self.answered[now as usize / 1_000] += 1;
        }
        if notice.leaving {
            self.told_leaving[running.life].get_or_insert(now);
        }
        let name = Arc::clone(&life.name);
        self.notices.record(self.now(), &name, INCARNATION, notice);
        self.release(running.serial, running.life, outcome);
    }

    fn release(&mut self, serial: u64, life: usize, outcome: RequestOutcome) {
        let id = RequestId { process: 1, serial };
        let name = &self.lives[life].name;
        let report = RequestReport {
            notice: self.notices.notice(self.now(), name, INCARNATION),
            load: Some((SLOTS, 0)),
            ..report(outcome, Duration::from_millis(RUN_MS))
        };
        let decisions = self.broker.release(self.now(), &id, &report);
        self.apply(decisions);
    }
}
