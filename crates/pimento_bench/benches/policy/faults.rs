//! Reports, headroom, and what goes wrong.

use crate::{
    preset::{self, DOMAINS, REGIONS, TARGETS, VMS},
    scenario::{Fault, Policy},
    world::{ANNOUNCE, BEAT, Event, Word, World, address},
};
use pimento_admit::{Headroom, LoadReport, TargetView};
use pimento_core::prelude::*;
use pimento_lease::TargetState;
use pimento_steer::{ClusterView, DomainSummary, EntryVm, Peer, ServiceHeadroom};
use rand::Rng;

/// How long a restarting target is away.
const AWAY: Duration = Duration::from_secs(1);
/// Headroom goes between failure domains with each of so many heartbeats.
const FAR_BEATS: u64 = 4;

impl World {
    /// A target announces itself to its holder.
    pub fn announce(&mut self, target: usize) {
        let gap = ANNOUNCE.mul_f64(self.rng.random_range(0.9..1.1));
        self.after(gap, Event::Announce { target });
        let stopped = self.faulty && self.scenario.has(Fault::ReportsStop);
        let low = self.faulty && self.scenario.has(Fault::ReportsLow);
        let now = self.now;
        let fake = &mut self.targets[target];
        if !fake.up || !self.vms[fake.holder].up {
            return;
        }
        let load = if low { 0 } else { fake.running.len() as u32 };
        if !stopped {
            fake.reported = load;
        }
        fake.told = fake.drain.is_some();
        let state = if fake.told {
            TargetState::Draining
        } else if fake.is_cold(now) {
            TargetState::Cold
        } else {
            TargetState::Ready
        };
        let view = TargetView {
            target: preset::target_id(target),
            service: self.preset.kinds[fake.kind].rule.name.clone(),
            slots: fake.slots,
            connections: self.preset.connections,
            state,
            report: (!stopped).then_some(LoadReport {
                load,
                received_at: now,
            }),
            inherited: 0,
        };
        let (holder, domain) = (fake.holder, fake.domain);
        match self.policy {
            Policy::Pimento => {
                let effects = self.vms[holder].admit.set_target(now, view);
                self.apply(holder, effects);
            }
            Policy::Static => self.share(domain, &view),
            Policy::Random | Policy::Least => {}
        }
    }

    /// Gives each VM of a domain its fixed share of a target's slots.
    fn share(&mut self, domain: usize, view: &TargetView) {
        for n in 0..VMS {
            let vm = domain * VMS + n;
            let mut part = view.clone();
            // What doesn't divide goes to the first VMs.
            part.slots = (view.slots + (VMS - 1 - n) as u32) / VMS as u32;
            part.report = None;
            let effects = self.vms[vm].admit.set_target(self.now, part);
            self.apply(vm, effects);
        }
    }

    /// All VMs tell each other of their headroom.
    pub fn beat(&mut self) {
        self.after(BEAT, Event::Beat);
        let stopped = self.faulty && self.scenario.has(Fault::ReportsStop);
        if self.policy != Policy::Pimento || stopped {
            return;
        }
        let rooms: Vec<Vec<ServiceHeadroom>> =
            (0..self.vms.len()).map(|vm| self.rooms(vm)).collect();
        let beats = self.now.as_millis() / BEAT.as_millis() as u64;
        let far = beats.is_multiple_of(FAR_BEATS);
        for vm in 0..self.vms.len() {
            if !self.vms[vm].up {
                continue;
            }
            let old = std::mem::take(&mut self.vms[vm].steer_view);
            let domains = if far {
                self.summaries(vm / VMS, &rooms, &old.domains)
            } else {
                old.domains
            };
            let peers = self.peers(vm / VMS, &rooms);
            let view = ClusterView { peers, domains };
            self.vms[vm].steer_view = view.clone();
            self.vms[vm].steer.set_view(self.now, view);
        }
    }

    /// The headroom of all services at a VM, by service.
    fn rooms(&self, vm: usize) -> Vec<ServiceHeadroom> {
        let kinds = self.preset.kinds.iter();
        let mut rooms: Vec<ServiceHeadroom> = kinds
            .map(|kind| ServiceHeadroom {
                service: kind.rule.name.clone(),
                headroom: self.vms[vm].admit.headroom(self.now, &kind.rule.name),
            })
            .collect();
        rooms.sort_by(|a, b| a.service.cmp(&b.service));
        rooms
    }

    fn peers(&self, domain: usize, rooms: &[Vec<ServiceHeadroom>]) -> Vec<Peer> {
        let own = domain * VMS..(domain + 1) * VMS;
        let up = own.filter(|vm| self.vms[*vm].up);
        up.map(|vm| Peer {
            entry: entry(vm),
            stopping: false,
            received_at: self.now,
            services: rooms[vm].clone(),
        })
        .collect()
    }

