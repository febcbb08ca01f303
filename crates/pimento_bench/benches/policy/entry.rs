//! Entry VMs: the cores under test, or a baseline policy in their place.

use crate::{
    preset::{self, DOMAINS, VMS, number},
    scenario::Policy,
    world::{Attempt, Event, World},
};
use pimento_admit::{Completion, Effect, Request};
use pimento_core::prelude::*;
use pimento_steer::{Attempts, Failure, Hop, NextStep, Origin, Outcome, RouteRequest};
use rand::{Rng, seq::IndexedRandom};

impl World {
    /// A request arrives at its entry VM.
    pub fn reach_entry(&mut self, req: usize, vm: usize) {
        if !self.vms[vm].up {
            return self.connect(req);
        }
        let now = self.now;
        let request = &mut self.reqs[req];
        request.vm = vm;
        let rule = &self.preset.profiles[request.profile].rule;
        let budget = &mut self.vms[vm].budget;
        let attempts = Attempts::new(now, rule, request.class, request.deadline, budget);
        let hedge = attempts.hedge_after();
        request.attempts = Some(attempts);
        if let Some(delay) = hedge.filter(|_| self.policy == Policy::Pimento) {
            self.schedule_after(delay, Event::Hedge { req });
        }
        self.start_attempt(req);
    }

    /// Starts the next attempt of a request.
    pub fn start_attempt(&mut self, req: usize) {
        let request = &self.reqs[req];
        if request.concluded || !self.vms[request.vm].up {
            return;
        }
        let vm = request.vm;
        let id = self.all_attempts.len();
        self.all_attempts.push(Attempt {
            req,
            entry_vm: vm,
            holder: vm,
            hop: None,
            target: None,
            conn: None,
            started: self.now,
            bytes: 0,
            waiting: false,
            ran: false,
            conn_closed: false,
            pending: true,
        });
        self.reqs[req].open_attempts.push(id);
        match self.policy {
            Policy::Pimento => self.route(id),
            Policy::Static => self.submit(vm, id),
            Policy::Random | Policy::LeastLoaded => self.choose_target(id),
        }
    }

    /// Starts a hedged attempt in parallel to a slow first one, if the retry budget
    /// allows it.
    pub fn start_hedge(&mut self, req: usize) {
        let expected = self.preset.profiles[self.reqs[req].profile].mean_time;
        let (now, request) = (self.now, &mut self.reqs[req]);
        let vm = &mut self.vms[request.vm];
        let Some(attempts) = request.attempts.as_mut().filter(|_| !request.concluded) else {
            return;
        };
        for id in &request.open_attempts {
            if let Some(target) = self.all_attempts[*id].target {
                attempts.record_target(&preset::target_id(target));
            }
        }
        if vm.up && attempts.try_hedge(now, expected, &mut vm.budget) {
            self.start_attempt(req);
        }
    }

    /// Routes an attempt with the project's steering.
    fn route(&mut self, id: usize) {
        let Attempt { req, entry_vm, .. } = self.all_attempts[id];
        let request = &self.reqs[req];
        let service = self.preset.profiles[request.profile].rule.name.clone();
        let vm = &mut self.vms[entry_vm];
        let tried = request.attempts.as_ref().map_or(&[][..], |a| a.tried_vms());
        let route_request = RouteRequest {
            service: &service,
            class: request.class,
            origin: Origin::Caller,
            tried,
            local: vm.admit.headroom(self.now, &service),
        };
        match vm.steer.route(self.now, &route_request) {
            None => self.refuse_attempt(id),
            Some(Hop::Local) => self.submit(entry_vm, id),
            Some(hop) => self.forward(id, hop),
        }
    }

    /// Refuses an attempt for which no slot was found.
    fn refuse_attempt(&mut self, id: usize) {
        let vm = preset::vm_id(self.all_attempts[id].entry_vm);
        self.receive_result(id, Some(Failure::Refused { vm }));
    }

    /// Forwards an attempt to another VM.
    fn forward(&mut self, id: usize, hop: Hop) {
        let Hop::Vm { vm, .. } = &hop else { return };
        let holder = number(vm);
        let entry_vm = self.all_attempts[id].entry_vm;
        self.all_attempts[id].holder = holder;
        self.all_attempts[id].hop = Some(hop);
        let delay = self.draw_latency(entry_vm / VMS, holder / VMS);
        if self.transmit(entry_vm, holder, 1_000) {
            self.schedule_after(delay, Event::ReachHolder { id });
        } else {
            self.lose_attempt(id);
        }
    }

