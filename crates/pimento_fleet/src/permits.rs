//! Permits: which process grants them, and the exchange of permit requests,
//! decisions and releases.

use crate::{
    AcquirePermit, Effect, Fleet, Node, NodeInfo, PermitDecision, RefusalReason, Role, Stage,
    fleet::{HeldPermit, send},
    message::{
        Body, DecisionKind, PermitDecisionMessage, PermitRequestMessage, ReleaseMessage,
        ReleasedPermit,
    },
    pending_requests::PendingRequest,
    reports::{released_permit, request_report},
};
use pimento_broker::{Decision, ExpectedWait, PermitRequest, RequestId, RequestReport};
use pimento_core::{Time, hash};
use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

/// The most requesting processes whose addresses are kept.
const MAX_REQUESTERS: usize = 4_096;

/// In how many messages a release is included, in case a datagram is lost.
const RELEASE_REPEATS: usize = 3;

impl Fleet {
    /// Requests a permit. [`Effect::Decided`] reports the decision.
    pub fn request_permit(&mut self, now: Time, acquire: &AcquirePermit) -> Vec<Effect> {
        let request = acquire.to_message(self.config.local.incarnation);
        let Some(to) = self.shard_owner(now, &request) else {
            return self.submit_request(now, &request);
        };
        let message = send(to, Body::PermitRequest(request.clone()));
        self.requests.start(now, to, request);
        vec![message]
    }

    /// Releases a permit, or withdraws a permit request that is not decided
    /// yet.
    pub fn release_permit(
        &mut self,
        now: Time,
        serial: u64,
        report: &RequestReport,
    ) -> Vec<Effect> {
        if let Some(pending) = self.requests.remove(serial) {
            return vec![self.send_release(pending.to, released_permit(serial, report))];
        }
        let index = self.permits.iter().position(|p| p.serial == serial);
        let owner = index.and_then(|i| self.permits.swap_remove(i).owner);
        if let Some(to) = owner {
            return vec![self.send_release(to, released_permit(serial, report))];
        }
        let process = self.config.local.incarnation;
        self.finish_request(now, RequestId { process, serial }, report)
    }

    /// Retransmits unanswered requests, and abandons those that were sent too
    /// often or are past their deadline.
    pub(crate) fn retransmit_requests(&mut self, now: Time) -> Vec<Effect> {
        let (resend, abandoned) = self.requests.take_due(now);
        let mut effects: Vec<_> = resend
            .into_iter()
            .map(|(to, request)| send(to, Body::PermitRequest(request)))
            .collect();
        for pending in abandoned {
            if pending.deadline > now {
                effects.extend(self.suspect(now, pending.to));
            }
            effects.extend(self.abandon(&pending));
        }
        effects
    }

