//! The network between VMs, and the connections to targets.

use crate::{
    preset::{self, DOMAINS, VMS},
    scenario::{Fault, Policy},
    world::{Attempt, Conn, Event, TargetReply, World},
};
use pimento_admit::Completion;
use pimento_core::prelude::*;
use pimento_steer::Failure;
use rand::{SeedableRng, rngs::SmallRng};

/// Time to open a connection to a target.
const CONNECT_TIME: Duration = Duration::from_millis(1);
/// Time until a VM detects that the other end of a link is gone.
const LOSS_DETECTION_TIME: Duration = Duration::from_millis(300);
/// Response timeout of a repeatable attempt, as a multiple of its mean service
/// time.
const RESPONSE_TIMEOUT_FACTOR: u32 = 10;

impl World {
    /// Sends bytes from one VM to another and counts them on the link between their
    /// regions; returns false if the regions are cut off from each other.
    pub fn transmit(&mut self, from: usize, to: usize, bytes: u64) -> bool {
        let region = |vm: usize| vm / VMS / DOMAINS;
        let (a, b) = (region(from), region(to));
        let cut = self.faults_active && self.scenario.has_fault(Fault::RegionCut);
        if cut && a != b && (a == 0 || b == 0) {
            return false;
        }
        self.links.record_bytes(self.now, a, b, bytes);
        true
    }

    /// An attempt is lost between two VMs; the entry VM detects it after a delay.
    pub fn lose_attempt(&mut self, id: usize) {
        let holder = self.all_attempts[id].holder;
        let failure = Failure::Failed {
            verdict: Verdict::MayHaveRun,
            target: None,
            vm: Some(preset::vm_id(holder)),
        };
        let failure = Some(failure);
        self.schedule_after(LOSS_DETECTION_TIME, Event::AttemptResult { id, failure });
    }

    /// Takes an idle connection from the pool that may carry the request, or opens a
    /// new one.
    fn checkout_connection(&mut self, vm: usize, target: usize, repeatable: bool) -> (Conn, bool) {
        let now = self.now;
        let checks_liveness = self.policy == Policy::Pimento;
        let vm = &mut self.vms[vm];
        while let Some(conn) = vm.pools[target].pop() {
            if !checks_liveness || vm.liveness.is_usable(now, &conn.key, repeatable) {
                return (conn, false);
            }
            vm.liveness.remove(&conn.key);
        }
        self.conn_keys += 1;
        let (key, silent) = (self.conn_keys, false);
        (Conn { key, silent }, true)
    }

    /// Sends an attempt to a target.
    pub fn dispatch(&mut self, id: usize, target: usize) {
        let Attempt { req, holder, .. } = self.all_attempts[id];
        let profile = &self.preset.profiles[self.reqs[req].profile];
        let (repeatable, time) = (profile.rule.repeatable, profile.mean_time);
        let (conn, fresh) = self.checkout_connection(holder, target, repeatable);
        let connect_time = if fresh { CONNECT_TIME } else { Duration::ZERO };
        let delay = connect_time + self.draw_latency(holder / VMS, self.targets[target].domain);
        let silent = conn.silent;
        let attempt = &mut self.all_attempts[id];
        attempt.target = Some(target);
        attempt.conn = Some(conn);
        attempt.started = self.now;
        attempt.waiting = true;
        if !silent {
            self.schedule_after(delay, Event::ReachTarget { id, fresh });
        }
        let deadline = self.reqs[req].deadline - self.preset.caller_latency;
        let response_timeout = self.now + time * RESPONSE_TIMEOUT_FACTOR;
        let limit = if repeatable && self.policy == Policy::Pimento {
            response_timeout.min(deadline)
        } else {
            deadline
        };
        self.schedule_at(limit.max(self.now), Event::ResponseTimeout { id });
    }

    fn send_target_reply(&mut self, id: usize, reply: TargetReply) {
        let Attempt { holder, target, .. } = self.all_attempts[id];
        let from = self.targets[target.unwrap_or(0)].domain;
        let delay = self.draw_latency(holder / VMS, from);
        self.schedule_after(delay, Event::TargetReply { id, reply });
    }