    /// An attempt arrives at the VM that it was forwarded to, which may forward it
    /// to another lease holder inside the domain.
    pub fn receive_forwarded(&mut self, id: usize) {
        let Attempt {
            req,
            entry_vm,
            holder,
            ..
        } = self.all_attempts[id];
        if !self.vms[holder].up {
            return self.lose_attempt(id);
        }
        let request = &self.reqs[req];
        let service = self.preset.profiles[request.profile].rule.name.clone();
        let vm = &mut self.vms[holder];
        let same_domain = entry_vm / VMS == holder / VMS;
        let route_request = RouteRequest {
            service: &service,
            class: request.class,
            origin: if same_domain {
                Origin::Peer
            } else {
                Origin::Domain
            },
            tried: &[],
            local: vm.admit.headroom(self.now, &service),
        };
        match vm.steer.route(self.now, &route_request) {
            Some(Hop::Local) | None => self.submit(holder, id),
            Some(hop @ Hop::Vm { .. }) => {
                // This VM only relays, so it records the outcome at once.
                let answered = Outcome::Answered { bytes: 0 };
                vm.steer.record_outcome(self.now, &service, &hop, answered);
                let Hop::Vm { vm: next, .. } = hop else {
                    return;
                };
                let delay = self.draw_latency(0, 0);
                self.all_attempts[id].holder = number(&next);
                let holder = self.all_attempts[id].holder;
                if self.vms[holder].up {
                    self.schedule_after(delay, Event::ReachHolder { id });
                } else {
                    self.lose_attempt(id);
                }
            }
        }
    }

    /// Submits an attempt to the admission of a VM.
    fn submit(&mut self, vm: usize, id: usize) {
        let Attempt { req, entry_vm, .. } = self.all_attempts[id];
        let request = &self.reqs[req];
        let rule = &self.preset.profiles[request.profile].rule;
        let region = |vm: usize| vm / VMS / DOMAINS;
        let attempts = request.attempts.as_ref();
        let admission_request = Request {
            id: id as u64,
            service: rule.name.clone(),
            tenant: TenantId::new(format!("tenant{}", request.block % 5)).expect("a valid name"),
            class: request.class,
            deadline: request.deadline - self.preset.caller_latency,
            queue: rule.queue.clone(),
            tried: attempts.map_or(Vec::new(), |a| a.tried_targets().to_vec()),
            reserve: (region(entry_vm) != region(vm)).then(|| self.vms[vm].steer.region_reserve()),
        };
        let effects = self.vms[vm].admit.submit(self.now, admission_request);
        self.apply_effects(vm, effects);
    }