    /// Excludes a process that did not answer, and abandons all other requests
    /// that it has not answered.
    fn suspect(&mut self, now: Time, address: SocketAddr) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.suspects.record(now, address) {
            effects.push(Effect::Suspected(address));
        }
        for pending in self.requests.remove_unanswered(&address) {
            effects.extend(self.abandon(&pending));
        }
        effects
    }

    /// Refuses a request whose shard owner can't be reached, and releases the
    /// permit in case that it was granted after all.
    fn abandon(&mut self, pending: &PendingRequest) -> [Effect; 2] {
        let serial = pending.request.serial;
        let cancelled = released_permit(serial, &RequestReport::CANCELLED);
        let decision = PermitDecision::Refuse(RefusalReason::Unreachable);
        [
            self.send_release(pending.to, cancelled),
            Effect::Decided { serial, decision },
        ]
    }

    /// Handles a permit request of another process.
    pub(crate) fn handle_permit_request(
        &mut self,
        now: Time,
        from: SocketAddr,
        request: &PermitRequestMessage,
    ) -> Vec<Effect> {
        if self.config.local.stage != Stage::Ready as i32 {
            // This process doesn't know enough of the targets yet, or it shuts
            // down.
            let unavailable = immediate_answer(request, DecisionKind::Unavailable(true));
            return vec![send(from, unavailable)];
        }
        self.record_requester(request.process, from);
        let mut effects = self.submit_request(now, request);
        if !mark_immediate(&mut effects, request) {
            let queued = immediate_answer(request, DecisionKind::Queued(true));
            effects.push(send(from, queued));
        }
        effects
    }

    /// Handles the decision on a permit request of this process.
    pub(crate) fn handle_decision(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: PermitDecisionMessage,
    ) -> Vec<Effect> {
        let serial = message.serial;
        let Some(kind) = message.kind else {
            return Vec::new();
        };
        self.requests.record_answer(now, serial, message.attempt);
        if matches!(kind, DecisionKind::Queued(_)) {
            self.requests.mark_queued(now, serial);
            return Vec::new();
        }
        let Some(pending) = self.requests.remove(serial) else {
            return self.return_late_grant(from, serial, &kind);
        };
        if matches!(kind, DecisionKind::Unavailable(_)) {
            let mut effects = self.suspect(now, from);
            effects.extend(self.abandon(&pending));
            return effects;
        }
        let decision = match kind {
            DecisionKind::Grant(target) => {
                self.permits.push(HeldPermit {
                    serial,
                    owner: Some(from),
                });
                PermitDecision::Grant(Arc::from(target))
            }
            DecisionKind::Refuse(ms) => {
                let wait = Duration::from_millis(ms);
                let reason = match (message.paused, message.foreign) {
                    (true, _) => RefusalReason::Paused(wait),
                    (false, true) => RefusalReason::Foreign(wait),
                    (false, false) => RefusalReason::Full(wait),
                };
                PermitDecision::Refuse(reason)
            }
            DecisionKind::Unusable(_) | DecisionKind::Queued(_) | DecisionKind::Unavailable(_) => {
                PermitDecision::Refuse(RefusalReason::Unusable)
            }
        };
        vec![Effect::Decided { serial, decision }]
    }

    /// Releases a permit that arrived after its request was withdrawn or
    /// abandoned.
    fn return_late_grant(
        &mut self,
        from: SocketAddr,
        serial: u64,
        kind: &DecisionKind,
    ) -> Vec<Effect> {
        let is_held = self.permits.iter().any(|p| p.serial == serial);
        if is_held || !matches!(kind, DecisionKind::Grant(_)) {
            return Vec::new();
        }
        let cancelled = released_permit(serial, &RequestReport::CANCELLED);
        vec![self.send_release(from, cancelled)]
    }

    /// Handles the releases of another process.
    pub(crate) fn handle_releases(&mut self, now: Time, message: &ReleaseMessage) -> Vec<Effect> {
        let mut effects = Vec::new();
        for permit in &message.permits {
            let id = RequestId {
                process: message.process,
                serial: permit.serial,
            };
            effects.extend(self.finish_request(now, id, &request_report(permit)));
        }
        effects
    }

    fn finish_request(&mut self, now: Time, id: RequestId, report: &RequestReport) -> Vec<Effect> {
        let decisions = self.broker.release(now, &id, report);
        self.deliver_decisions(decisions)
    }

    fn submit_request(&mut self, now: Time, request: &PermitRequestMessage) -> Vec<Effect> {
        let standby = self.standby_rank(request);
        let decisions = self
            .broker
            .submit(now, broker_request(now, request, standby));
        self.deliver_decisions(decisions)
    }

    /// Sends the broker's decisions to the requesting processes.
    pub(crate) fn deliver_decisions(&mut self, decisions: Vec<Decision>) -> Vec<Effect> {
        let local = self.config.local.incarnation;
        let mut effects = Vec::new();
        for decision in decisions {
            let (Decision::Grant { id, .. } | Decision::Refuse { id, .. }) = &decision;
            let id = *id;
            if id.process == local {
                effects.push(self.local_decision(id.serial, decision));
            } else if let Some(to) = self.requester_address(id.process) {
                let message = decision_message(id.serial, decision);
                effects.push(send(to, Body::PermitDecision(message)));
            }
        }
        effects
    }

    fn local_decision(&mut self, serial: u64, decision: Decision) -> Effect {
        let decision = match decision {
            Decision::Grant { target, .. } => {
                self.permits.push(HeldPermit {
                    serial,
                    owner: None,
                });
                PermitDecision::Grant(target)
            }
            Decision::Refuse { wait, .. } => PermitDecision::Refuse(match wait {
                ExpectedWait::For(wait) => RefusalReason::Full(wait),
                ExpectedWait::Foreign(wait) => RefusalReason::Foreign(wait),
                ExpectedWait::Paused(left) => RefusalReason::Paused(left),
                ExpectedWait::Unknown => RefusalReason::Unusable,
            }),
        };
        Effect::Decided { serial, decision }
    }

    /// The process that grants the permits of the requested shard; `None` if
    /// that is this one.
    ///
    /// The owner is chosen by rendezvous hashing, so that all processes with
    /// the same member list agree on it. It is in the failure domain of the
    /// shard if any process there is usable, otherwise in the same region if
    /// possible.
    fn shard_owner(&self, now: Time, request: &PermitRequestMessage) -> Option<SocketAddr> {
        let is_usable = |n: &Node| n.is_ready() && !self.suspects.is_excluded(now, &n.address);
        let local = &self.config.local;
        let is_candidate = local.role == Role::Entry as i32 && local.stage == Stage::Ready as i32;
        let region = self.config.region(&request.domain);
        // Nearer processes first, then the highest rendezvous score.
        let key = |info: &NodeInfo| {
            let regional = self.config.region(&info.domain) == region;
            let score = rendezvous_score(request, &info.address);
            (info.domain == request.domain, regional, score)
        };
        let entries = self.members.with_role(Role::Entry).filter(|n| is_usable(n));
        let others = entries.map(|n| (key(&n.info), Some(n.address)));
        let this = is_candidate.then(|| (key(local), None));
        let chosen = others.chain(this).max_by_key(|(key, _)| *key)?;
        chosen.1.filter(|a| Some(*a) != local.socket_addr())
    }

    /// How many processes of the shard's failure domain precede this one as the
    /// owner if none is suspected; 0 means that this one is the regular owner.
    fn standby_rank(&self, request: &PermitRequestMessage) -> u32 {
        let local = &self.config.local;
        let local_score = rendezvous_score(request, &local.address);
        let entries = self.members.with_role(Role::Entry).filter(|n| n.is_ready());
        let near = entries.filter(|n| n.info.domain == request.domain);
        let ahead = near.filter(|n| rendezvous_score(request, &n.info.address) > local_score);
        ahead.count() as u32
    }

    fn record_requester(&mut self, process: u64, from: SocketAddr) {
        self.requesters.retain(|(other, _)| *other != process);
        self.requesters.push((process, from));
        if self.requesters.len() > MAX_REQUESTERS {
            self.requesters.remove(0);
        }
    }

    fn requester_address(&self, process: u64) -> Option<SocketAddr> {
        let found = self.requesters.iter().find(|(other, _)| *other == process);
        found.map(|(_, address)| *address)
    }

    /// Releases a permit. The message repeats the previous releases to the same
    /// owner.
    fn send_release(&mut self, to: SocketAddr, permit: ReleasedPermit) -> Effect {
        let found = self.releases.iter().position(|(a, _)| *a == to);
        let index = found.unwrap_or_else(|| {
            self.releases.push((to, VecDeque::new()));
            self.releases.len() - 1
        });
        let recent = &mut self.releases[index].1;
        recent.push_front(permit);
        recent.truncate(RELEASE_REPEATS);
        let message = ReleaseMessage {
            process: self.config.local.incarnation,
            permits: recent.iter().copied().collect(),
        };
        send(to, Body::Release(message))
    }
}

