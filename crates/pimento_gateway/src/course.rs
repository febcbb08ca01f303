//! The way of a request through attempts to its answer.

use crate::{
    Answer,
    attempt::{Attempt, Outcome, Signs, TargetAnswer},
    gateway::Inner,
    inbound::{Inbound, InboundBody},
    placing::{self, Need, NoPlace, Permit},
};
use hyper::StatusCode;
use pimento_broker::{Origin, RequestOutcome, Shard, rank_shards};
use pimento_core::hash;
use pimento_fleet::{RequestReport, RoutingView};
use pimento_items::{RetrySafety, Route, WeightedRoundRobin};
use pimento_log::{Event, event};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::Instant;

/// The time before the end of a caller's patience at which it is answered, so
/// that the answer is there in time.
const MARGIN: Duration = Duration::from_millis(15);
/// The part of the objective within which a request may wait and then be
/// refused.
const PATIENCE: f64 = 0.1;
/// The wait that is named when no target can be used.
const UNUSABLE: Duration = Duration::from_millis(500);
/// The range by which waits are spread, so that callers don't return together.
const SPREAD: std::ops::Range<f64> = 0.7..1.5;
/// The shortest wait that is named.
const SHORTEST: Duration = Duration::from_millis(50);

/// The way of a request.
#[derive(Debug)]
pub(crate) struct Course<'a> {
    inner: &'a Rc<Inner>,
    view: Arc<RoutingView>,
    inbound: Inbound,
    attempts: u32,
    /// The targets that it was sent to.
    tried: Vec<Arc<str>>,
    waited: Duration,
    /// The requests that ran and waited at the last target, by its account.
    load: Option<(u32, u32)>,
}

/// What a request's route settles for it.
#[derive(Debug)]
struct Plan {
    name: Arc<str>,
    route: Arc<Route>,
    service: Arc<str>,
    places: Vec<Shard>,
    object: Option<u64>,
    objective: Instant,
    deadline: Instant,
}

/// What is to come after an attempt.
enum Next {
    Answer(Answer),
    /// Another attempt, unless there is no way to make it.
    Again(Answer),
}

impl<'a> Course<'a> {
    pub(crate) const fn new(
        inner: &'a Rc<Inner>,
        view: Arc<RoutingView>,
        inbound: Inbound,
    ) -> Self {
        Self {
            inner,
            view,
            inbound,
            attempts: 0,
            tried: Vec::new(),
            waited: Duration::ZERO,
            load: None,
        }
    }

    /// Serves the request.
    pub(crate) async fn run(mut self) -> Answer {
        let plan = match self.plan() {
            Ok(plan) => plan,
            Err(answer) => {
                self.log(None, &answer);
                return answer;
            }
        };
        let (now, vms) = (self.inner.clock.now(), self.view.entry_count);
        let budgets = &self.inner.budgets;
        budgets.request(now, &plan.service, &self.inner.config.repeats, vms);
        let answer = self.attempts(&plan).await;
        self.log(Some(&plan), &answer);
        let request = self.inbound.body.size();
        self.inner.traffic.note(request, answer.size());
        answer
    }

    /// Finds the route and what it settles.
    fn plan(&self) -> Result<Plan, Answer> {
        if self.view.catalog.revision() == 0 {
            return Err(Answer::NotRun {
                after: Some(UNUSABLE),
                reason: "this VM knows no routes yet",
            });
        }
        let found = self
            .view
            .routes
            .find(&self.inbound.host, self.inbound.path());
        let (name, route) = found.ok_or(Answer::Refused {
            status: StatusCode::NOT_FOUND,
            reason: "no route",
        })?;
        let service = self.pick_service(name, route).ok_or(Answer::NotRun {
            after: Some(UNUSABLE),
            reason: "the route has no service",
        })?;
        let object = self.inbound.object.filter(|_| route.sticky);
        let object = object.map(|key| key ^ hash::fnv([service.as_bytes()]));
        let lot = object.unwrap_or_else(|| hash::mix(hash::fnv([self.inbound.id.as_bytes()])));
        let known = self.view.shards(&service).iter();
        let allowed: Vec<Shard> = known
            .filter(|p| route.allows_region(&p.region))
            .cloned()
            .collect();
        let config = &self.inner.config;
        let origin = Origin {
            region: &config.region,
            region_count: config.regions,
        };
        let places = rank_shards(&allowed, origin, lot);
        let limit = self.inbound.patience.unwrap_or_else(|| route.timeout());
        let limit = limit.min(route.timeout()).saturating_sub(MARGIN);
        Ok(Plan {
            name: Arc::clone(name),
            route: Arc::clone(route),
            service,
            places,
            object,
            objective: self.inbound.arrived + route.objective(),
            deadline: self.inbound.arrived + limit,
        })
    }