    /// What a domain hears of the others; nothing new from a region that is
    /// cut off, and nothing of a domain that is dead.
    fn summaries(
        &self,
        own: usize,
        rooms: &[Vec<ServiceHeadroom>],
        old: &[DomainSummary],
    ) -> Vec<DomainSummary> {
        let cut = self.faulty && self.scenario.has(Fault::RegionCut);
        let region = |domain: usize| domain / DOMAINS;
        let mut summaries = Vec::new();
        for domain in (0..REGIONS * DOMAINS).filter(|domain| *domain != own) {
            let apart = region(domain) != region(own);
            if cut && apart && (region(domain) == 0 || region(own) == 0) {
                let name = preset::domain_id(domain);
                summaries.extend(old.iter().find(|s| s.domain == name).cloned());
                continue;
            }
            let vms: Vec<usize> = (domain * VMS..(domain + 1) * VMS)
                .filter(|vm| self.vms[*vm].up)
                .collect();
            if vms.is_empty() {
                continue;
            }
            summaries.push(DomainSummary {
                domain: preset::domain_id(domain),
                entries: vms.iter().map(|vm| entry(*vm)).collect(),
                received_at: self.now,
                services: sum(vms.iter().map(|vm| &rooms[*vm])),
            });
        }
        summaries
    }

    pub fn begin_faults(&mut self) {
        self.faulty = true;
        for fault in self.scenario.faults.clone() {
            match fault {
                Fault::SlowTarget => self.first_targets(1, |target, _| target.slow = true),
                Fault::Drain => self.first_targets(REGIONS, |t, now| t.drain = Some(now)),
                Fault::Silent => self.silence_connections(),
                Fault::DomainFails => self.fail_domain(),
                Fault::ColdRestart => self.restart(),
                Fault::ReportsStop | Fault::ReportsLow | Fault::RegionCut => {}
            }
        }
    }

    pub fn end_faults(&mut self) {
        self.faulty = false;
        for target in &mut self.targets {
            target.slow = false;
        }
    }

    /// Changes the first target of each service in some of the regions.
    fn first_targets(&mut self, regions: usize, change: impl Fn(&mut crate::target::Target, Time)) {
        let each = REGIONS * DOMAINS * TARGETS;
        for kind in 0..self.preset.kinds.len() {
            for region in 0..regions {
                let target = &mut self.targets[kind * each + region * DOMAINS];
                change(target, self.now);
            }
        }
    }

    fn silence_connections(&mut self) {
        for vm in &mut self.vms {
            for conn in vm.pools.iter_mut().flatten() {
                conn.silent |= self.rng.random_bool(1.0 / 3.0);
            }
        }
    }

    /// The first domain fails with its VMs and targets, for good.
    fn fail_domain(&mut self) {
        for vm in &mut self.vms[..VMS] {
            vm.up = false;
        }
        for target in self.targets.iter_mut().filter(|t| t.domain == 0) {
            target.up = false;
            target.running.clear();
        }
        for id in 0..self.tries.len() {
            let attempt = &self.tries[id];
            if attempt.open && attempt.first >= VMS && attempt.holder < VMS {
                self.lose(id);
            }
        }
        for req in 0..self.reqs.len() {
            let request = &mut self.reqs[req];
            if request.over || request.vm >= VMS || request.attempts.is_none() {
                continue;
            }
            request.broken = true;
            if self.preset.kinds[request.kind].rule.repeatable {
                self.reqs[req].open.clear();
                self.connect(req);
            } else {
                self.conclude(req, Some(Verdict::MayHaveRun));
            }
        }
    }

    /// Half of the targets stop; their connections break.
    fn restart(&mut self) {
        let mut broken = Vec::new();
        for target in self.targets.iter_mut().skip(1).step_by(2) {
            target.up = false;
            broken.append(&mut target.running);
        }
        for id in broken {
            self.after(
                Duration::from_millis(1),
                Event::Word {
                    id,
                    word: Word::Broken,
                },
            );
        }
        for vm in &mut self.vms {
            for pool in vm.pools.iter_mut().skip(1).step_by(2) {
                pool.clear();
            }
        }
        self.after(AWAY, Event::Restarted);
    }

    pub fn restarted(&mut self) {
        let now = self.now;
        for n in (1..self.targets.len()).step_by(2) {
            let dead = self.scenario.has(Fault::DomainFails) && self.targets[n].domain == 0;
            self.targets[n].up = !dead;
            self.targets[n].cold = Some(now);
        }
    }
}

fn entry(vm: usize) -> EntryVm {
    EntryVm {
        vm: preset::vm_id(vm),
        caller_addr: address(vm),
        forward_addr: address(vm),
    }
}

/// Adds up the headroom of several VMs.
fn sum<'a>(mut lists: impl Iterator<Item = &'a Vec<ServiceHeadroom>>) -> Vec<ServiceHeadroom> {
    let mut total = lists.next().cloned().unwrap_or_default();
    for list in lists {
        for (sum, room) in total.iter_mut().zip(list) {
            sum.headroom = add(sum.headroom, room.headroom);
        }
    }
    total
}

fn add(a: Headroom, b: Headroom) -> Headroom {
    let slots = u64::from(a.slots) + u64::from(b.slots);
    let weighted = u64::from(a.slots) * a.latency_us + u64::from(b.slots) * b.latency_us;
    Headroom {
        slots: a.slots + b.slots,
        free: a.free + b.free,
        queued: a.queued + b.queued,
        latency_us: weighted / slots.max(1),
    }
}