/// The rendezvous hash of a process for the requested shard. The process with
/// the highest score owns the shard.
fn rendezvous_score(request: &PermitRequestMessage, address: &str) -> u64 {
    hash::mix(hash::rendezvous_score(&request.service, address) ^ u64::from(request.shard))
}

/// Converts a message to a broker request, with times on the clock of this
/// process.
fn broker_request(now: Time, request: &PermitRequestMessage, standby: u32) -> PermitRequest {
    let left = u64::try_from(request.objective_ms);
    let objective = match left {
        Ok(ms) => now + Duration::from_millis(ms),
        Err(_) => now - Duration::from_millis(request.objective_ms.unsigned_abs()),
    };
    PermitRequest {
        id: RequestId {
            process: request.process,
            serial: request.serial,
        },
        service: Arc::from(request.service.as_str()),
        domain: Arc::from(request.domain.as_str()),
        shard: request.shard,
        affinity: request.affinity,
        preferred: request.preferred,
        standby,
        priority: request.priority,
        objective,
        deadline: now + Duration::from_millis(request.deadline_ms),
        max_wait: Duration::from_millis(request.wait_ms),
        tried: request
            .tried
            .iter()
            .map(|id| Arc::from(id.as_str()))
            .collect(),
    }
}

/// Answers a transmission of a permit request without a wait.
const fn immediate_answer(request: &PermitRequestMessage, kind: DecisionKind) -> Body {
    Body::PermitDecision(PermitDecisionMessage {
        serial: request.serial,
        kind: Some(kind),
        paused: false,
        attempt: request.attempt,
        foreign: false,
    })
}

/// Notes in the decision on a request, if the effects contain it, which
/// transmission it answers. Returns whether they do.
fn mark_immediate(effects: &mut [Effect], request: &PermitRequestMessage) -> bool {
    let decision = effects.iter_mut().find_map(|effect| match effect {
        Effect::Send { message, .. } => match &mut message.0 {
            Body::PermitDecision(decision) if decision.serial == request.serial => Some(decision),
            _ => None,
        },
        _ => None,
    });
    let is_decided = decision.is_some();
    if let Some(decision) = decision {
        decision.attempt = request.attempt;
    }
    is_decided
}

fn decision_message(serial: u64, decision: Decision) -> PermitDecisionMessage {
    let (mut paused, mut foreign) = (false, false);
    let kind = match decision {
        Decision::Grant { target, .. } => DecisionKind::Grant(target.to_string()),
        Decision::Refuse { wait, .. } => match wait {
            ExpectedWait::For(wait) => DecisionKind::Refuse(wait.as_millis() as u64),
            ExpectedWait::Foreign(wait) => {
                foreign = true;
                DecisionKind::Refuse(wait.as_millis() as u64)
            }
            // Rounded up, so that the caller doesn't return too early.
            ExpectedWait::Paused(left) => {
                paused = true;
                DecisionKind::Refuse(left.as_millis() as u64 + 1)
            }
            ExpectedWait::Unknown => DecisionKind::Unusable(true),
        },
    };
    PermitDecisionMessage {
        serial,
        kind: Some(kind),
        paused,
        attempt: 0,
        foreign,
    }
}
