//! Callers: arrivals, look-ups, and what becomes of each request.

use crate::{
    preset::{BLOCKS, DOMAINS, REGIONS, VMS},
    scenario::Policy,
    world::{Event, Req, World, vm_at},
};
use pimento_core::prelude::*;
use rand::{Rng, seq::SliceRandom};
use std::net::Ipv4Addr;

/// Requests before this time are not counted.
pub const WARM: Time = Time::from_millis(1_000);
/// How long a caller waits for a connection before it tries the next VM.
const CONNECT: Duration = Duration::from_millis(50);
/// How long a caller may use a look-up.
const TTL: Duration = Duration::from_secs(2);
/// The shares of the classes, critical first.
const MIX: [f64; 2] = [0.6, 0.85];
/// The factor of a rush in one region.
const RUSH: f64 = 3.0;

impl World {
    /// A new request, and the time of the next one.
    pub fn arrive(&mut self) {
        if self.now >= self.scenario.end {
            return;
        }
        let rates = self.preset.rates();
        let total: f64 = rates.iter().sum();
        let region_rate = total * self.scenario.load / REGIONS as f64;
        let rush = self.faulty && self.scenario.rush;
        let first = if rush { RUSH } else { 1.0 };
        let rate = region_rate * (first + (REGIONS - 1) as f64);
        let gap = -(1.0 - self.callers.random::<f64>()).ln() / rate;
        self.after(Duration::from_secs_f64(gap), Event::Arrive);

        let share = self.callers.random_range(0.0..first + (REGIONS - 1) as f64);
        let region = if share < first {
            0
        } else {
            1 + (share - first) as usize
        };
        let domain = region * DOMAINS + self.callers.random_range(0..DOMAINS);
        let mut pick = self.callers.random_range(0.0..total);
        let kind = rates.iter().position(|rate| {
            pick -= rate;
            pick < 0.0
        });
        let kind = kind.unwrap_or(0);
        let class = self.callers.random::<f64>();
        let class = Class::ALL[MIX.iter().filter(|share| class >= **share).count()];
        self.send(kind, class, domain);
    }

    fn send(&mut self, kind: usize, class: Class, domain: usize) {
        let timeout = u64::from(self.preset.kinds[kind].rule.timeout);
        let counted = self.now >= WARM;
        let req = self.reqs.len();
        self.reqs.push(Req {
            kind,
            class,
            domain,
            block: self.callers.random_range(0..BLOCKS),
            born: self.now,
            deadline: self.now + Duration::from_millis(timeout),
            vm: 0,
            attempts: None,
            open: Vec::new(),
            runs: 0,
            broken: false,
            over: false,
            told: None,
            counted,
        });
        if counted {
            self.stats.requests[class as usize] += 1;
        }
        self.connect(req);
    }

    /// Connects to the first entry VM of the look-up that is up.
    pub fn connect(&mut self, req: usize) {
        let entries = self.entries(req);
        let mut delay = self.preset.client;
        for vm in entries {
            if self.vms[vm].up {
                self.after(delay, Event::Enter { req, vm });
                return;
            }
            delay += CONNECT;
        }
        self.conclude(req, Some(Verdict::NotRun));
    }

    /// The entry VMs that the caller's block uses for now.
    fn entries(&mut self, req: usize) -> Vec<usize> {
        let Req {
            kind,
            domain,
            block,
            ..
        } = self.reqs[req];
        let key = (kind * REGIONS * DOMAINS + domain) * BLOCKS + block;
        if let Some((until, entries)) = &self.cache[key]
            && *until > self.now
        {
            return entries.clone();
        }
        let entries = self.look_up(kind, domain, block);
        self.cache[key] = Some((self.now + TTL, entries.clone()));
        entries
    }

    fn look_up(&mut self, kind: usize, domain: usize, block: usize) -> Vec<usize> {
        let own = domain * VMS..(domain + 1) * VMS;
        let mut near: Vec<usize> = own.clone().collect();
        let mut rest: Vec<usize> = (0..self.vms.len()).filter(|vm| !own.contains(vm)).collect();
        near.shuffle(&mut self.rng);
        rest.shuffle(&mut self.rng);
        near.extend(rest);
        if self.policy != Policy::Pimento {
            return near;
        }
        let asked = near.into_iter().find(|vm| self.vms[*vm].up);
        let ip = Ipv4Addr::new(10, domain as u8, block as u8, 9).into();
        let service = &self.preset.kinds[kind].rule.name;
        let found = asked.map(|vm| self.vms[vm].steer.lookup(self.now, service, ip));
        let entries = found.into_iter().flat_map(|found| found.entries);
        entries.map(vm_at).collect()
    }

    /// Tells the caller how its request ended; no failure is an answer.
    pub fn conclude(&mut self, req: usize, failure: Option<Verdict>) {
        let heard = self.now + self.preset.client;
        let request = &mut self.reqs[req];
        if request.over {
            return;
        }
        request.over = true;
        // The caller itself knows that the first connection broke.
        let broken = request.broken;
        let failure = failure.map(|verdict| if broken { Verdict::MayHaveRun } else { verdict });
        request.told = failure;
        let class = request.class as usize;
        let (born, deadline) = (request.born, request.deadline);
        if request.counted {
            match failure {
                None if heard <= deadline => {
                    let micros = heard.since(born).as_micros() as u64;
                    self.stats.latency[class].saturating_record(micros);
                }
                None => self.stats.late[class] += 1,
                Some(Verdict::NotRun) => self.stats.not_run[class] += 1,
                Some(_) => self.stats.unsure[class] += 1,
            }
        }
        for id in std::mem::take(&mut self.reqs[req].open) {
            self.cancel(id);
        }
    }
}
