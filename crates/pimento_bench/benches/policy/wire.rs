//! What lies between entry VMs and targets.

use crate::{
    preset::{self, DOMAINS, VMS},
    scenario::{Fault, Policy},
    world::{Conn, Event, Try, Word, World},
};
use pimento_admit::Completion;
use pimento_core::prelude::*;
use pimento_steer::Failure;
use rand::{SeedableRng, rngs::SmallRng};

/// What a new connection to a target costs.
const CONNECT: Duration = Duration::from_millis(1);
/// How long links take to notice that the other end is gone.
const NOTICE: Duration = Duration::from_millis(300);
/// How many times the expected time a repeatable attempt is waited for.
const PATIENCE: u32 = 10;

impl World {
    /// Whether the network carries bytes between two VMs now.
    pub fn carries(&mut self, from: usize, to: usize, bytes: u64) -> bool {
        let region = |vm: usize| vm / VMS / DOMAINS;
        let (a, b) = (region(from), region(to));
        let cut = self.faulty && self.scenario.has(Fault::RegionCut);
        if cut && a != b && (a == 0 || b == 0) {
            return false;
        }
        self.links.add(self.now, a, b, bytes);
        true
    }

    /// An attempt is lost between two VMs; the first one notices.
    pub fn lose(&mut self, id: usize) {
        let holder = self.tries[id].holder;
        let failure = Failure::Failed {
            verdict: Verdict::MayHaveRun,
            target: None,
            vm: Some(preset::vm_id(holder)),
        };
        let failure = Some(failure);
        self.after(NOTICE, Event::Reply { id, failure });
    }

    /// Takes an idle connection that may carry the request, or opens one.
    fn connection(&mut self, vm: usize, target: usize, repeatable: bool) -> (Conn, bool) {
        let now = self.now;
        let picky = self.policy == Policy::Pimento;
        let vm = &mut self.vms[vm];
        while let Some(conn) = vm.pools[target].pop() {
            if !picky || vm.silence.is_usable(now, &conn.key, repeatable) {
                return (conn, false);
            }
            vm.silence.remove(&conn.key);
        }
        self.keys += 1;
        let (key, silent) = (self.keys, false);
        (Conn { key, silent }, true)
    }

    /// Sends an attempt to a target.
    pub fn dispatch(&mut self, id: usize, target: usize) {
        let Try { req, holder, .. } = self.tries[id];
        let kind = &self.preset.kinds[self.reqs[req].kind];
        let (repeatable, time) = (kind.rule.repeatable, kind.time);
        let (conn, fresh) = self.connection(holder, target, repeatable);
        let open = if fresh { CONNECT } else { Duration::ZERO };
        let delay = open + self.path(holder / VMS, self.targets[target].domain);
        let silent = conn.silent;
        let attempt = &mut self.tries[id];
        attempt.target = Some(target);
        attempt.conn = Some(conn);
        attempt.started = self.now;
        attempt.waits = true;
        if !silent {
            self.after(delay, Event::AtTarget { id, fresh });
        }
        let deadline = self.reqs[req].deadline - self.preset.client;
        let patience = self.now + time * PATIENCE;
        let limit = if repeatable && self.policy == Policy::Pimento {
            patience.min(deadline)
        } else {
            deadline
        };
        self.at(limit.max(self.now), Event::Silence { id });
    }

    fn word_after(&mut self, id: usize, word: Word) {
        let Try { holder, target, .. } = self.tries[id];
        let from = self.targets[target.unwrap_or(0)].domain;
        let delay = self.path(holder / VMS, from);
        self.after(delay, Event::Word { id, word });
    }

