//! Entry VMs: the cores under test, or a baseline in their place.

use crate::{
    preset::{self, DOMAINS, VMS, number},
    scenario::Policy,
    world::{Event, Try, World},
};
use pimento_admit::{Completion, Effect, Request};
use pimento_core::prelude::*;
use pimento_steer::{Attempts, Failure, Hop, NextStep, Origin, Outcome, RouteRequest};
use rand::{Rng, seq::IndexedRandom};

impl World {
    /// A request reaches its first VM.
    pub fn enter(&mut self, req: usize, vm: usize) {
        if !self.vms[vm].up {
            return self.connect(req);
        }
        let now = self.now;
        let request = &mut self.reqs[req];
        request.vm = vm;
        let rule = &self.preset.kinds[request.kind].rule;
        let budget = &mut self.vms[vm].budget;
        let attempts = Attempts::new(now, rule, request.class, request.deadline, budget);
        let hedge = attempts.hedge_after();
        request.attempts = Some(attempts);
        if let Some(delay) = hedge.filter(|_| self.policy == Policy::Pimento) {
            self.after(delay, Event::Hedge { req });
        }
        self.attempt(req);
    }

    /// Begins an attempt.
    pub fn attempt(&mut self, req: usize) {
        let request = &self.reqs[req];
        if request.over || !self.vms[request.vm].up {
            return;
        }
        let vm = request.vm;
        let id = self.tries.len();
        self.tries.push(Try {
            req,
            first: vm,
            holder: vm,
            hop: None,
            target: None,
            conn: None,
            started: self.now,
            bytes: 0,
            waits: false,
            ran: false,
            closed: false,
            open: true,
        });
        self.reqs[req].open.push(id);
        match self.policy {
            Policy::Pimento => self.route(id),
            Policy::Static => self.submit(vm, id),
            Policy::Random | Policy::Least => self.choose(id),
        }
    }

    /// The second attempt beside a slow first one.
    pub fn hedge(&mut self, req: usize) {
        let expected = self.preset.kinds[self.reqs[req].kind].time;
        let (now, request) = (self.now, &mut self.reqs[req]);
        let vm = &mut self.vms[request.vm];
        let Some(attempts) = request.attempts.as_mut().filter(|_| !request.over) else {
            return;
        };
        for id in &request.open {
            if let Some(target) = self.tries[*id].target {
                attempts.record_target(&preset::target_id(target));
            }
        }
        if vm.up && attempts.try_hedge(now, expected, &mut vm.budget) {
            self.attempt(req);
        }
    }

    /// Routes an attempt by the project's steering.
    fn route(&mut self, id: usize) {
        let Try { req, first, .. } = self.tries[id];
        let request = &self.reqs[req];
        let service = self.preset.kinds[request.kind].rule.name.clone();
        let vm = &mut self.vms[first];
        let tried = request.attempts.as_ref().map_or(&[][..], |a| a.tried_vms());
        let ask = RouteRequest {
            service: &service,
            class: request.class,
            origin: Origin::Caller,
            tried,
            local: vm.admit.headroom(self.now, &service),
        };
        match vm.steer.route(self.now, &ask) {
            None => self.no_place(id),
            Some(Hop::Local) => self.submit(first, id),
            Some(hop) => self.pass(id, hop),
        }
    }

    /// No place is left for an attempt.
    fn no_place(&mut self, id: usize) {
        let vm = preset::vm_id(self.tries[id].first);
        self.reply(id, Some(Failure::Refused { vm }));
    }

    /// Passes an attempt to another VM.
    fn pass(&mut self, id: usize, hop: Hop) {
        let Hop::Vm { vm, .. } = &hop else { return };
        let holder = number(vm);
        let first = self.tries[id].first;
        self.tries[id].holder = holder;
        self.tries[id].hop = Some(hop);
        let delay = self.path(first / VMS, holder / VMS);
        if self.carries(first, holder, 1_000) {
            self.after(delay, Event::Passed { id });
        } else {
            self.lose(id);
        }
    }

