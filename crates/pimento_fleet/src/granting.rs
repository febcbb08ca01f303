//! Places: who grants them, and what becomes of asks.

use crate::{
    AcquirePermit, Effect, Fleet, Node, NodeInfo, PermitDecision, RefusalReason, Role, Stage,
    asks::Pending,
    fleet::{HeldPlace, send},
    message::{AskMessage, Body, Done, DonePlace, VerdictKind, VerdictMessage},
};
use pimento_broker::{
    Decision, ExpectedWait, PermitRequest, RequestId, RequestOutcome, RequestReport,
};
use pimento_core::{Time, hash};
use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

/// The asking processes that are remembered.
const ASKERS: usize = 4_096;

/// How often a returned place is named, in case a datagram is lost.
const RETURNS: usize = 3;

impl Fleet {
    /// Asks for a place; [`Effect::Decided`] tells what became of it.
    pub fn ask(&mut self, now: Time, acquire: &AcquirePermit) -> Vec<Effect> {
        let ask = acquire.message(self.config.local.incarnation);
        let Some(to) = self.granter(now, &ask) else {
            return self.grant(now, &ask);
        };
        let message = send(to, Body::Ask(ask.clone()));
        self.asks.begin(now, to, ask);
        vec![message]
    }

    /// Gives a place back, or withdraws an ask.
    pub fn done(&mut self, now: Time, serial: u64, report: &RequestReport) -> Vec<Effect> {
        if let Some(pending) = self.asks.take(serial) {
            return vec![self.give_back(pending.to, done_place(serial, report))];
        }
        let held = self.held.iter().position(|p| p.serial == serial);
        let granter = held.and_then(|at| self.held.swap_remove(at).granter);
        if let Some(to) = granter {
            return vec![self.give_back(to, done_place(serial, report))];
        }
        let process = self.config.local.incarnation;
        self.finish(now, RequestId { process, serial }, report)
    }

    /// Sends asks again that got no answer, and gives up on others.
    pub(crate) fn chase(&mut self, now: Time) -> Vec<Effect> {
        let (again, given_up) = self.asks.due(now);
        let mut effects: Vec<_> = again
            .into_iter()
            .map(|(to, ask)| send(to, Body::Ask(ask)))
            .collect();
        for pending in given_up {
            if pending.deadline > now {
                effects.extend(self.leave_out(now, pending.to));
            }
            effects.extend(self.give_up(&pending));
        }
        effects
    }