    /// An attempt reaches its target.
    pub fn at_target(&mut self, id: usize, fresh: bool) {
        let Try { req, target, .. } = self.tries[id];
        let target = target.unwrap_or(0);
        let kind = self.targets[target].kind;
        if self.tries[id].closed {
            return;
        }
        if !self.targets[target].up {
            let word = if fresh { Word::Refused } else { Word::Broken };
            return self.word_after(id, word);
        }
        self.stats.attempts += 1;
        if self.targets[target].running.len() >= self.targets[target].slots as usize {
            self.stats.slot_overruns += 1;
            return self.word_after(id, Word::Shed);
        }
        self.targets[target].running.push(id);
        self.tries[id].ran = true;
        if self.targets[target].drain.is_some() {
            self.targets[target].last = Some(self.now);
        }
        let request = &mut self.reqs[req];
        request.runs += 1;
        let repeatable = self.preset.kinds[kind].rule.repeatable;
        if request.runs > 1 && !repeatable {
            self.stats.duplicates += 1;
        }
        let deadline = request.deadline;
        let mean = self.preset.kinds[kind].time;
        // The same run takes as long under each policy.
        let mut rng = SmallRng::seed_from_u64((req as u64) << 8 | u64::from(request.runs));
        let time = self.targets[target].draw(self.now, mean, &mut rng);
        // Targets stop at the deadline.
        self.at((self.now + time).min(deadline), Event::Done { id });
    }

    /// Takes an attempt off its target; false if it no longer runs there.
    fn stop(&mut self, id: usize) -> bool {
        let target = self.tries[id].target.unwrap_or(0);
        let running = &mut self.targets[target].running;
        let found = running.iter().position(|running| *running == id);
        found.map(|i| running.swap_remove(i)).is_some()
    }

    /// A target ends an attempt.
    pub fn done(&mut self, id: usize) {
        let late = self.now >= self.reqs[self.tries[id].req].deadline;
        if self.stop(id) && !late {
            self.word_after(id, Word::Answer);
        }
    }

    /// A closed connection reaches the target.
    pub fn closed(&mut self, id: usize) {
        self.tries[id].closed = true;
        self.stop(id);
    }

    /// A target's word reaches the VM that sent the attempt.
    pub fn word(&mut self, id: usize, word: Word) {
        let Try {
            holder,
            target,
            started,
            ..
        } = self.tries[id];
        if !self.tries[id].waits || !self.vms[holder].up {
            return;
        }
        let target = target.unwrap_or(0);
        if let Some(conn) = self.tries[id].conn.take()
            && matches!(word, Word::Answer | Word::Shed)
        {
            let vm = &mut self.vms[holder];
            vm.silence.record_activity(self.now, &conn.key);
            vm.pools[target].push(conn);
        }
        let latency = self.now.since(started);
        let name = preset::target_id(target);
        let failed = |verdict| Failure::Failed {
            verdict,
            target: Some(name.clone()),
            vm: None,
        };
        let (ending, failure) = match word {
            Word::Answer => (Completion::Ok { latency }, None),
            Word::Shed => {
                let target = name.clone();
                (Completion::Shed, Some(Failure::Shed { target }))
            }
            Word::Refused => {
                let vm = preset::vm_id(holder);
                (Completion::Unreachable, Some(Failure::Refused { vm }))
            }
            Word::Broken => (Completion::Failed, Some(failed(Verdict::MayHaveRun))),
        };
        self.finish(id, ending);
        self.answer(id, failure);
    }

    /// Nothing came for long at the VM that sent the attempt.
    pub fn silence(&mut self, id: usize) {
        let Try {
            req,
            holder,
            target,
            ..
        } = self.tries[id];
        if !self.tries[id].waits || !self.vms[holder].up {
            return;
        }
        let ran = self.tries[id].ran;
        self.stats.expired[self.reqs[req].class as usize] += u64::from(ran);
        let failure = Failure::Failed {
            verdict: Verdict::MayHaveRun,
            target: target.map(preset::target_id),
            vm: None,
        };
        self.finish(id, Completion::TimedOut);
        self.answer(id, Some(failure));
    }
}
