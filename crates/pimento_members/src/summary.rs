//! Summaries of this failure domain, which delegates send to the others.

use crate::{
    Body, Contact, Domain, Effect, Members, ServiceLoad, Summary, VmInfo,
    domain::{MAX_SUMMARY_CONTACTS, SUMMARY_VALUES},
    load, wire,
};
use pimento_core::Time;
use pimento_core::hash;
use std::{cmp::Reverse, time::Duration};

/// The minimum time between two summaries to one domain.
const MIN_SUMMARY_GAP: Duration = Duration::from_millis(300);

/// The factor by which domains of one region exchange summaries more often.
const SAME_REGION_RATE: u32 = 2;

/// The number of first summaries to a domain that always include names.
const INITIAL_NAMED_SUMMARIES: u32 = 2;

/// The minimum number of VMs that a summary names, if the domain has that many.
const MIN_SUMMARY_CONTACTS: usize = 3;

/// The number of VMs with the most slots that a summary names per service.
const HOLDERS_PER_SERVICE: usize = 2;

/// One live VM of this domain with its loads.
type Source<'a> = (&'a VmInfo, &'a [ServiceLoad]);

impl Members {
    /// Sends summaries to the domains that this VM is the delegate for.
    pub(crate) fn send_summaries(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let far_interval = self.timing.summary_interval(self.domains.len());
        // Requests prefer domains of the same region, so these need fresher data.
        let near_interval = (far_interval / SAME_REGION_RATE).max(self.timing.min_summary);
        let region = Some(&self.this_vm.region);
        let interval = |d: &Domain| {
            let same_region = d.region.as_ref() == region;
            if same_region {
                near_interval
            } else {
                far_interval
            }
        };
        let max_version = self.version_range().1;
        let is_due = |d: &Domain| {
            let elapsed = d.last_sent.map(|sent| now.since(sent));
            let newer_rules = max_version > d.last_advertised.0;
            d.is_delegate
                && elapsed.is_none_or(|s| s >= interval(d) || (newer_rules && s >= MIN_SUMMARY_GAP))
        };
        let due: Vec<_> = (0..self.domains.len())
            .filter(|i| is_due(&self.domains[*i]))
            .collect();
        if due.is_empty() {
            return;
        }
        let summary = self.summarize();
        for i in due {
            self.send_summary(now, i, &summary, far_interval, effects);
        }
    }

    fn send_summary(
        &mut self,
        now: Time,
        i: usize,
        summary: &Summary,
        far_interval: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let hint = self.random_hint();
        let domain = &mut self.domains[i];
        let Some(to) = domain.choose_receiver(now, far_interval, &mut self.rng) else {
            return;
        };
        let max_version = summary.min_version + summary.version_spread;
        let with_names = domain.sent_count < INITIAL_NAMED_SUMMARIES
            || domain
                .sent_count
                .is_multiple_of(self.timing.names_every.max(1))
            || domain.last_advertised.1 != summary.layout_hash;
        domain.sent_count = domain.sent_count.wrapping_add(1);
        domain.last_advertised = (max_version, summary.layout_hash);
        domain.last_sent = Some(now);
        let mut summary = Summary {
            sender: Some(wire::encode_contact(&Contact::from(&self.this_vm))),
            version: self.version,
            hint: hint.filter(|h| h.domain != domain.id.as_str()),
            ..summary.clone()
        };
        if !with_names {
            summary.region.clear();
            summary.services.clear();
            summary.contacts.clear();
        }
        let message = Body::Summary(summary).into_shared();
        effects.push(Effect::Send { to, message });
    }

    /// The lowest and the highest rules version among this domain's live VMs.
    pub(crate) fn version_range(&self) -> (u64, u64) {
        let versions = self.live().map(|p| p.version);
        versions.fold(
            (self.version, self.version),
            |(min_version, max_version), v| (min_version.min(v), max_version.max(v)),
        )
    }

    /// Builds a summary of this domain, with names.
    fn summarize(&self) -> Summary {
        let local: Source = (&self.this_vm, &self.loads);
        let peers = self.live().map(|p| (&p.info, p.loads.as_slice()));
        let sources: Vec<Source> = peers.chain([local]).collect();
        let totals = sum_loads(&sources);
        let contacts = choose_contacts(&self.this_vm.domain, &sources, &totals);
        let encoded_contacts: Vec<_> = contacts
            .iter()
            .map(|info| wire::encode_contact(&Contact::from(*info)))
            .collect();
        let rows = totals
            .iter()
            .flat_map(|t| service_row(t, &contacts, &sources));
        let (min_version, max_version) = self.version_range();
        let known = self.peers.iter();
        let known = known.filter(|p| p.state != crate::PeerState::Left);
        let parts = encoded_contacts
            .iter()
            .flat_map(|c| [c.vm.as_bytes(), &c.link, &c.callers, &c.forwards]);
        Summary {
            domain: self.this_vm.domain.to_string(),
            layout_hash: load::layout_hash(&totals) ^ hash::fnv(parts) as u32,
            load_values: rows.collect(),
            min_version,
            version_spread: max_version - min_version,
            live: sources.len() as u32,
            total: known.count() as u32 + 1,
            region: self.this_vm.region.to_string(),
            services: totals.iter().map(wire::encode_service).collect(),
            contacts: encoded_contacts,
            ..Summary::default()
        }
    }

