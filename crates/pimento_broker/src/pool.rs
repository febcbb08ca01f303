//! The targets of a service in a failure domain, and who waits for them.

use crate::{
    Decision, ExpectedWait, PermitRequest, RequestId, RequestOutcome, RequestReport,
    pace::Pace,
    queue::{Queue, Waiting},
    target::{Held, Target, TargetView},
};
use pimento_core::Time;
use std::{sync::Arc, time::Duration};

/// How much longer a run on a target that doesn't know its object must take so
/// that it makes a difference.
const SLOWER: f64 = 1.3;

/// The part of the places up to which a failure domain takes requests whose
/// objects belong to another one.
const ROOM: f64 = 0.5;

/// The run time that is assumed before any was seen.
const FIRST_PACE: Duration = Duration::from_millis(300);

/// The targets of a service in a failure domain, and who waits for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Sorted by name.
    targets: Vec<Target>,
    queue: Queue,
    /// Run times on targets that had seen the object, and on the others.
    warm: Pace,
    fresh: Pace,
    all: Pace,
}

/// A place that a request has.
#[derive(Clone, Debug)]
pub(crate) struct Permit {
    pub id: RequestId,
    pub target: Arc<str>,
    /// The number of the target's lifetime.
    pub incarnation_hash: u64,
    pub held: Held,
    pub deadline: Time,
}

/// What becomes of a request that has just come.
#[derive(Debug)]
pub(crate) enum Intake {
    Granted(Permit),
    Waits,
    Refused(Decision),
}

impl Pool {
    /// Takes what is known of a target.
    pub(crate) fn set(&mut self, view: TargetView) {
        match self.find(&view.id) {
            Ok(at) if self.targets[at].view.incarnation_hash == view.incarnation_hash => {
                self.targets[at].set(view);
            }
            Ok(at) => self.targets[at] = Target::new(view),
            Err(at) => self.targets.insert(at, Target::new(view)),
        }
    }

    /// Drops targets.
    pub(crate) fn retain(&mut self, keep: impl Fn(&TargetView) -> bool) {
        self.targets.retain(|t| keep(&t.view));
    }

    /// Drops a target, if it is here.
    pub(crate) fn remove(&mut self, id: &str) -> bool {
        let found = self.find(id);
        if let Ok(at) = found {
            self.targets.remove(at);
        }
        found.is_ok()
    }

    /// The places taken on a target, if it is here.
    pub(crate) fn running(&self, id: &str) -> Option<u32> {
        self.find(id).ok().map(|at| self.targets[at].running)
    }

    /// The number of requests that wait.
    pub(crate) const fn waiting(&self) -> usize {
        self.queue.0.len()
    }

    /// Takes a request.
    pub(crate) fn submit(&mut self, now: Time, request: PermitRequest) -> Intake {
        let pace = self.pace(&request);
        if !request.preferred && !self.has_room(&request) {
            let wait = ExpectedWait::For(pace);
            return Intake::Refused(Decision::Refuse {
                id: request.id,
                wait,
            });
        }
        let waiting = Waiting {
            start_by: request.objective - pace,
            latest: request.deadline,
            request,
        };
        let ahead = self.queue.ahead(now, &waiting);
        if ahead == 0
            && let Some(at) = self.choose(now, &waiting)
        {
            return Intake::Granted(self.grant(now, at, &waiting.request));
        }
        self.wait_or_refuse(now, waiting, ahead)
    }

    /// Whether a request waits here.
    pub(crate) fn holds(&self, id: &RequestId) -> bool {
        self.queue.0.iter().any(|w| w.request.id == *id)
    }

    /// Forgets a request that waits; whether it did.
    pub(crate) fn withdraw(&mut self, id: &RequestId) -> bool {
        let before = self.queue.0.len();
        self.queue.0.retain(|w| w.request.id != *id);
        self.queue.0.len() != before
    }