    /// An attempt arrives at its target.
    pub fn reach_target(&mut self, id: usize, fresh: bool) {
        let Attempt { req, target, .. } = self.all_attempts[id];
        let target = target.unwrap_or(0);
        let profile = self.targets[target].profile;
        if self.all_attempts[id].conn_closed {
            return;
        }
        if !self.targets[target].up {
            let reply = if fresh {
                TargetReply::Refused
            } else {
                TargetReply::Broken
            };
            return self.send_target_reply(id, reply);
        }
        self.stats.target_attempts += 1;
        if self.targets[target].running.len() >= self.targets[target].slots as usize {
            self.stats.slot_overruns += 1;
            return self.send_target_reply(id, TargetReply::Shed);
        }
        self.targets[target].running.push(id);
        self.all_attempts[id].ran = true;
        if self.targets[target].drain_start.is_some() {
            self.targets[target].last_accepted = Some(self.now);
        }
        let request = &mut self.reqs[req];
        request.runs += 1;
        let repeatable = self.preset.profiles[profile].rule.repeatable;
        if request.runs > 1 && !repeatable {
            self.stats.duplicates += 1;
        }
        let deadline = request.deadline;
        let mean = self.preset.profiles[profile].mean_time;
        // Seeded by request and run, so that a run draws the same time under each
        // policy.
        let mut rng = SmallRng::seed_from_u64((req as u64) << 8 | u64::from(request.runs));
        let time = self.targets[target].draw_service_time(self.now, mean, &mut rng);
        // Targets abort runs at the deadline.
        self.schedule_at((self.now + time).min(deadline), Event::RunEnded { id });
    }

    /// Stops an attempt at its target; returns false if it no longer runs there.
    fn stop_run(&mut self, id: usize) -> bool {
        let target = self.all_attempts[id].target.unwrap_or(0);
        let running = &mut self.targets[target].running;
        let found = running.iter().position(|running| *running == id);
        found.map(|i| running.swap_remove(i)).is_some()
    }

    /// A target finishes the run of an attempt.
    pub fn end_run(&mut self, id: usize) {
        let is_late = self.now >= self.reqs[self.all_attempts[id].req].deadline;
        if self.stop_run(id) && !is_late {
            self.send_target_reply(id, TargetReply::Answer);
        }
    }

    /// The target notices that the connection of an attempt was closed, and stops
    /// the run.
    pub fn connection_closed(&mut self, id: usize) {
        self.all_attempts[id].conn_closed = true;
        self.stop_run(id);
    }

    /// A target's reply arrives at the VM that sent the attempt.
    pub fn receive_target_reply(&mut self, id: usize, reply: TargetReply) {
        let Attempt {
            holder,
            target,
            started,
            ..
        } = self.all_attempts[id];
        if !self.all_attempts[id].waiting || !self.vms[holder].up {
            return;
        }
        let target = target.unwrap_or(0);
        if let Some(conn) = self.all_attempts[id].conn.take()
            && matches!(reply, TargetReply::Answer | TargetReply::Shed)
        {
            let vm = &mut self.vms[holder];
            vm.liveness.record_activity(self.now, &conn.key);
            vm.pools[target].push(conn);
        }
        let latency = self.now.since(started);
        let name = preset::target_id(target);
        let failed = |verdict| Failure::Failed {
            verdict,
            target: Some(name.clone()),
            vm: None,
        };
        let (completion, failure) = match reply {
            TargetReply::Answer => (Completion::Ok { latency }, None),
            TargetReply::Shed => {
                let target = name.clone();
                (Completion::Shed, Some(Failure::Shed { target }))
            }
            TargetReply::Refused => {
                let vm = preset::vm_id(holder);
                (Completion::Unreachable, Some(Failure::Refused { vm }))
            }
            TargetReply::Broken => (Completion::Failed, Some(failed(Verdict::MayHaveRun))),
        };
        self.finish(id, completion);
        self.send_result(id, failure);
    }

    /// The VM that sent the attempt got no reply within the response timeout.
    pub fn response_timed_out(&mut self, id: usize) {
        let Attempt {
            req,
            holder,
            target,
            ..
        } = self.all_attempts[id];
        if !self.all_attempts[id].waiting || !self.vms[holder].up {
            return;
        }
        let ran = self.all_attempts[id].ran;
        self.stats.expired[self.reqs[req].class as usize] += u64::from(ran);
        let failure = Failure::Failed {
            verdict: Verdict::MayHaveRun,
            target: target.map(preset::target_id),
            vm: None,
        };
        self.finish(id, Completion::TimedOut);
        self.send_result(id, Some(failure));
    }
}