    /// The service that a request of a route goes to.
    fn pick_service(&self, name: &Arc<str>, route: &Route) -> Option<Arc<str>> {
        if let [part] = route.parts.as_slice() {
            return Some(Arc::from(part.service.as_str()));
        }
        let mut splits = self.inner.splits.borrow_mut();
        let found = splits.binary_search_by(|(other, _)| other.cmp(name));
        let at = found.unwrap_or_else(|at| {
            splits.insert(at, (Arc::clone(name), WeightedRoundRobin::default()));
            at
        });
        let picked = splits[at].1.pick(&route.parts, rand::random());
        picked.map(|i| Arc::from(route.parts[i].service.as_str()))
    }

    async fn attempts(&mut self, plan: &Plan) -> Answer {
        let mut answer = None;
        loop {
            let asked = Instant::now();
            let placed = self.place(plan).await;
            self.waited += asked.elapsed();
            let (target, permit) = match placed {
                Ok(placed) => placed,
                Err(refusal) => return answer.unwrap_or_else(|| Self::refuse(plan, refusal)),
            };
            match self.attempt(plan, &target, permit).await {
                Next::Answer(answer) => return answer,
                Next::Again(fallback) => {
                    if !self.may_repeat(plan) {
                        return fallback;
                    }
                    answer = Some(fallback);
                }
            }
        }
    }

    async fn place(&self, plan: &Plan) -> Result<(Arc<str>, Permit), NoPlace> {
        let need = Need {
            service: &plan.service,
            places: &plan.places,
            object: plan.object,
            priority: plan.route.priority,
            objective: plan.objective,
            deadline: plan.deadline,
            patience: plan.route.objective().mul_f64(PATIENCE),
            tried: &self.tried,
            id: &self.inbound.id,
        };
        placing::place(self.inner, &need).await
    }

    /// Sends the request to a target and reports what became of it.
    async fn attempt(&mut self, plan: &Plan, id: &Arc<str>, permit: Permit) -> Next {
        self.tried.push(Arc::clone(id));
        let once = plan.route.repeat != RetrySafety::Idempotent as i32;
        // The view may be older than the grant.
        let newest = self.inner.shared.load_full();
        let Some(target) = newest.target(id) else {
            drop(permit);
            return Next::Again(Self::not_run("the target has left"));
        };
        let attempt = Attempt {
            dialect: &self.inner.config.dialect,
            pool: &self.inner.pool,
            target,
            once,
            deadline: plan.deadline,
        };
        let begun = Instant::now();
        let (outcome, signs) = attempt.send(&mut self.inbound).await;
        self.load = signs.load;
        self.inner.metrics.attempt(&plan.service, &outcome);
        permit.finish(evidence(&outcome, signs, begun.elapsed()));
        self.note(plan, id, &outcome);
        self.judge(plan, outcome, once)
    }

    /// What an attempt's outcome means for the caller.
    fn judge(&mut self, plan: &Plan, outcome: Outcome, once: bool) -> Next {
        let sent = !matches!(outcome, Outcome::NotSent(_) | Outcome::Timeout(false));
        self.attempts += u32::from(sent);
        let repeatable = !once && matches!(self.inbound.body, InboundBody::Whole(_));
        match outcome {
            Outcome::Answered(answer) if answer.status.is_server_error() && repeatable => {
                Next::Again(passed(answer))
            }
            Outcome::Answered(answer) => Next::Answer(passed(answer)),
            Outcome::Shed => Next::Again(Self::busy(plan, "the target refused the request")),
            Outcome::Replaced => Next::Again(Self::not_run("another target has the address")),
            Outcome::NotSent(reason) => Next::Again(Self::not_run(reason)),
            Outcome::Broken(reason) if repeatable => Next::Again(unclear(false, reason)),
            Outcome::Broken(reason) => Next::Answer(unclear(false, reason)),
            Outcome::Timeout(true) => Next::Answer(unclear(true, "the time is up")),
            Outcome::Timeout(false) => Next::Answer(Self::not_run("the time is up")),
        }
    }

    /// Whether another attempt may be made.
    fn may_repeat(&self, plan: &Plan) -> bool {
        /// The attempts, sent or not, after which a request is given up.
        const TRIES: usize = 4;
        let left = plan.deadline.saturating_duration_since(Instant::now());
        let worth = left > Duration::from_millis(u64::from(plan.route.objective_ms) / 8);
        if !worth || self.attempts >= plan.route.max_attempts.max(1) || self.tried.len() >= TRIES {
            return false;
        }
        let (now, vms) = (self.inner.clock.now(), self.view.entry_count);
        let repeats = &self.inner.config.repeats;
        self.attempts == 0 || self.inner.budgets.spend(now, &plan.service, repeats, vms)
    }