    /// Takes a place back.
    pub(crate) fn release(&mut self, now: Time, place: &Permit, report: &RequestReport) {
        let Ok(at) = self.find(&place.target) else {
            return;
        };
        if self.targets[at].view.incarnation_hash != place.incarnation_hash {
            return;
        }
        let like = if place.held.warm {
            &mut self.warm
        } else {
            &mut self.fresh
        };
        let before = like.secs();
        if report.outcome == RequestOutcome::Answered {
            like.note(report.took);
            self.all.note(report.took);
        }
        self.targets[at].end(now, &place.held, report, before);
    }

    /// Gives free places to those who wait, in turn.
    pub(crate) fn serve_queue(&mut self, now: Time) -> Vec<Permit> {
        if self.queue.0.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<usize> = (0..self.queue.0.len()).collect();
        order.sort_by_key(|i| self.queue.0[*i].turn(now));
        let mut served = Vec::new();
        for i in order {
            let waiting = &self.queue.0[i];
            if let Some(at) = self.choose(now, waiting) {
                let request = waiting.request.clone();
                served.push(self.grant(now, at, &request));
            }
        }
        let got = |w: &Waiting| served.iter().any(|p| p.id == w.request.id);
        self.queue.0.retain(|w| !got(w));
        served
    }

    /// Refuses requests that can't start in time any more, so that their
    /// callers learn it while they can still come back.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Decision> {
        let overdue = |w: &mut Waiting| now > w.latest;
        let expired = self.queue.0.extract_if(.., overdue);
        let refused = expired.map(|w| Decision::Refuse {
            id: w.request.id,
            wait: ExpectedWait::For(w.request.max_wait),
        });
        refused.collect()
    }

    /// The mean share of requests that the targets fail: where all do, none is
    /// to blame.
    fn doubt(&self) -> f64 {
        let sum: f64 = self.targets.iter().map(Target::doubt).sum();
        sum / self.targets.len().max(1) as f64
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|t| (*t.view.id).cmp(id))
    }

    /// The targets that a request may run on at some time.
    fn candidates<'a>(
        &'a self,
        request: &'a PermitRequest,
    ) -> impl Iterator<Item = (usize, &'a Target)> {
        let targets = self.targets.iter().enumerate();
        targets.filter(move |(_, t)| t.open() && !request.tried.contains(&t.view.id))
    }

    /// The best target that is free for a request.
    ///
    /// The load that it answers: objects that come again, on targets that
    /// answer several times faster what they have seen. Running elsewhere takes
    /// more places than waiting for the target that knows the object, and is
    /// too late for the objective anyway; so the request waits while that is
    /// soon free.
    fn choose(&self, now: Time, waiting: &Waiting) -> Option<usize> {
        let request = &waiting.request;
        let doubt = self.doubt();
        let free = self
            .candidates(request)
            .filter(|(_, t)| t.free(now, request.standby));
        let rated = free.map(|(at, t)| (t.fitness(now, request.affinity, doubt), at));
        let (fitness, at) = rated.max()?;
        if !self.ends_in_time(now, request, fitness.warm) && !self.half_free(request) {
            return None;
        }
        (fitness.warm || !self.worth_waiting(now, waiting)).then_some(at)
    }

    /// Whether a request whose object belongs to another failure domain may run
    /// here.
    ///
    /// The load that it answers: a peak at which requests are turned away
    /// where their objects are known. Each of them would run several times as
    /// long here, and push out what the targets here know.
    fn has_room(&self, request: &PermitRequest) -> bool {
        let Some(affinity) = request.affinity else {
            return true;
        };
        let (warm, fresh) = (self.warm.mean(FIRST_PACE), self.fresh.mean(FIRST_PACE));
        let slow = fresh > warm.mul_f64(SLOWER);
        let known = self.candidates(request).any(|(_, t)| t.is_warm(affinity));
        if known || !slow {
            return true;
        }
        self.half_free(request) && self.queue.0.is_empty()
    }

    /// Whether fewer places are taken than [`ROOM`] says.
    fn half_free(&self, request: &PermitRequest) -> bool {
        let (mut running, mut slots) = (0, 0);
        for (_, target) in self.candidates(request) {
            running += target.running;
            slots += target.view.slots;
        }
        f64::from(running) < f64::from(slots) * ROOM
    }

    /// Whether a request that starts now is likely to end before its deadline.
    ///
    /// The load that it answers: a peak at which requests wait so long that
    /// they are cut off while they run, and take places for nothing.
    fn ends_in_time(&self, now: Time, request: &PermitRequest, warm: bool) -> bool {
        let all = self.all.mean(FIRST_PACE);
        let run = match (request.affinity, warm) {
            (None, _) => all,
            (Some(_), true) => self.warm.mean(all),
            (Some(_), false) => self.fresh.mean(all),
        };
        now + run <= request.deadline
    }

    /// Whether a busy target that knows a request's object is free in time.
    fn worth_waiting(&self, now: Time, waiting: &Waiting) -> bool {
        let Some(affinity) = waiting.request.affinity else {
            return false;
        };
        let doubt = self.doubt();
        let knows = |t: &Target| t.is_warm(affinity) && t.sound(doubt) && !t.broken(now);
        let mut warm = self.candidates(&waiting.request).filter(|(_, t)| knows(t));
        let Some((_, target)) = warm.next() else {
            return false;
        };
        let turn = waiting.turn(now);
        let before = self.queue.0.iter().filter(|w| w.turn(now) < turn);
        let rivals = before.filter(|w| w.request.affinity.is_some_and(|o| target.is_warm(o)));
        let turns = rivals.count() as f64 + 1.0;
        let run = self.warm.mean(FIRST_PACE);
        let wait = run.mul_f64(turns / f64::from(target.view.slots));
        let fresh = self.fresh.mean(FIRST_PACE);
        let hopeless = now + fresh > waiting.request.objective;
        wait < fresh.saturating_sub(run) && (hopeless || now + wait <= waiting.start_by)
    }

    fn grant(&mut self, now: Time, at: usize, request: &PermitRequest) -> Permit {
        let target = &mut self.targets[at];
        let held = Held {
            affinity: request.affinity,
            warm: request
                .affinity
                .is_some_and(|affinity| target.is_warm(affinity)),
        };
        target.begin(now, request.affinity, request.standby);
        Permit {
            id: request.id,
            target: Arc::clone(&target.view.id),
            incarnation_hash: target.view.incarnation_hash,
            held,
            deadline: request.deadline,
        }
    }

    /// The time that a request is expected to run: with an object, on a target
    /// that knows it, so that an unknown one is not put off for ever.
    fn pace(&self, request: &PermitRequest) -> Duration {
        let all = self.all.mean(FIRST_PACE);
        match request.affinity {
            Some(_) => self.warm.mean(all),
            None => all,
        }
    }

    fn wait_or_refuse(&mut self, now: Time, waiting: Waiting, ahead: usize) -> Intake {
        let usable = self
            .candidates(&waiting.request)
            .filter(|(_, t)| !t.broken(now));
        let slots: u32 = usable.map(|(_, t)| t.view.slots).sum();
        let id = waiting.request.id;
        if slots == 0 {
            let wait = ExpectedWait::Unknown;
            return Intake::Refused(Decision::Refuse { id, wait });
        }
        let pace = self.all.mean(FIRST_PACE);
        let wait = pace.mul_f64((ahead as f64 + 1.0) / f64::from(slots));
        let latest = if now <= waiting.start_by {
            waiting.start_by
        } else {
            now + waiting.request.max_wait
        };
        if now + wait > latest || now + wait > waiting.request.deadline {
            let wait = ExpectedWait::For(wait);
            return Intake::Refused(Decision::Refuse { id, wait });
        }
        self.queue.0.push(Waiting { latest, ..waiting });
        Intake::Waits
    }
}