    /// An attempt reaches the VM that it was passed to, which may pass it on
    /// to the holder that it thinks best inside the domain.
    pub fn passed(&mut self, id: usize) {
        let Try {
            req, first, holder, ..
        } = self.tries[id];
        if !self.vms[holder].up {
            return self.lose(id);
        }
        let request = &self.reqs[req];
        let service = self.preset.kinds[request.kind].rule.name.clone();
        let vm = &mut self.vms[holder];
        let same = first / VMS == holder / VMS;
        let ask = RouteRequest {
            service: &service,
            class: request.class,
            origin: if same { Origin::Peer } else { Origin::Domain },
            tried: &[],
            local: vm.admit.headroom(self.now, &service),
        };
        match vm.steer.route(self.now, &ask) {
            Some(Hop::Local) | None => self.submit(holder, id),
            Some(hop @ Hop::Vm { .. }) => {
                // The middle VM's own record ends at once: it only relays.
                let answered = Outcome::Answered { bytes: 0 };
                vm.steer.record_outcome(self.now, &service, &hop, answered);
                let Hop::Vm { vm: next, .. } = hop else {
                    return;
                };
                let delay = self.path(0, 0);
                self.tries[id].holder = number(&next);
                let holder = self.tries[id].holder;
                if self.vms[holder].up {
                    self.after(delay, Event::Passed { id });
                } else {
                    self.lose(id);
                }
            }
        }
    }

    /// Asks admission at a VM.
    fn submit(&mut self, vm: usize, id: usize) {
        let Try { req, first, .. } = self.tries[id];
        let request = &self.reqs[req];
        let rule = &self.preset.kinds[request.kind].rule;
        let region = |vm: usize| vm / VMS / DOMAINS;
        let attempts = request.attempts.as_ref();
        let submitted = Request {
            id: id as u64,
            service: rule.name.clone(),
            tenant: TenantId::new(format!("tenant{}", request.block % 5)).expect("a valid name"),
            class: request.class,
            deadline: request.deadline - self.preset.client,
            queue: rule.queue.clone(),
            avoid: attempts.map_or(Vec::new(), |a| a.tried_targets().to_vec()),
            reserve: (region(first) != region(vm)).then(|| self.vms[vm].steer.region_reserve()),
        };
        let effects = self.vms[vm].admit.submit(self.now, submitted);
        self.apply(vm, effects);
    }