    fn refuse(plan: &Plan, refusal: NoPlace) -> Answer {
        match refusal {
            NoPlace::Full(wait) => Answer::NotRun {
                after: Some(spread(wait)),
                reason: "all places are taken",
            },
            NoPlace::Unusable if plan.places.is_empty() => Answer::NotRun {
                after: Some(spread(UNUSABLE)),
                reason: "the service has no targets",
            },
            NoPlace::Unusable => Answer::NotRun {
                after: Some(spread(UNUSABLE)),
                reason: "no target can be used",
            },
        }
    }

    fn busy(plan: &Plan, reason: &'static str) -> Answer {
        Answer::NotRun {
            after: Some(spread(plan.route.objective() / 4)),
            reason,
        }
    }

    fn not_run(reason: &'static str) -> Answer {
        Answer::NotRun {
            after: Some(spread(SHORTEST)),
            reason,
        }
    }

    fn note(&self, plan: &Plan, target: &Arc<str>, outcome: &Outcome) {
        let (cause, verdict) = match outcome {
            Outcome::Answered(answer) if !answer.status.is_server_error() => return,
            Outcome::Answered(_) => ("the target failed it", "ran"),
            Outcome::Shed => ("the target refused it", "not-run"),
            Outcome::Replaced => ("another target has the address", "not-run"),
            Outcome::NotSent(cause) => (*cause, "not-run"),
            Outcome::Broken(cause) => (*cause, "may-have-run"),
            Outcome::Timeout(true) => ("the time is up", "may-have-run"),
            Outcome::Timeout(false) => ("the time is up", "not-run"),
        };
        if let Some(dropped) = self.inner.may_log(true) {
            event!(self.inner.log, Event::AttemptFailed, "id" => &self.inbound.id,
                "service" => &*plan.service, "target" => &**target, "cause" => cause,
                "verdict" => verdict, "revision" => self.view.catalog.revision(),
                "dropped" => dropped);
        }
    }

    fn log(&self, plan: Option<&Plan>, answer: &Answer) {
        let status = answer.status();
        let service = plan.map(|p| &*p.service);
        let took = self.inbound.arrived.elapsed();
        let metrics = &self.inner.metrics;
        metrics.request(service, answer, took, self.waited);
        let Some(dropped) = self.inner.may_log(!status.is_success()) else {
            return;
        };
        event!(self.inner.log, Event::RequestEnded, "id" => &self.inbound.id,
            "status" => status.as_u16(), "reason" => answer.reason(),
            "object" => self.inbound.object, "domain" => plan.and_then(|p| p.places.first()).map(|p| &*p.domain),
            "route" => plan.map(|p| &*p.name), "service" => service,
            "attempts" => self.attempts, "target" => self.tried.last().map(|t| &**t),
            "running" => self.load.map(|(running, _)| running),
            "waiting" => self.load.map(|(_, waiting)| waiting),
            "waited_ms" => self.waited.as_millis() as u64,
            "took_ms" => took.as_millis() as u64,
            "revision" => self.view.catalog.revision(), "dropped" => dropped);
    }
}

/// Spreads waits, so that callers don't return together.
fn spread(wait: Duration) -> Duration {
    wait.mul_f64(rand::random_range(SPREAD)).max(SHORTEST)
}

fn passed(answer: TargetAnswer) -> Answer {
    Answer::Target {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
    }
}

const fn unclear(timeout: bool, reason: &'static str) -> Answer {
    Answer::Unclear { timeout, reason }
}

/// What the granter learns of an attempt.
fn evidence(outcome: &Outcome, signs: Signs, took: Duration) -> RequestReport {
    let outcome = match outcome {
        Outcome::Answered(answer) if answer.status.is_server_error() => RequestOutcome::Failed,
        Outcome::Answered(_) => RequestOutcome::Answered,
        Outcome::Shed => RequestOutcome::Shed,
        Outcome::Replaced => RequestOutcome::Replaced,
        Outcome::NotSent(_) => RequestOutcome::Unreachable,
        Outcome::Broken(_) => RequestOutcome::Broken,
        Outcome::Timeout(true) => RequestOutcome::Failed,
        Outcome::Timeout(false) => RequestOutcome::Cancelled,
    };
    RequestReport {
        outcome,
        took,
        load: signs.load,
        cold: signs.cold,
    }
}
