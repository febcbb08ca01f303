//! Handling of one request: routing, permits, attempts and retries.

use crate::{
    GatewayResponse,
    attempt::{Attempt, LoadReport, Outcome, TargetResponse},
    gateway::Inner,
    inbound::{Inbound, InboundBody},
    notices::hold_reason,
    open_requests::{OpenGuard, OpenRequest},
    permits::{self, NoPermit, Permit, PermitNeeds},
    refusals,
};
use futures_util::future::{Either, select};
use hyper::StatusCode;
use pimento_broker::{Origin, Shard, rank_shards};
use pimento_core::hash;
use pimento_fleet::RoutingView;
use pimento_items::{RetrySafety, Route, WeightedRoundRobin};
use pimento_log::{Event, event};
use pimento_notices::UNUSABLE_DELAY;
use pimento_poison::{Fingerprint, Verdict};
use std::{pin::pin, rc::Rc, sync::Arc, time::Duration};
use tokio::time::Instant;

/// How long before the caller's timeout the response is sent, so that it arrives
/// in time.
pub(crate) const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// How long a request that can no longer meet its latency objective may wait for a
/// permit before it is refused, as a fraction of the objective.
const MAX_WAIT_SHARE: f64 = 0.1;

/// The state of one request.
#[derive(Debug)]
pub(crate) struct RequestHandler<'a> {
    inner: &'a Rc<Inner>,
    view: Arc<RoutingView>,
    inbound: Inbound,
    /// The number of attempts that sent the request.
    attempts: u32,
    /// The targets of all attempts.
    tried: Vec<Arc<str>>,
    /// The total time spent waiting for permits.
    permit_wait: Duration,
    /// The numbers of running and waiting requests that the last target reported.
    load: Option<(u32, u32)>,
    /// The number of attempts that broke off.
    breaks: u32,
}

/// The parameters of a request that its route determines.
#[derive(Debug)]
struct RoutePlan {
    name: Arc<str>,
    route: Arc<Route>,
    service: Arc<str>,
    shards: Vec<Shard>,
    affinity: Option<u64>,
    objective: Instant,
    deadline: Instant,
}

/// How to continue after an attempt.
enum NextStep {
    /// Send this response.
    Finish(GatewayResponse),
    /// Make another attempt; send this response if none is possible.
    Retry(GatewayResponse),
}