    /// Leaves a process out that did not answer, and gives up on what else it
    /// was asked and did not answer.
    fn leave_out(&mut self, now: Time, address: SocketAddr) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.suspects.note(now, address) {
            effects.push(Effect::Suspected(address));
        }
        for pending in self.asks.take_unanswered(&address) {
            effects.extend(self.give_up(&pending));
        }
        effects
    }

    fn give_up(&mut self, pending: &Pending) -> [Effect; 2] {
        let serial = pending.ask.serial;
        let cancelled = done_place(serial, &RequestReport::CANCELLED);
        let decision = PermitDecision::Refuse(RefusalReason::Unreachable);
        [
            self.give_back(pending.to, cancelled),
            Effect::Decided { serial, decision },
        ]
    }

    /// Takes another process's ask.
    pub(crate) fn take_ask(
        &mut self,
        now: Time,
        from: SocketAddr,
        ask: &AskMessage,
    ) -> Vec<Effect> {
        if self.config.local.stage != Stage::Ready as i32 {
            // What this process knows of targets is not enough, or it ends.
            let kind = Some(VerdictKind::Away(true));
            let serial = ask.serial;
            return vec![send(from, Body::Verdict(VerdictMessage { serial, kind }))];
        }
        self.remember_asker(ask.process, from);
        let effects = self.grant(now, ask);
        let answered = |e: &Effect| {
            let Effect::Send { message, .. } = e else {
                return false;
            };
            matches!(&message.0, Body::Verdict(v) if v.serial == ask.serial)
        };
        if effects.iter().any(answered) {
            return effects;
        }
        let kind = Some(VerdictKind::Queued(true));
        let serial = ask.serial;
        let queued = Body::Verdict(VerdictMessage { serial, kind });
        effects.into_iter().chain([send(from, queued)]).collect()
    }

    /// Takes the verdict on an ask of this process.
    pub(crate) fn take_verdict(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: VerdictMessage,
    ) -> Vec<Effect> {
        let serial = message.serial;
        let Some(kind) = message.kind else {
            return Vec::new();
        };
        self.asks.answered(now, serial);
        if matches!(kind, VerdictKind::Queued(_)) {
            self.asks.queued(now, serial);
            return Vec::new();
        }
        let Some(pending) = self.asks.take(serial) else {
            return self.decline(from, serial, &kind);
        };
        if matches!(kind, VerdictKind::Away(_)) {
            let mut effects = self.leave_out(now, from);
            effects.extend(self.give_up(&pending));
            return effects;
        }
        let decision = match kind {
            VerdictKind::Grant(target) => {
                self.held.push(HeldPlace {
                    serial,
                    granter: Some(from),
                });
                PermitDecision::Grant(Arc::from(target))
            }
            VerdictKind::Refuse(ms) => {
                PermitDecision::Refuse(RefusalReason::Full(Duration::from_millis(ms)))
            }
            VerdictKind::Unusable(_) | VerdictKind::Queued(_) | VerdictKind::Away(_) => {
                PermitDecision::Refuse(RefusalReason::Unusable)
            }
        };
        vec![Effect::Decided { serial, decision }]
    }

    /// Gives back a place that nobody waits for any more.
    fn decline(&mut self, from: SocketAddr, serial: u64, kind: &VerdictKind) -> Vec<Effect> {
        let held = self.held.iter().any(|p| p.serial == serial);
        if held || !matches!(kind, VerdictKind::Grant(_)) {
            return Vec::new();
        }
        let cancelled = done_place(serial, &RequestReport::CANCELLED);
        vec![self.give_back(from, cancelled)]
    }

    /// Takes places back that other processes return.
    pub(crate) fn take_back(&mut self, now: Time, done: &Done) -> Vec<Effect> {
        let mut effects = Vec::new();
        for place in &done.places {
            let id = RequestId {
                process: done.process,
                serial: place.serial,
            };
            effects.extend(self.finish(now, id, &report(place)));
        }
        effects
    }

    fn finish(&mut self, now: Time, id: RequestId, report: &RequestReport) -> Vec<Effect> {
        let decided = self.broker.release(now, &id, report);
        self.broker_effects(decided)
    }

    fn grant(&mut self, now: Time, ask: &AskMessage) -> Vec<Effect> {
        let deputy = self.deputy(ask);
        let decided = self.broker.submit(now, read(now, ask, deputy));
        self.broker_effects(decided)
    }

    /// Carries the broker's decisions to those who asked.
    pub(crate) fn broker_effects(&mut self, decisions: Vec<Decision>) -> Vec<Effect> {
        let me = self.config.local.incarnation;
        let mut effects = Vec::new();
        for decision in decisions {
            let (Decision::Grant { id, .. } | Decision::Refuse { id, .. }) = &decision;
            let id = *id;
            if id.process == me {
                effects.push(self.own_decision(id.serial, decision));
            } else if let Some(to) = self.asker(id.process) {
                let message = VerdictMessage {
                    serial: id.serial,
                    kind: Some(verdict_kind(decision)),
                };
                effects.push(send(to, Body::Verdict(message)));
            }
        }
        effects
    }

    fn own_decision(&mut self, serial: u64, decision: Decision) -> Effect {
        let decision = match decision {
            Decision::Grant { target, .. } => {
                self.held.push(HeldPlace {
                    serial,
                    granter: None,
                });
                PermitDecision::Grant(target)
            }
            Decision::Refuse { wait, .. } => PermitDecision::Refuse(match wait {
                ExpectedWait::For(wait) => RefusalReason::Full(wait),
                ExpectedWait::Unknown => RefusalReason::Unusable,
            }),
        };
        Effect::Decided { serial, decision }
    }

    /// The process that grants the places of a shard of a service's targets in
    /// a failure domain; none if that is this one.
    ///
    /// All processes that know the same ones choose alike. Only one of the
    /// domain is chosen while any lives there; without, one of its region.
    fn granter(&self, now: Time, ask: &AskMessage) -> Option<SocketAddr> {
        let usable = |n: &Node| n.ready() && !self.suspects.holds(now, &n.address);
        let me = &self.config.local;
        let own = me.role == Role::Entry as i32 && me.stage == Stage::Ready as i32;
        let region = self.config.region(&ask.domain);
        // Nearer ones first, then by lot.
        let key = |info: &NodeInfo| {
            let regional = self.config.region(&info.domain) == region;
            let lot = seat(ask, &info.address);
            (info.domain == ask.domain, regional, lot)
        };
        let entries = self.members.of(Role::Entry).filter(|n| usable(n));
        let others = entries.map(|n| (key(&n.info), Some(n.address)));
        let mine = own.then(|| (key(me), None));
        let chosen = others.chain(mine).max_by_key(|(key, _)| *key)?;
        chosen.1.filter(|a| Some(*a) != me.socket_addr())
    }

    /// How many processes of this one's failure domain would grant in front of
    /// it if none was taken for lost.
    fn deputy(&self, ask: &AskMessage) -> u32 {
        let me = &self.config.local;
        let own = seat(ask, &me.address);
        let entries = self.members.of(Role::Entry).filter(|n| n.ready());
        let near = entries.filter(|n| n.info.domain == ask.domain);
        let before = near.filter(|n| seat(ask, &n.info.address) > own);
        before.count() as u32
    }

    /// Notes where an asking process is reached.
    fn remember_asker(&mut self, process: u64, from: SocketAddr) {
        self.askers.retain(|(other, _)| *other != process);
        self.askers.push((process, from));
        if self.askers.len() > ASKERS {
            self.askers.remove(0);
        }
    }

    fn asker(&self, process: u64) -> Option<SocketAddr> {
        let found = self.askers.iter().find(|(other, _)| *other == process);
        found.map(|(_, address)| *address)
    }

    fn give_back(&mut self, to: SocketAddr, place: DonePlace) -> Effect {
        let found = self.returned.iter().position(|(a, _)| *a == to);
        let at = found.unwrap_or_else(|| {
            self.returned.push((to, VecDeque::new()));
            self.returned.len() - 1
        });
        let recent = &mut self.returned[at].1;
        recent.push_front(place);
        recent.truncate(RETURNS);
        let done = Done {
            process: self.config.local.incarnation,
            places: recent.iter().copied().collect(),
        };
        send(to, Body::Done(done))
    }
}

