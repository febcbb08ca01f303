//! Summaries of this failure domain for the others.

use crate::{
    Body, Contact, Domain, Effect, Info, Members, ServiceLoad, Summary,
    domain::{MAX_NAMED, NUMBERS},
    load, wire,
};
use pimento_core::Time;
use pimento_core::hash;
use std::{cmp::Reverse, time::Duration};

/// The shortest time between two summaries to one domain.
const MIN_GAP: Duration = Duration::from_millis(300);

/// How much more often the domains of one region exchange summaries.
const NEARER: u32 = 2;

/// The first summaries to a domain, which carry the names whatever comes.
const FIRST: u32 = 2;

/// The VMs that a summary names at least, if there are so many.
const MIN_NAMED: usize = 3;

/// The holders of a service that a summary names.
const HOLDERS: usize = 2;

/// One live VM of this domain with its loads.
type Source<'a> = (&'a Info, &'a [ServiceLoad]);

impl Members {
    /// Sends summaries to the domains that this VM is the delegate for.
    pub(crate) fn send_summaries(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let far = self.pace.summary_interval(self.domains.len());
        // The domains of one region are each other's first choice.
        let near = (far / NEARER).max(self.pace.summary);
        let region = Some(&self.me.region);
        let interval = |d: &Domain| {
            let same = d.region.as_ref() == region;
            if same { near } else { far }
        };
        let high = self.versions().1;
        let due = |d: &Domain| {
            let since = d.sent.map(|sent| now.since(sent));
            let news = high > d.told.0;
            d.mine && since.is_none_or(|s| s >= interval(d) || (news && s >= MIN_GAP))
        };
        let due: Vec<_> = (0..self.domains.len())
            .filter(|i| due(&self.domains[*i]))
            .collect();
        if due.is_empty() {
            return;
        }
        let summary = self.summarize();
        for i in due {
            self.send_summary(now, i, &summary, far, effects);
        }
    }

    fn send_summary(
        &mut self,
        now: Time,
        i: usize,
        summary: &Summary,
        far: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let hint = self.random_hint();
        let domain = &mut self.domains[i];
        let Some(to) = domain.receiver(now, far, &mut self.rng) else {
            return;
        };
        let high = summary.low + summary.spread;
        let names = domain.count < FIRST
            || domain.count.is_multiple_of(self.pace.names.max(1))
            || domain.told.1 != summary.shape;
        domain.count = domain.count.wrapping_add(1);
        domain.told = (high, summary.shape);
        domain.sent = Some(now);
        let mut summary = Summary {
            sender: Some(wire::contact_text(&Contact::from(&self.me))),
            version: self.version,
            hint: hint.filter(|h| h.domain != domain.id.as_str()),
            ..summary.clone()
        };
        if !names {
            summary.region.clear();
            summary.services.clear();
            summary.contacts.clear();
        }
        let message = Body::Summary(summary).into_shared();
        effects.push(Effect::Send { to, message });
    }

    /// The lowest and the highest version among this domain's live VMs.
    pub(crate) fn versions(&self) -> (u64, u64) {
        let versions = self.live().map(|p| p.version);
        versions.fold((self.version, self.version), |(low, high), v| {
            (low.min(v), high.max(v))
        })
    }

    /// This domain in short, names included.
    fn summarize(&self) -> Summary {
        let own: Source = (&self.me, &self.loads);
        let peers = self.live().map(|p| (&p.info, p.loads.as_slice()));
        let sources: Vec<Source> = peers.chain([own]).collect();
        let totals = total(&sources);
        let contacts = contacts(&self.me.domain, &sources, &totals);
        let texts: Vec<_> = contacts
            .iter()
            .map(|info| wire::contact_text(&Contact::from(*info)))
            .collect();
        let rows = totals.iter().flat_map(|t| row(t, &contacts, &sources));
        let (low, high) = self.versions();
        let known = self.peers.iter();
        let known = known.filter(|p| p.state != crate::PeerState::Left);
        let parts = texts
            .iter()
            .flat_map(|c| [c.vm.as_bytes(), &c.link, &c.callers, &c.forwards]);
        Summary {
            domain: self.me.domain.to_string(),
            shape: load::shape(&totals) ^ hash::fnv(parts) as u32,
            numbers: rows.collect(),
            low,
            spread: high - low,
            live: sources.len() as u32,
            total: known.count() as u32 + 1,
            region: self.me.region.to_string(),
            services: totals.iter().map(wire::service_text).collect(),
            contacts: texts,
            ..Summary::default()
        }
    }

