//! Grants the places on targets.

use crate::{
    Ask, AskId, Effect, Report, Wait,
    pace::Pace,
    queue::{Queue, Waiting},
    target::{Target, named},
};
use pimento_core::Time;
use std::{sync::Arc, time::Duration};

/// How long a place is kept beyond its request's deadline for a report that may
/// be late.
const OVERTIME: Duration = Duration::from_millis(500);

/// How much longer a run on a target that doesn't know its object must take so
/// that it makes a difference.
const SLOWER: f64 = 1.3;

/// The part of the places up to which a failure domain takes requests whose
/// objects belong to another one.
const ROOM: f64 = 0.5;

/// The run time that is assumed before any was seen.
const FIRST_PACE: Duration = Duration::from_millis(300);

/// What a broker knows of a target from others.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// The name.
    pub id: Arc<str>,
    /// A number of the lifetime, the same on all VMs.
    pub seed: u64,
    /// The service.
    pub service: Arc<str>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// Whether it may get requests.
    pub open: bool,
    /// Until when it is cold.
    pub cold_until: Time,
    /// The requests a second that it bears while cold.
    pub cold_rate: f64,
}

/// A place that a request has.
#[derive(Clone, Debug)]
struct Place {
    id: AskId,
    target: Arc<str>,
    warm: bool,
    until: Time,
}

/// The run times of the targets of a service in a failure domain.
#[derive(Clone, Debug)]
struct Pool {
    service: Arc<str>,
    domain: Arc<str>,
    /// Of requests on targets that had seen their object, and of the others.
    warm: Pace,
    fresh: Pace,
    all: Pace,
}

/// Grants the places on targets.
///
/// The load that it answers: a peak at which more is asked for than all places
/// give. A request waits only if it can start in time by what runs and waits
/// now; others are refused at once, with the time after which it may be
/// different.
#[derive(Clone, Debug, Default)]
pub struct Broker {
    /// Sorted by name.
    targets: Vec<Target>,
    /// Sorted by ask.
    places: Vec<Place>,
    queue: Queue,
    pools: Vec<Pool>,
}

impl Broker {
    /// Takes what is known of all targets; others are dropped.
    pub fn set_targets(&mut self, now: Time, mut views: Vec<TargetView>) -> Vec<Effect> {
        views.sort_by(|a, b| a.id.cmp(&b.id));
        // Both lists are sorted, so one pass over each finds what was known.
        let mut old = std::mem::take(&mut self.targets).into_iter().peekable();
        for view in views {
            while old.next_if(|t| t.view.id < view.id).is_some() {}
            let same = |t: &Target| t.view.id == view.id && t.view.seed == view.seed;
            let target = match old.next_if(same) {
                Some(mut target) => {
                    target.set(view);
                    target
                }
                None => Target::new(view),
            };
            self.targets.push(target);
        }
        self.serve_queue(now)
    }

    /// Takes a request.
    pub fn submit(&mut self, now: Time, ask: Ask) -> Vec<Effect> {
        if let Some(place) = self.place(&ask.id) {
            // The answer was lost and the request is asked for again.
            let target = Arc::clone(&place.target);
            return vec![Effect::Grant { id: ask.id, target }];
        }
        if self.queue.0.iter().any(|w| w.ask.id == ask.id) {
            return Vec::new();
        }
        let pace = self.pace(&ask);
        if !ask.home && !self.has_room(&ask) {
            return vec![Effect::Refuse {
                id: ask.id,
                wait: Wait::For(pace),
            }];
        }
        let waiting = Waiting {
            start_by: ask.objective - pace,
            latest: ask.deadline,
            ask,
        };
        let ahead = self.queue.ahead(now, &waiting);
        if ahead == 0
            && let Some(at) = self.choose(now, &waiting)
        {
            return vec![self.grant(now, at, &waiting.ask)];
        }
        self.wait_or_refuse(now, waiting, ahead)
    }

    /// Takes back a place, or a request that waits.
    pub fn finish(&mut self, now: Time, id: &AskId, report: &Report) -> Vec<Effect> {
        self.queue.0.retain(|w| w.ask.id != *id);
        if let Ok(at) = self.places.binary_search_by(|p| p.id.cmp(id)) {
            let place = self.places.remove(at);
            self.release(now, &place, report);
        }
        self.serve_queue(now)
    }

