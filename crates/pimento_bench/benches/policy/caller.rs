//! Callers: request arrivals, look-ups, and the results that callers get.

use crate::{
    preset::{BLOCKS, DOMAINS, REGIONS, VMS},
    scenario::Policy,
    world::{Event, Req, World, vm_of_address},
};
use pimento_core::prelude::*;
use rand::{Rng, seq::SliceRandom};
use std::net::Ipv4Addr;

/// End of the warm-up; requests sent before are not counted.
pub const WARM_UP_END: Time = Time::from_millis(1_000);
/// Time that a caller waits for a connection before it tries the next VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for which a caller caches a look-up.
const LOOKUP_TTL: Duration = Duration::from_secs(2);
/// Cumulative shares of the critical and the standard class; the rest is
/// background.
const CLASS_BOUNDS: [f64; 2] = [0.6, 0.85];
/// Load factor of the region with a rush.
const RUSH_FACTOR: f64 = 3.0;

impl World {
    /// Sends a new request and schedules the next arrival (a Poisson process).
    pub fn arrive(&mut self) {
        if self.now >= self.scenario.end {
            return;
        }
        let rates = self.preset.service_rates();
        let total: f64 = rates.iter().sum();
        let region_rate = total * self.scenario.load / REGIONS as f64;
        let rush = self.faults_active && self.scenario.rush;
        let rush_weight = if rush { RUSH_FACTOR } else { 1.0 };
        let rate = region_rate * (rush_weight + (REGIONS - 1) as f64);
        let gap = -(1.0 - self.caller_rng.random::<f64>()).ln() / rate;
        self.schedule_after(Duration::from_secs_f64(gap), Event::Arrive);

        let share = self
            .caller_rng
            .random_range(0.0..rush_weight + (REGIONS - 1) as f64);
        let region = if share < rush_weight {
            0
        } else {
            1 + (share - rush_weight) as usize
        };
        let domain = region * DOMAINS + self.caller_rng.random_range(0..DOMAINS);
        let mut pick = self.caller_rng.random_range(0.0..total);
        let profile = rates.iter().position(|rate| {
            pick -= rate;
            pick < 0.0
        });
        let profile = profile.unwrap_or(0);
        let class = self.caller_rng.random::<f64>();
        let class = Class::ALL[CLASS_BOUNDS.iter().filter(|share| class >= **share).count()];
        self.send_request(profile, class, domain);
    }

    fn send_request(&mut self, profile: usize, class: Class, domain: usize) {
        let timeout = u64::from(self.preset.profiles[profile].rule.timeout);
        let counted = self.now >= WARM_UP_END;
        let req = self.reqs.len();
        self.reqs.push(Req {
            profile,
            class,
            domain,
            block: self.caller_rng.random_range(0..BLOCKS),
            sent_at: self.now,
            deadline: self.now + Duration::from_millis(timeout),
            vm: 0,
            attempts: None,
            open_attempts: Vec::new(),
            runs: 0,
            conn_lost: false,
            concluded: false,
            verdict: None,
            counted,
        });
        if counted {
            self.stats.requests[class as usize] += 1;
        }
        self.connect(req);
    }

    /// Connects to the first entry VM of the look-up that is up; each VM that is
    /// down costs a connection timeout.
    pub fn connect(&mut self, req: usize) {
        let entries = self.entry_vms(req);
        let mut delay = self.preset.caller_latency;
        for vm in entries {
            if self.vms[vm].up {
                self.schedule_after(delay, Event::ReachEntry { req, vm });
                return;
            }
            delay += CONNECT_TIMEOUT;
        }
        self.conclude(req, Some(Verdict::NotRun));
    }

    /// Returns the entry VMs for the caller's block, from the look-up cache if it is
    /// still valid.
    fn entry_vms(&mut self, req: usize) -> Vec<usize> {
        let Req {
            profile,
            domain,
            block,
            ..
        } = self.reqs[req];
        let key = (profile * REGIONS * DOMAINS + domain) * BLOCKS + block;
        if let Some((until, entries)) = &self.lookup_cache[key]
            && *until > self.now
        {
            return entries.clone();
        }
        let entries = self.look_up(profile, domain, block);
        self.lookup_cache[key] = Some((self.now + LOOKUP_TTL, entries.clone()));
        entries
    }

    fn look_up(&mut self, profile: usize, domain: usize, block: usize) -> Vec<usize> {
        let domain_vms = domain * VMS..(domain + 1) * VMS;
        let mut near: Vec<usize> = domain_vms.clone().collect();
        let mut rest: Vec<usize> = (0..self.vms.len())
            .filter(|vm| !domain_vms.contains(vm))
            .collect();
        near.shuffle(&mut self.rng);
        rest.shuffle(&mut self.rng);
        near.extend(rest);
        if self.policy != Policy::Pimento {
            return near;
        }
        let lookup_vm = near.into_iter().find(|vm| self.vms[*vm].up);
        let ip = Ipv4Addr::new(10, domain as u8, block as u8, 9).into();
        let service = &self.preset.profiles[profile].rule.name;
        let found = lookup_vm.map(|vm| self.vms[vm].steer.lookup(self.now, service, ip));
        let entries = found.into_iter().flat_map(|found| found.entries);
        entries.map(vm_of_address).collect()
    }

    /// Ends a request and counts what its caller got; no failure means an answer.
    pub fn conclude(&mut self, req: usize, failure: Option<Verdict>) {
        let received_at = self.now + self.preset.caller_latency;
        let request = &mut self.reqs[req];
        if request.concluded {
            return;
        }
        request.concluded = true;
        // The caller itself saw an earlier connection break, so it can't rely on
        // not-run.
        let lost = request.conn_lost;
        let failure = failure.map(|verdict| if lost { Verdict::MayHaveRun } else { verdict });
        request.verdict = failure;
        let class = request.class as usize;
        let (sent_at, deadline) = (request.sent_at, request.deadline);
        if request.counted {
            match failure {
                None if received_at <= deadline => {
                    let micros = received_at.since(sent_at).as_micros() as u64;
                    self.stats.latency[class].saturating_record(micros);
                }
                None => self.stats.late[class] += 1,
                Some(Verdict::NotRun) => self.stats.not_run[class] += 1,
                Some(_) => self.stats.uncertain[class] += 1,
            }
        }
        for id in std::mem::take(&mut self.reqs[req].open_attempts) {
            self.cancel(id);
        }
    }
}