    /// What this VM knows of all other domains, for one that has just started.
    pub(crate) fn known_summaries(&self, now: Time) -> Vec<Summary> {
        let known = self.domains.iter().filter(|d| d.region.is_some());
        known.map(|d| known_summary(now, d)).collect()
    }
}

/// The sum of the loads by service.
fn total(sources: &[Source]) -> Vec<ServiceLoad> {
    let mut totals: Vec<ServiceLoad> = Vec::new();
    for load in sources.iter().flat_map(|(_, loads)| *loads) {
        match totals.binary_search_by(|t| t.service.cmp(&load.service)) {
            Ok(i) => add(&mut totals[i], load),
            Err(i) => totals.insert(i, load.clone()),
        }
    }
    totals
}

/// Adds a load; the latency becomes the mean by slots.
fn add(sum: &mut ServiceLoad, load: &ServiceLoad) {
    let weighted = |l: &ServiceLoad| u64::from(l.latency) * u64::from(l.slots);
    let slots = u64::from(sum.slots) + u64::from(load.slots);
    let mean = (weighted(sum) + weighted(load)).checked_div(slots);
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

/// The VMs worth naming: the largest holders of each service, which seldom
/// change, and a few more.
fn contacts<'a>(domain: &str, sources: &[Source<'a>], totals: &[ServiceLoad]) -> Vec<&'a Info> {
    let mut named: Vec<&Info> = Vec::new();
    let mut push = |info: &'a Info, limit: usize| {
        if named.len() < limit && !named.iter().any(|n| n.vm == info.vm) {
            named.push(info);
        }
    };
    for place in 0..HOLDERS {
        for total in totals {
            let mut holders: Vec<_> = sources.iter().collect();
            let slots = |s: &Source| load_of(s, &total.service).map_or(0, |l| l.slots);
            holders.sort_by_key(|s| (Reverse(slots(s)), &s.0.vm));
            let holder = holders.get(place).filter(|s| slots(s) > 0);
            if let Some(holder) = holder {
                push(holder.0, MAX_NAMED);
            }
        }
    }
    let mut rest: Vec<_> = sources.iter().collect();
    rest.sort_by_key(|s| Reverse(hash::weight(domain, &s.0.vm)));
    for source in rest {
        push(source.0, MIN_NAMED);
    }
    named
}

/// The numbers of one service.
fn row(total: &ServiceLoad, contacts: &[&Info], sources: &[Source]) -> [u32; NUMBERS] {
    let free = |info: &Info| {
        let source = sources.iter().find(|s| s.0.vm == info.vm);
        let load = source.and_then(|s| load_of(s, &total.service));
        load.map_or(0, |l| l.free)
    };
    let places = contacts.iter().zip(1..);
    let mut best: Vec<(u32, u32)> = places.map(|(info, place)| (free(info), place)).collect();
    best.retain(|(free, _)| *free > 0);
    best.sort_by_key(|(free, place)| (Reverse(*free), *place));
    let place = |i: usize| best.get(i).map_or(0, |(_, place)| *place);
    let [free, queued, latency] = wire::numbers(total);
    [free, queued, latency, place(0), place(1)]
}

/// A domain as it is known here, in the form in which it came.
fn known_summary(now: Time, domain: &Domain) -> Summary {
    let place = |vm: Option<&pimento_core::VmId>| {
        let i = vm.and_then(|vm| domain.contacts.iter().position(|c| c.vm == *vm));
        i.map_or(0, |i| i as u32 + 1)
    };
    let rows = domain.services.iter().flat_map(|room| {
        let [free, queued, latency] = wire::numbers(&room.load);
        let best = [place(room.best.first()), place(room.best.get(1))];
        [free, queued, latency, best[0], best[1]]
    });
    let named = domain.contacts.iter().take(MAX_NAMED);
    Summary {
        domain: domain.id.to_string(),
        shape: domain.shape,
        numbers: rows.collect(),
        low: domain.low,
        spread: domain.high.saturating_sub(domain.low),
        live: domain.live,
        total: domain.total,
        age: u32::try_from(domain.age(now).as_millis()).unwrap_or(u32::MAX),
        region: domain
            .region
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        services: domain
            .services
            .iter()
            .map(|r| wire::service_text(&r.load))
            .collect(),
        contacts: named.map(wire::contact_text).collect(),
        ..Summary::default()
    }
}