impl<'a> RequestHandler<'a> {
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
            permit_wait: Duration::ZERO,
            load: None,
            breaks: 0,
        }
    }

    fn fingerprint(&self) -> Fingerprint {
        self.inbound.fingerprint(&self.inner.config.header_names)
    }

    fn verdict(&self) -> Option<Verdict> {
        self.inner.verdict(|| self.fingerprint())
    }

    /// Refuses the request if it crashes targets.
    fn refusal_as_poison(&self) -> Option<GatewayResponse> {
        let is_poison = self.verdict() == Some(Verdict::Refused);
        is_poison.then(|| {
            let request = self.fingerprint();
            self.inner.refuse_poison(&self.inbound.id, request)
        })
    }

    /// Serves the request and returns the response for the caller.
    pub(crate) async fn run(mut self) -> GatewayResponse {
        let plan = match self.plan() {
            Ok(plan) => plan,
            Err(response) => {
                self.record_result(None, &response);
                return response;
            }
        };
        let (now, entry_count) = (self.inner.clock.now(), self.view.entry_count);
        let budgets = &self.inner.retry_budgets;
        budgets.record_request(
            now,
            &plan.service,
            &self.inner.config.retry_budget,
            entry_count,
        );
        let open = self.inner.open_requests.add(OpenRequest {
            id: self.inbound.id.clone(),
            service: Arc::clone(&plan.service),
            target: None,
            arrived_at: self.inbound.arrived_at,
            deadline: plan.deadline,
        });
        let response = self.run_attempts(&plan, &open).await;
        drop(open);
        self.record_result(Some(&plan), &response);
        let request_bytes = self.inbound.body.size_bytes();
        self.inner
            .link_usage
            .record(request_bytes, response.body_bytes());
        response
    }

    /// Finds the route and derives the request's parameters from it.
    fn plan(&self) -> Result<RoutePlan, GatewayResponse> {
        if self.view.catalog.revision() == 0 {
            return Err(GatewayResponse::NotRun {
                retry_after: Some(UNUSABLE_DELAY),
                reason: "this VM knows no routes yet",
            });
        }
        let found = self
            .view
            .routes
            .find(&self.inbound.host, self.inbound.path());
        let (name, route) = found.ok_or(GatewayResponse::Refused {
            status: StatusCode::NOT_FOUND,
            reason: "no route",
        })?;
        let service = self
            .pick_service(name, route)
            .ok_or(GatewayResponse::NotRun {
                retry_after: Some(UNUSABLE_DELAY),
                reason: "the route has no service",
            })?;
        let affinity = self.inbound.affinity.filter(|_| route.sticky);
        let affinity = affinity.map(|key| key ^ hash::fnv([service.as_bytes()]));
        let seed = affinity.unwrap_or_else(|| hash::mix(hash::fnv([self.inbound.id.as_bytes()])));
        let known_shards = self.view.shards(&service).iter();
        let allowed: Vec<Shard> = known_shards
            .filter(|shard| route.allows_region(&shard.region))
            .cloned()
            .collect();
        let config = &self.inner.config;
        let origin = Origin {
            region: &config.region,
            region_count: config.region_count,
        };
        let shards = rank_shards(&allowed, origin, seed);
        let timeout = self
            .inbound
            .caller_timeout
            .unwrap_or_else(|| route.timeout());
        let timeout = timeout.min(route.timeout()).saturating_sub(RESPONSE_MARGIN);
        Ok(RoutePlan {
            name: Arc::clone(name),
            route: Arc::clone(route),
            service,
            shards,
            affinity,
            objective: self.inbound.arrived_at + route.objective(),
            deadline: self.inbound.arrived_at + timeout,
        })
    }

    /// Picks one of the route's services according to their weights.
    fn pick_service(&self, name: &Arc<str>, route: &Route) -> Option<Arc<str>> {
        if let [weighted_service] = route.services.as_slice() {
            return Some(Arc::from(weighted_service.service.as_str()));
        }
        let mut splits = self.inner.splits.borrow_mut();
        let found = splits.binary_search_by(|(other, _)| other.cmp(name));
        let index = found.unwrap_or_else(|index| {
            splits.insert(index, (Arc::clone(name), WeightedRoundRobin::default()));
            index
        });
        let picked = splits[index].1.pick(&route.services, rand::random());
        picked.map(|i| Arc::from(route.services[i].service.as_str()))
    }

    async fn run_attempts(&mut self, plan: &RoutePlan, open: &OpenGuard<'_>) -> GatewayResponse {
        if let Some(refusal) = self.refusal_as_poison() {
            return refusal;
        }
        let mut earlier = None;
        loop {
            let requested_at = Instant::now();
            let acquired = self.acquire_permit(plan).await;
            self.permit_wait += requested_at.elapsed();
            let (target, permit) = match acquired {
                Ok(acquired) => acquired,
                Err(refusal) => {
                    return refusals::final_refusal(refusal, !plan.shards.is_empty(), earlier);
                }
            };
            open.set_target(Some(&target));
            let next = self.run_attempt(plan, &target, permit).await;
            open.set_target(None);
            match next {
                NextStep::Finish(response) => return join_verdicts(earlier, response),
                NextStep::Retry(response) => {
                    let response = join_verdicts(earlier, response);
                    if !self.may_retry(plan) {
                        return response;
                    }
                    earlier = Some(response);
                }
            }
        }
    }

    /// Acquires a permit, unless the process exits before the request's deadline.
    async fn acquire_permit(&self, plan: &RoutePlan) -> Result<(Arc<str>, Permit), NoPermit> {
        let needs = PermitNeeds {
            service: &plan.service,
            shards: &plan.shards,
            affinity: plan.affinity,
            priority: plan.route.priority,
            objective: plan.objective,
            deadline: plan.deadline,
            max_wait: plan.route.objective().mul_f64(MAX_WAIT_SHARE),
            tried: &self.tried,
            id: &self.inbound.id,
        };
        let too_late = pin!(self.inner.shutdown.wait_until_too_late(plan.deadline));
        let acquire = pin!(permits::acquire(self.inner, &needs));
        match select(too_late, acquire).await {
            Either::Left(_) => Err(NoPermit::ShutsDown),
            Either::Right((acquired, _)) => acquired,
        }
    }

    /// Sends the request to a target and releases the permit with the outcome.
    async fn run_attempt(&mut self, plan: &RoutePlan, id: &Arc<str>, permit: Permit) -> NextStep {
        self.tried.push(Arc::clone(id));
        let non_idempotent = plan.route.retry_safety != RetrySafety::Idempotent as i32;
        // The request's view may be older than the granted permit.
        let latest_view = self.inner.shared.load_full();
        let Some(target) = latest_view.target(id) else {
            drop(permit);
            return NextStep::Retry(refusals::not_run("the target has left"));
        };
        // The verdict may have come while the request waited for its permit.
        if let Some(refusal) = self.refusal_as_poison() {
            drop(permit);
            return NextStep::Finish(refusal);
        }
        let attempt = Attempt {
            inner: self.inner,
            header_names: &self.inner.config.header_names,
            pool: &self.inner.pool,
            target,
            non_idempotent,
            objective: plan.route.objective(),
            deadline: plan.deadline,
        };
        let started = Instant::now();
        // A permit may be granted by a VM that doesn't know yet that the target
        // wants no requests.
        let mut spends_body = matches!(self.inbound.body, InboundBody::Streaming(..));
        if spends_body {
            // The attempt consumes what is hashed.
            self.fingerprint();
        }
        let (outcome, load_report) = match self.inner.hold(target) {
            Some(hold) => {
                spends_body = false;
                (Outcome::Held(hold), LoadReport::default())
            }
            None => attempt.send(&mut self.inbound).await,
        };
        self.load = load_report.load;
        self.inner.metrics.record_attempt(&plan.service, &outcome);
        let took = started.elapsed();
        let report = self
            .inner
            .request_report(target, &outcome, &load_report, took);
        permit.release(report);
        if matches!(outcome, Outcome::Broken(cause) if cause.may_be_crash()) {
            self.breaks += 1;
            self.inner.suspect_crash(target, self.fingerprint());
        }
        self.log_attempt(plan, id, &outcome);
        match self.next_step(plan, outcome, load_report.notice().pause, non_idempotent) {
            // Another target would get the request without its body.
            NextStep::Retry(response) if spends_body => NextStep::Finish(response),
            next => next,
        }
    }

    /// Decides how to continue after the outcome of an attempt.
    fn next_step(
        &mut self,
        plan: &RoutePlan,
        outcome: Outcome,
        pause: Option<Duration>,
        non_idempotent: bool,
    ) -> NextStep {
        let sent = !matches!(
            outcome,
            Outcome::NotSent(_) | Outcome::Held(_) | Outcome::Timeout(false)
        );
        self.attempts += u32::from(sent);
        let retryable = !non_idempotent && matches!(self.inbound.body, InboundBody::Buffered(_));
        match outcome {
            Outcome::Answered(response) if response.status.is_server_error() && retryable => {
                NextStep::Retry(pass_through(response))
            }
            Outcome::Answered(response) => NextStep::Finish(pass_through(response)),
            Outcome::Shed => NextStep::Retry(refusals::shed(plan.route.objective(), pause)),
            Outcome::Replaced => {
                NextStep::Retry(refusals::not_run("another target has the address"))
            }
            Outcome::Held(hold) => NextStep::Retry(refusals::held(hold)),
            Outcome::NotSent(reason) => NextStep::Retry(refusals::not_run(reason)),
            Outcome::Broken(cause) if retryable => {
                NextStep::Retry(refusals::may_have_run(false, cause.reason()))
            }
            Outcome::Broken(cause) => {
                NextStep::Finish(refusals::may_have_run(false, cause.reason()))
            }
            Outcome::Timeout(true) => {
                NextStep::Finish(refusals::may_have_run(true, "the time is up"))
            }
            Outcome::Timeout(false) => NextStep::Finish(refusals::not_run("the time is up")),
        }
    }

    /// Whether another attempt is allowed.
    fn may_retry(&self, plan: &RoutePlan) -> bool {
        /// The maximum number of attempts, including those that sent nothing.
        const MAX_TARGETS_TRIED: usize = 4;
        /// The maximum number of attempts that break off: each may have ended its
        /// target.
        const MAX_BREAKS: u32 = 2;
        let time_left = plan.deadline.saturating_duration_since(Instant::now());
        let is_worthwhile =
            time_left > Duration::from_millis(u64::from(plan.route.objective_ms) / 8);
        if !is_worthwhile
            || self.attempts >= plan.route.max_attempts.max(1)
            || self.tried.len() >= MAX_TARGETS_TRIED
            || self.breaks >= MAX_BREAKS
        {
            return false;
        }
        let (now, entry_count) = (self.inner.clock.now(), self.view.entry_count);
        let retry_budget = &self.inner.config.retry_budget;
        self.attempts == 0
            || self
                .inner
                .retry_budgets
                .try_spend(now, &plan.service, retry_budget, entry_count)
    }

    fn log_attempt(&self, plan: &RoutePlan, target: &Arc<str>, outcome: &Outcome) {
        let (cause, verdict) = match outcome {
            Outcome::Answered(response) if !response.status.is_server_error() => return,
            Outcome::Answered(_) => ("the target failed it", "ran"),
            Outcome::Shed => ("the target refused it", "not-run"),
            Outcome::Replaced => ("another target has the address", "not-run"),
            Outcome::NotSent(cause) => (*cause, "not-run"),
            Outcome::Held(hold) => (hold_reason(*hold), "not-run"),
            Outcome::Broken(cause) => (cause.reason(), "may-have-run"),
            Outcome::Timeout(true) => ("the time is up", "may-have-run"),
            Outcome::Timeout(false) => ("the time is up", "not-run"),
        };
        if let Some(dropped) = self.inner.may_log(true) {
            event!(self.inner.log, Event::AttemptFailed, "id" => &self.inbound.id,
                "service" => &*plan.service, "target" => &**target, "cause" => cause,
                "verdict" => verdict, "revision" => self.view.catalog.revision(),
                "request" => self.inbound.known_fingerprint().map(|r| r.to_string()),
                "dropped" => dropped);
        }
    }

    fn record_result(&self, plan: Option<&RoutePlan>, response: &GatewayResponse) {
        let status = response.status();
        let service = plan.map(|p| &*p.service);
        let duration = self.inbound.arrived_at.elapsed();
        let metrics = &self.inner.metrics;
        metrics.record_request(service, response, duration, self.permit_wait);
        let Some(dropped) = self.inner.may_log(!status.is_success()) else {
            return;
        };
        event!(self.inner.log, Event::RequestEnded, "id" => &self.inbound.id,
            "status" => status.as_u16(), "reason" => response.reason(),
            "object" => self.inbound.affinity, "domain" => plan.and_then(|p| p.shards.first()).map(|p| &*p.domain),
            "route" => plan.map(|p| &*p.name), "service" => service,
            "attempts" => self.attempts, "target" => self.tried.last().map(|t| &**t),
            "running" => self.load.map(|(running, _)| running),
            "waiting" => self.load.map(|(_, waiting)| waiting),
            "waited_ms" => self.permit_wait.as_millis() as u64,
            "took_ms" => duration.as_millis() as u64,
            "stopping_ms" => self.inner.stopping_ms(self.inbound.arrived_at),
            "revision" => self.view.catalog.revision(), "dropped" => dropped);
    }
}

/// Returns the latest response, unless it says that the request did not run and
/// an earlier attempt may have run it.
fn join_verdicts(earlier: Option<GatewayResponse>, latest: GatewayResponse) -> GatewayResponse {
    match earlier {
        Some(earlier) if latest.is_not_run() && !earlier.is_not_run() => earlier,
        _ => latest,
    }
}

fn pass_through(response: TargetResponse) -> GatewayResponse {
    GatewayResponse::Target {
        status: response.status,
        headers: response.headers,
        body: response.body,
    }
}