    /// Does what admission decided.
    pub fn apply(&mut self, vm: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start { id, target } => self.dispatch(id as usize, number(&target)),
                Effect::Refuse { id, .. } => {
                    let refused = preset::vm_id(vm);
                    self.answer(id as usize, Some(Failure::Refused { vm: refused }));
                }
            }
        }
        let next = self.vms[vm].admit.next_wake(self.now);
        let known = self.vms[vm].wake.filter(|wake| *wake > self.now);
        if let Some(next) = next
            && known.is_none_or(|known| next < known)
        {
            self.vms[vm].wake = Some(next);
            self.at(next, Event::Wake { vm });
        }
    }

    pub fn wake(&mut self, vm: usize) {
        if self.vms[vm].up {
            let effects = self.vms[vm].admit.tick(self.now);
            self.apply(vm, effects);
        }
    }

    /// Chooses a target of the region without leases, for the baselines.
    fn choose(&mut self, id: usize) {
        let Try { req, first, .. } = self.tries[id];
        let request = &self.reqs[req];
        let tried = request
            .attempts
            .as_ref()
            .map_or(&[][..], |a| a.tried_targets());
        let region = first / VMS / DOMAINS;
        let fit: Vec<usize> = (0..self.targets.len())
            .filter(|n| {
                let target = &self.targets[*n];
                let near = target.domain / DOMAINS == region;
                near && target.kind == request.kind && !target.told
            })
            .filter(|n| !tried.contains(&preset::target_id(*n)))
            .collect();
        let load = |n: &usize| {
            let target = &self.targets[*n];
            target.reported * 1_000 / target.slots
        };
        let chosen = if self.policy == Policy::Least {
            let least = fit.iter().map(load).min();
            let best: Vec<usize> = fit
                .iter()
                .copied()
                .filter(|n| Some(load(n)) == least)
                .collect();
            best.choose(&mut self.rng).copied()
        } else {
            fit.choose(&mut self.rng).copied()
        };
        match chosen {
            Some(target) => self.dispatch(id, target),
            None => self.no_place(id),
        }
    }

    /// Sends the ending of an attempt to the first VM of its request.
    pub fn answer(&mut self, id: usize, failure: Option<Failure>) {
        let Try {
            req, first, holder, ..
        } = self.tries[id];
        if first == holder {
            return self.reply(id, failure);
        }
        let mean = self.preset.kinds[self.reqs[req].kind].bytes;
        let bytes = match failure {
            None => (mean as f64 * self.rng.random_range(0.2..1.8)) as u64,
            Some(_) => 200,
        };
        self.tries[id].bytes = bytes;
        let delay = self.path(first / VMS, holder / VMS);
        if self.carries(holder, first, bytes) {
            self.after(delay, Event::Reply { id, failure });
        } else {
            self.lose(id);
        }
    }

    /// An ending reaches the first VM of a request.
    pub fn reply(&mut self, id: usize, failure: Option<Failure>) {
        if !self.tries[id].open || !self.vms[self.tries[id].first].up {
            return;
        }
        self.tries[id].open = false;
        let req = self.tries[id].req;
        self.reqs[req].open.retain(|open| *open != id);
        self.settle(id, failure.as_ref());
        let Some(failure) = failure else {
            return self.conclude(req, None);
        };
        let expected = self.preset.kinds[self.reqs[req].kind].time;
        let (now, request) = (self.now, &mut self.reqs[req]);
        let Some(attempts) = request.attempts.as_mut().filter(|_| !request.over) else {
            return;
        };
        let budget = &mut self.vms[request.vm].budget;
        match attempts.record_failure(now, &failure, expected, budget, &mut self.rng) {
            NextStep::Retry { after } => self.after(after, Event::Attempt { req }),
            NextStep::GiveUp { verdict } if request.open.is_empty() => {
                self.conclude(req, Some(verdict));
            }
            NextStep::GiveUp { .. } => {}
        }
    }

    /// Corrects the first VM's records of an attempt that it passed on.
    fn settle(&mut self, id: usize, failure: Option<&Failure>) {
        let Try {
            req, first, holder, ..
        } = self.tries[id];
        let Some(hop) = self.tries[id].hop.take() else {
            return;
        };
        let kind = &self.preset.kinds[self.reqs[req].kind];
        let outcome = match failure {
            None => Outcome::Answered {
                bytes: self.tries[id].bytes,
            },
            Some(Failure::Refused { .. }) => Outcome::Refused,
            Some(_) => Outcome::Failed { bytes: 0 },
        };
        let service = &kind.rule.name;
        let headroom = self.vms[holder].admit.headroom(self.now, service);
        let steer = &mut self.vms[first].steer;
        steer.record_outcome(self.now, service, &hop, outcome);
        steer.record_headroom(self.now, &preset::vm_id(holder), service, headroom);
    }

    /// Ends the wait for a target at the VM that sent the attempt.
    pub fn finish(&mut self, id: usize, ending: Completion) {
        let Try { holder, .. } = self.tries[id];
        self.tries[id].waits = false;
        if matches!(self.policy, Policy::Random | Policy::Least) {
            return;
        }
        let effects = self.vms[holder].admit.finish(self.now, id as u64, ending);
        self.apply(holder, effects);
    }

    /// The first VM gives up an attempt whose request is over.
    pub fn cancel(&mut self, id: usize) {
        if !self.tries[id].open {
            return;
        }
        self.tries[id].open = false;
        self.settle(
            id,
            Some(&Failure::Refused {
                vm: preset::vm_id(0),
            }),
        );
        let Try { first, holder, .. } = self.tries[id];
        let delay = if first == holder {
            Duration::ZERO
        } else {
            self.path(first / VMS, holder / VMS)
        };
        self.after(delay, Event::Cancel { id });
    }

    /// A cancellation reaches the VM that sent the attempt.
    pub fn cancelled(&mut self, id: usize) {
        let Try { holder, target, .. } = self.tries[id];
        if !self.vms[holder].up {
            return;
        }
        if self.tries[id].waits {
            let to = self.targets[target.unwrap_or(0)].domain;
            let delay = self.path(holder / VMS, to);
            self.after(delay, Event::Closed { id });
        }
        self.tries[id].waits = false;
        let effects = self.vms[holder].admit.cancel(self.now, id as u64);
        self.apply(holder, effects);
    }
}