/// The lot by which processes grant the places that are asked for: the greatest
/// one does.
fn seat(ask: &AskMessage, address: &str) -> u64 {
    hash::mix(hash::weight(&ask.service, address) ^ u64::from(ask.shard))
}

/// The ask of a message, with times on this process's clock.
fn read(now: Time, ask: &AskMessage, deputy: u32) -> PermitRequest {
    let left = u64::try_from(ask.objective_ms);
    let objective = match left {
        Ok(ms) => now + Duration::from_millis(ms),
        Err(_) => now - Duration::from_millis(ask.objective_ms.unsigned_abs()),
    };
    PermitRequest {
        id: RequestId {
            process: ask.process,
            serial: ask.serial,
        },
        service: Arc::from(ask.service.as_str()),
        domain: Arc::from(ask.domain.as_str()),
        shard: ask.shard,
        affinity: ask.affinity,
        preferred: ask.preferred,
        standby: deputy,
        priority: ask.priority,
        objective,
        deadline: now + Duration::from_millis(ask.deadline_ms),
        max_wait: Duration::from_millis(ask.max_wait_ms),
        tried: ask.tried.iter().map(|id| Arc::from(id.as_str())).collect(),
    }
}

fn verdict_kind(decision: Decision) -> VerdictKind {
    match decision {
        Decision::Grant { target, .. } => VerdictKind::Grant(target.to_string()),
        Decision::Refuse { wait, .. } => match wait {
            ExpectedWait::For(wait) => VerdictKind::Refuse(wait.as_millis() as u64),
            ExpectedWait::Unknown => VerdictKind::Unusable(true),
        },
    }
}

/// The endings as numbers in messages.
const ENDINGS: [RequestOutcome; 7] = [
    RequestOutcome::Answered,
    RequestOutcome::Shed,
    RequestOutcome::Failed,
    RequestOutcome::Broken,
    RequestOutcome::Replaced,
    RequestOutcome::Cancelled,
    RequestOutcome::Unreachable,
];

fn done_place(serial: u64, report: &RequestReport) -> DonePlace {
    let ending = ENDINGS.iter().position(|e| *e == report.outcome);
    DonePlace {
        serial,
        ending: ending.map_or(0, |i| i as u32),
        took_us: report.took.as_micros() as u64,
        running: report.load.map(|(running, _)| running),
        waiting: report.load.map(|(_, waiting)| waiting),
        cold_ms: report.cold.map(|cold| cold.as_millis() as u32),
    }
}

fn report(place: &DonePlace) -> RequestReport {
    let ending = ENDINGS.get(place.ending as usize);
    RequestReport {
        outcome: ending.copied().unwrap_or(RequestOutcome::Cancelled),
        took: Duration::from_micros(place.took_us),
        load: place.running.zip(place.waiting),
        cold: place.cold_ms.map(|ms| Duration::from_millis(ms.into())),
    }
}