    /// The latest summaries of all other domains, for a VM that has just started.
    pub(crate) fn known_summaries(&self, now: Time) -> Vec<Summary> {
        let known = self.domains.iter().filter(|d| d.region.is_some());
        known.map(|d| known_summary(now, d)).collect()
    }
}

/// Sums the loads of all VMs per service.
fn sum_loads(sources: &[Source]) -> Vec<ServiceLoad> {
    let mut totals: Vec<ServiceLoad> = Vec::new();
    for load in sources.iter().flat_map(|(_, loads)| *loads) {
        match totals.binary_search_by(|t| t.service.cmp(&load.service)) {
            Ok(i) => add_load(&mut totals[i], load),
            Err(i) => totals.insert(i, load.clone()),
        }
    }
    totals
}

/// Adds a load to a sum; the latency becomes the mean, weighted by slots.
fn add_load(sum: &mut ServiceLoad, load: &ServiceLoad) {
    let weighted_latency = |l: &ServiceLoad| u64::from(l.latency) * u64::from(l.slots);
    let slots = u64::from(sum.slots) + u64::from(load.slots);
    let mean = (weighted_latency(sum) + weighted_latency(load)).checked_div(slots);
    sum.latency = mean.map_or(sum.latency, |m| m as u32);
    sum.slots = sum.slots.saturating_add(load.slots);
    sum.free = sum.free.saturating_add(load.free);
    sum.queued = sum.queued.saturating_add(load.queued);
    sum.cold = sum.cold.saturating_add(load.cold);
}

/// The load of a VM for a service.
fn load_of<'a>(source: &Source<'a>, service: &str) -> Option<&'a ServiceLoad> {
    let i = source
        .1
        .binary_search_by(|l| l.service.as_str().cmp(service));
    Some(&source.1[i.ok()?])
}

/// Chooses the VMs that a summary names: those with the most slots of each
/// service, which seldom change, then others up to the minimum number.
fn choose_contacts<'a>(
    domain: &str,
    sources: &[Source<'a>],
    totals: &[ServiceLoad],
) -> Vec<&'a VmInfo> {
    let mut chosen: Vec<&VmInfo> = Vec::new();
    let mut push = |info: &'a VmInfo, limit: usize| {
        if chosen.len() < limit && !chosen.iter().any(|n| n.vm == info.vm) {
            chosen.push(info);
        }
    };
    for position in 0..HOLDERS_PER_SERVICE {
        for total in totals {
            let mut holders: Vec<_> = sources.iter().collect();
            let slots = |s: &Source| load_of(s, &total.service).map_or(0, |l| l.slots);
            holders.sort_by_key(|s| (Reverse(slots(s)), &s.0.vm));
            let holder = holders.get(position).filter(|s| slots(s) > 0);
            if let Some(holder) = holder {
                push(holder.0, MAX_SUMMARY_CONTACTS);
            }
        }
    }
    let mut others: Vec<_> = sources.iter().collect();
    others.sort_by_key(|s| Reverse(hash::rendezvous_score(domain, &s.0.vm)));
    for source in others {
        push(source.0, MIN_SUMMARY_CONTACTS);
    }
    chosen
}

/// The load values of one service in a summary.
fn service_row(
    total: &ServiceLoad,
    contacts: &[&VmInfo],
    sources: &[Source],
) -> [u32; SUMMARY_VALUES] {
    let free = |info: &VmInfo| {
        let source = sources.iter().find(|s| s.0.vm == info.vm);
        let load = source.and_then(|s| load_of(s, &total.service));
        load.map_or(0, |l| l.free)
    };
    let positions = contacts.iter().zip(1..);
    let mut best: Vec<(u32, u32)> = positions
        .map(|(info, position)| (free(info), position))
        .collect();
    best.retain(|(free, _)| *free > 0);
    best.sort_by_key(|(free, position)| (Reverse(*free), *position));
    let position = |i: usize| best.get(i).map_or(0, |(_, position)| *position);
    let [free, queued, latency] = wire::load_values(total);
    [free, queued, latency, position(0), position(1)]
}

/// Rebuilds the latest summary of a domain from what is stored of it.
fn known_summary(now: Time, domain: &Domain) -> Summary {
    let position = |vm: Option<&pimento_core::VmId>| {
        let i = vm.and_then(|vm| domain.contacts.iter().position(|c| c.vm == *vm));
        i.map_or(0, |i| i as u32 + 1)
    };
    let rows = domain.services.iter().flat_map(|service| {
        let [free, queued, latency] = wire::load_values(&service.load);
        let best = [
            position(service.best.first()),
            position(service.best.get(1)),
        ];
        [free, queued, latency, best[0], best[1]]
    });
    let contacts = domain.contacts.iter().take(MAX_SUMMARY_CONTACTS);
    Summary {
        domain: domain.id.to_string(),
        layout_hash: domain.layout_hash,
        load_values: rows.collect(),
        min_version: domain.min_version,
        version_spread: domain.max_version.saturating_sub(domain.min_version),
        live: domain.live,
        total: domain.total,
        age_ms: u32::try_from(domain.age(now).as_millis()).unwrap_or(u32::MAX),
        region: domain
            .region
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        services: domain
            .services
            .iter()
            .map(|service| wire::encode_service(&service.load))
            .collect(),
        contacts: contacts.map(wire::encode_contact).collect(),
        ..Summary::default()
    }
}