    /// Applies the effects that admission returned, and schedules its next wake-up.
    pub fn apply_effects(&mut self, vm: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start { id, target } => self.dispatch(id as usize, number(&target)),
                Effect::Refuse { id, .. } => {
                    let refused = preset::vm_id(vm);
                    self.send_result(id as usize, Some(Failure::Refused { vm: refused }));
                }
            }
        }
        let next = self.vms[vm].admit.next_wake(self.now);
        let known = self.vms[vm].wake.filter(|wake| *wake > self.now);
        if let Some(next) = next
            && known.is_none_or(|known| next < known)
        {
            self.vms[vm].wake = Some(next);
            self.schedule_at(next, Event::Wake { vm });
        }
    }

    pub fn wake(&mut self, vm: usize) {
        if self.vms[vm].up {
            let effects = self.vms[vm].admit.tick(self.now);
            self.apply_effects(vm, effects);
        }
    }

    /// Chooses a target of the region without leases (baseline policies).
    fn choose_target(&mut self, id: usize) {
        let Attempt { req, entry_vm, .. } = self.all_attempts[id];
        let request = &self.reqs[req];
        let tried = request
            .attempts
            .as_ref()
            .map_or(&[][..], |a| a.tried_targets());
        let region = entry_vm / VMS / DOMAINS;
        let candidates: Vec<usize> = (0..self.targets.len())
            .filter(|n| {
                let target = &self.targets[*n];
                let in_region = target.domain / DOMAINS == region;
                in_region && target.profile == request.profile && !target.reported_drain
            })
            .filter(|n| !tried.contains(&preset::target_id(*n)))
            .collect();
        let load = |n: &usize| {
            let target = &self.targets[*n];
            target.reported * 1_000 / target.slots
        };
        let chosen = if self.policy == Policy::LeastLoaded {
            let least = candidates.iter().map(load).min();
            let best: Vec<usize> = candidates
                .iter()
                .copied()
                .filter(|n| Some(load(n)) == least)
                .collect();
            best.choose(&mut self.rng).copied()
        } else {
            candidates.choose(&mut self.rng).copied()
        };
        match chosen {
            Some(target) => self.dispatch(id, target),
            None => self.refuse_attempt(id),
        }
    }

    /// Sends the result of an attempt to the entry VM of its request.
    pub fn send_result(&mut self, id: usize, failure: Option<Failure>) {
        let Attempt {
            req,
            entry_vm,
            holder,
            ..
        } = self.all_attempts[id];
        if entry_vm == holder {
            return self.receive_result(id, failure);
        }
        let mean = self.preset.profiles[self.reqs[req].profile].mean_bytes;
        let bytes = match failure {
            None => (mean as f64 * self.rng.random_range(0.2..1.8)) as u64,
            Some(_) => 200,
        };
        self.all_attempts[id].bytes = bytes;
        let delay = self.draw_latency(entry_vm / VMS, holder / VMS);
        if self.transmit(holder, entry_vm, bytes) {
            self.schedule_after(delay, Event::AttemptResult { id, failure });
        } else {
            self.lose_attempt(id);
        }
    }

    /// The result of an attempt arrives at the entry VM of its request.
    pub fn receive_result(&mut self, id: usize, failure: Option<Failure>) {
        if !self.all_attempts[id].pending || !self.vms[self.all_attempts[id].entry_vm].up {
            return;
        }
        self.all_attempts[id].pending = false;
        let req = self.all_attempts[id].req;
        self.reqs[req].open_attempts.retain(|open| *open != id);
        self.record_forward_outcome(id, failure.as_ref());
        let Some(failure) = failure else {
            return self.conclude(req, None);
        };
        let expected = self.preset.profiles[self.reqs[req].profile].mean_time;
        let (now, request) = (self.now, &mut self.reqs[req]);
        let Some(attempts) = request.attempts.as_mut().filter(|_| !request.concluded) else {
            return;
        };
        let budget = &mut self.vms[request.vm].budget;
        match attempts.record_failure(now, &failure, expected, budget, &mut self.rng) {
            NextStep::Retry { after } => self.schedule_after(after, Event::StartAttempt { req }),
            NextStep::GiveUp { verdict } if request.open_attempts.is_empty() => {
                self.conclude(req, Some(verdict));
            }
            NextStep::GiveUp { .. } => {}
        }
    }

    /// Records the outcome of a forwarded attempt in the steering of the entry VM.
    fn record_forward_outcome(&mut self, id: usize, failure: Option<&Failure>) {
        let Attempt {
            req,
            entry_vm,
            holder,
            ..
        } = self.all_attempts[id];
        let Some(hop) = self.all_attempts[id].hop.take() else {
            return;
        };
        let profile = &self.preset.profiles[self.reqs[req].profile];
        let outcome = match failure {
            None => Outcome::Answered {
                bytes: self.all_attempts[id].bytes,
            },
            Some(Failure::Refused { .. }) => Outcome::Refused,
            Some(_) => Outcome::Failed { bytes: 0 },
        };
        let service = &profile.rule.name;
        let headroom = self.vms[holder].admit.headroom(self.now, service);
        let steer = &mut self.vms[entry_vm].steer;
        steer.record_outcome(self.now, service, &hop, outcome);
        steer.record_headroom(self.now, &preset::vm_id(holder), service, headroom);
    }

    /// Ends an attempt in the admission of the VM that sent it to a target.
    pub fn finish(&mut self, id: usize, completion: Completion) {
        let Attempt { holder, .. } = self.all_attempts[id];
        self.all_attempts[id].waiting = false;
        if matches!(self.policy, Policy::Random | Policy::LeastLoaded) {
            return;
        }
        let effects = self.vms[holder]
            .admit
            .finish(self.now, id as u64, completion);
        self.apply_effects(holder, effects);
    }

    /// The entry VM cancels an attempt whose request is concluded.
    pub fn cancel(&mut self, id: usize) {
        if !self.all_attempts[id].pending {
            return;
        }
        self.all_attempts[id].pending = false;
        self.record_forward_outcome(
            id,
            Some(&Failure::Refused {
                vm: preset::vm_id(0),
            }),
        );
        let Attempt {
            entry_vm, holder, ..
        } = self.all_attempts[id];
        let delay = if entry_vm == holder {
            Duration::ZERO
        } else {
            self.draw_latency(entry_vm / VMS, holder / VMS)
        };
        self.schedule_after(delay, Event::Cancel { id });
    }

    /// A cancellation arrives at the VM that sent the attempt.
    pub fn receive_cancel(&mut self, id: usize) {
        let Attempt { holder, target, .. } = self.all_attempts[id];
        if !self.vms[holder].up {
            return;
        }
        if self.all_attempts[id].waiting {
            let to = self.targets[target.unwrap_or(0)].domain;
            let delay = self.draw_latency(holder / VMS, to);
            self.schedule_after(delay, Event::ConnectionClosed { id });
        }
        self.all_attempts[id].waiting = false;
        let effects = self.vms[holder].admit.cancel(self.now, id as u64);
        self.apply_effects(holder, effects);
    }
}