    /// Lets time pass: gives up what is overdue and serves who waits.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let overdue: Vec<Place> = self.places.extract_if(.., |p| p.until <= now).collect();
        for place in &overdue {
            self.release(now, place, &Report::CANCELLED);
        }
        let mut effects = self.serve_queue(now);
        effects.extend(self.expire(now));
        effects
    }

    /// Whether anything waits, so that time must pass for it.
    pub fn is_waiting(&self) -> bool {
        !self.queue.0.is_empty()
    }

    /// The places taken on a target.
    pub fn running(&self, target: &str) -> u32 {
        let found = self.find(target);
        found.map_or(0, |i| self.targets[i].running)
    }

    /// The number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.0.len()
    }

    fn find(&self, id: &str) -> Option<usize> {
        let found = self.targets.binary_search_by(|t| (*t.view.id).cmp(id));
        found.ok()
    }

    fn place(&self, id: &AskId) -> Option<&Place> {
        let found = self.places.binary_search_by(|p| p.id.cmp(id));
        found.ok().map(|i| &self.places[i])
    }

    /// The targets that a request may run on at some time.
    fn candidates<'a>(&'a self, ask: &'a Ask) -> impl Iterator<Item = (usize, &'a Target)> {
        let targets = self.targets.iter().enumerate();
        targets.filter(move |(_, t)| {
            let pool = t.view.service == ask.service && t.view.domain == ask.domain;
            pool && t.open() && !ask.tried.iter().any(|id| named(t, id))
        })
    }

    /// The best target that is free for a request.
    ///
    /// The load that it answers: objects that come again, on targets that
    /// answer several times faster what they have seen. Running elsewhere takes
    /// more places than waiting for the target that knows the object, and is
    /// too late for the objective anyway; so the request waits while that is
    /// soon free.
    fn choose(&self, now: Time, waiting: &Waiting) -> Option<usize> {
        let ask = &waiting.ask;
        let free = self.candidates(ask).filter(|(_, t)| t.free(now));
        let best = free.max_by_key(|(_, t)| t.fitness(now, ask.object));
        let (at, target) = best?;
        let warm = target.fitness(now, ask.object).warm;
        (warm || !self.worth_waiting(now, waiting)).then_some(at)
    }

    /// Whether a request whose object belongs to another failure domain may run
    /// here.
    ///
    /// The load that it answers: a peak at which requests are turned away
    /// where their objects are known. Each of them would run several times as
    /// long here, and push out what the targets here know.
    fn has_room(&self, ask: &Ask) -> bool {
        let Some(object) = ask.object else {
            return true;
        };
        let slow = self.known_pool(ask).is_none_or(|pool| {
            let (warm, fresh) = (pool.warm.mean(FIRST_PACE), pool.fresh.mean(FIRST_PACE));
            fresh > warm.mul_f64(SLOWER)
        });
        let known = self.candidates(ask).any(|(_, t)| t.is_warm(object));
        if known || !slow {
            return true;
        }
        let (mut running, mut slots) = (0, 0);
        for (_, target) in self.candidates(ask) {
            running += target.running;
            slots += target.view.slots;
        }
        f64::from(running) < f64::from(slots) * ROOM && self.queue.0.is_empty()
    }

    /// Whether a busy target that knows a request's object is free in time.
    fn worth_waiting(&self, now: Time, waiting: &Waiting) -> bool {
        let Some(object) = waiting.ask.object else {
            return false;
        };
        let Some(pool) = self.known_pool(&waiting.ask) else {
            return false;
        };
        let knows = |t: &Target| t.is_warm(object) && t.sound() && !t.broken(now);
        let mut warm = self.candidates(&waiting.ask).filter(|(_, t)| knows(t));
        let Some((_, target)) = warm.next() else {
            return false;
        };
        let turn = waiting.turn(now);
        let before = self.queue.0.iter().filter(|w| w.turn(now) < turn);
        let rivals = before.filter(|w| w.ask.object.is_some_and(|o| target.is_warm(o)));
        let turns = rivals.count() as f64 + 1.0;
        let run = pool.warm.mean(FIRST_PACE);
        let wait = run.mul_f64(turns / f64::from(target.view.slots));
        let gain = pool.fresh.mean(FIRST_PACE).saturating_sub(run);
        wait < gain && now + wait <= waiting.start_by
    }

    fn known_pool(&self, ask: &Ask) -> Option<&Pool> {
        let same = |p: &&Pool| p.service == ask.service && p.domain == ask.domain;
        self.pools.iter().find(same)
    }

    fn grant(&mut self, now: Time, at: usize, ask: &Ask) -> Effect {
        let target = &mut self.targets[at];
        let warm = ask.object.is_some_and(|object| target.is_warm(object));
        target.begin(now, ask.object);
        let place = Place {
            id: ask.id,
            target: Arc::clone(&target.view.id),
            warm,
            until: ask.deadline + OVERTIME,
        };
        let effect = Effect::Grant {
            id: ask.id,
            target: Arc::clone(&place.target),
        };
        let at = self.places.partition_point(|p| p.id < place.id);
        self.places.insert(at, place);
        effect
    }

    fn release(&mut self, now: Time, place: &Place, report: &Report) {
        let Some(at) = self.find(&place.target) else {
            return;
        };
        let view = &self.targets[at].view;
        let (service, domain) = (Arc::clone(&view.service), Arc::clone(&view.domain));
        let pool = self.pool(&service, &domain);
        let like = if place.warm {
            &mut pool.warm
        } else {
            &mut pool.fresh
        };
        let before = like.secs();
        if report.ending == crate::Ending::Answered {
            like.note(report.took);
            pool.all.note(report.took);
        }
        self.targets[at].end(now, report, before);
    }

    fn pool(&mut self, service: &Arc<str>, domain: &Arc<str>) -> &mut Pool {
        let same = |p: &Pool| p.service == *service && p.domain == *domain;
        let at = self.pools.iter().position(same).unwrap_or_else(|| {
            self.pools.push(Pool {
                service: Arc::clone(service),
                domain: Arc::clone(domain),
                warm: Pace::default(),
                fresh: Pace::default(),
                all: Pace::default(),
            });
            self.pools.len() - 1
        });
        &mut self.pools[at]
    }

    /// The time that a request is expected to run: with an object, on a target
    /// that knows it, so that an unknown one is not put off for ever.
    fn pace(&mut self, ask: &Ask) -> Duration {
        let pool = self.pool(&ask.service, &ask.domain);
        let all = pool.all.mean(FIRST_PACE);
        match ask.object {
            Some(_) => pool.warm.mean(all),
            None => all,
        }
    }

    fn wait_or_refuse(&mut self, now: Time, waiting: Waiting, ahead: usize) -> Vec<Effect> {
        let usable = self
            .candidates(&waiting.ask)
            .filter(|(_, t)| !t.broken(now));
        let slots: u32 = usable.map(|(_, t)| t.view.slots).sum();
        let id = waiting.ask.id;
        if slots == 0 {
            let wait = Wait::Unknown;
            return vec![Effect::Refuse { id, wait }];
        }
        let pool = self.known_pool(&waiting.ask);
        let pace = pool.map_or(FIRST_PACE, |pool| pool.all.mean(FIRST_PACE));
        let wait = pace.mul_f64((ahead as f64 + 1.0) / f64::from(slots));
        let latest = if now <= waiting.start_by {
            waiting.start_by
        } else {
            now + waiting.ask.patience
        };
        if now + wait > latest || now + wait > waiting.ask.deadline {
            let wait = Wait::For(wait);
            return vec![Effect::Refuse { id, wait }];
        }
        self.queue.0.push(Waiting { latest, ..waiting });
        Vec::new()
    }

    /// Gives free places to those who wait, in turn.
    fn serve_queue(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut order: Vec<usize> = (0..self.queue.0.len()).collect();
        order.sort_by_key(|i| self.queue.0[*i].turn(now));
        let mut served = Vec::new();
        for i in order {
            let waiting = self.queue.0[i].clone();
            if let Some(at) = self.choose(now, &waiting) {
                effects.push(self.grant(now, at, &waiting.ask));
                served.push(waiting.ask.id);
            }
        }
        self.queue.0.retain(|w| !served.contains(&w.ask.id));
        effects
    }

    /// Refuses requests that can't start in time any more, so that their
    /// callers learn it while they can still come back.
    fn expire(&mut self, now: Time) -> Vec<Effect> {
        let overdue = |w: &mut Waiting| now > w.latest;
        let expired = self.queue.0.extract_if(.., overdue);
        let refused = expired.map(|w| Effect::Refuse {
            id: w.ask.id,
            wait: Wait::For(w.ask.patience),
        });
        refused.collect()
    }
}
