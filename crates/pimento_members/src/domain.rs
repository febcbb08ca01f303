//! Another failure domain.

use crate::{Contact, ServiceLoad, Summary, wire};
use pimento_core::{DomainId, RegionId, Time, VmId};
use rand::{Rng, seq::IndexedRandom};
use std::{net::SocketAddr, time::Duration};

/// The most VMs that a summary names.
pub(crate) const MAX_NAMED: usize = 6;

/// The most VMs that are kept of another domain: those that its summary names
/// stay in their places, and some that have sent a message come after them.
const MAX_CONTACTS: usize = MAX_NAMED + 2;

/// The most services that are kept of a VM or domain.
pub(crate) const MAX_SERVICES: usize = 64;

/// The numbers of a service in a summary.
pub(crate) const NUMBERS: usize = 5;

/// The room that another domain has for a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Headroom {
    /// The sum of the domain's loads.
    pub load: ServiceLoad,
    /// The VMs with the most free slots, the best first; each is among the
    /// domain's contacts.
    pub best: Vec<VmId>,
}

/// Another failure domain.
#[derive(Clone, Debug)]
pub struct Domain {
    /// The name of the domain.
    pub id: DomainId,
    /// Its region, once a summary with names has come.
    pub region: Option<RegionId>,
    /// Some of its VMs, at least one.
    pub contacts: Vec<Contact>,
    /// The room for each service, ascending by service.
    pub services: Vec<Headroom>,
    /// When the newest summary came.
    pub taken: Time,
    /// Its age at that time.
    pub lag: Duration,
    /// The lowest version of the rules among its live VMs.
    pub low: u64,
    /// The highest one.
    pub high: u64,
    /// Its live VMs.
    pub live: u32,
    /// Its known VMs.
    pub total: u32,
    /// The hash of the names that the numbers belong to.
    pub(crate) shape: u32,
    /// When anything was last heard of it.
    pub(crate) heard: Time,
    /// When this VM last sent it a summary.
    pub(crate) sent: Option<Time>,
    /// The summaries that this VM sent in a row as its delegate.
    pub(crate) count: u32,
    /// The highest version and the shape of the last summary sent.
    pub(crate) told: (u64, u32),
    /// The link address of the domain's delegate for this domain, if known.
    pub(crate) partner: Option<SocketAddr>,
    /// Whether this VM is the delegate that sends it summaries.
    pub(crate) mine: bool,
    /// The newest summary, until it went on to the VMs of this domain.
    pub(crate) relay: Option<Summary>,
}

impl Domain {
    pub(crate) fn new(now: Time, id: DomainId) -> Self {
        Self {
            id,
            region: None,
            contacts: Vec::new(),
            services: Vec::new(),
            taken: Time::ZERO,
            lag: Duration::MAX,
            low: 0,
            high: 0,
            live: 0,
            total: 0,
            shape: 0,
            heard: now,
            sent: None,
            count: 0,
            told: (0, 0),
            partner: None,
            mine: false,
            relay: None,
        }
    }

    /// The age of the newest summary.
    pub fn age(&self, now: Time) -> Duration {
        self.lag.saturating_add(now.since(self.taken))
    }

    /// Keeps a VM of the domain in mind, the newest first.
    pub(crate) fn add_contact(&mut self, contact: Contact) {
        let old = self.contacts.iter().position(|c| c.vm == contact.vm);
        if let Some(i) = old {
            let known = &self.contacts[i];
            let contact = Contact {
                callers: contact.callers.or(known.callers),
                forwards: contact.forwards.or(known.forwards),
                ..contact
            };
            self.contacts[i] = contact;
            return;
        }
        self.contacts.truncate(MAX_CONTACTS - 1);
        self.contacts.push(contact);
    }

    /// Stops naming a VM to callers and requests. It keeps its place, since the
    /// numbers of summaries refer to contacts by place.
    pub(crate) fn retire_contact(&mut self, vm: &str) {
        if let Some(contact) = self.contacts.iter_mut().find(|c| c.vm.as_str() == vm) {
            contact.callers = None;
            contact.forwards = None;
        }
    }

    /// Where the next summary goes: to the domain's own delegate, so that the
    /// work of passing summaries on is spread, or, after silence for some
    /// intervals, to any VM that is known.
    pub(crate) fn receiver(
        &self,
        now: Time,
        interval: Duration,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        /// The intervals of silence after which the delegate is doubted.
        const SILENCE: u32 = 3;
        let heard = now.since(self.heard) < interval * SILENCE;
        let partner = self.partner.filter(|_| heard);
        let any = |rng| self.contacts.choose(rng).map(|c| c.link);
        partner.or_else(|| any(rng))
    }

    /// Sets whether this VM is the delegate that sends the domain summaries.
    pub(crate) fn set_mine(&mut self, mine: bool) {
        self.mine = mine;
        if !mine {
            self.count = 0;
        }
    }

    /// Takes a summary. Returns whether it is newer than what is known.
    pub(crate) fn take(&mut self, now: Time, summary: &Summary) -> bool {
        let lag = Duration::from_millis(summary.age.into());
        if lag >= self.age(now) {
            return false;
        }
        self.heard = now;
        let sender = summary.sender.as_ref().and_then(wire::contact);
        self.partner = sender.map(|s| s.link).or(self.partner);
        self.low = summary.low;
        self.high = summary.low.saturating_add(summary.spread);
        self.live = summary.live;
        self.total = summary.total;
        if !summary.contacts.is_empty() {
            self.take_names(summary);
        }
        if self.shape == summary.shape {
            self.taken = now;
            self.lag = lag;
            self.take_numbers(summary);
        }
        true
    }

    fn take_names(&mut self, summary: &Summary) {
        let contacts = summary.contacts.iter().take(MAX_NAMED);
        let contacts: Option<Vec<_>> = contacts.map(wire::contact).collect();
        let services = summary.services.iter().take(MAX_SERVICES);
        let services: Option<Vec<_>> = services.map(wire::service).collect();
        let (Some(contacts), Some(services)) = (contacts, services) else {
            return;
        };
        let room = |load| Headroom {
            load,
            best: Vec::new(),
        };
        self.region = summary.region.parse().ok();
        self.contacts = contacts;
        self.services = services.into_iter().map(room).collect();
        self.services
            .sort_by(|a, b| a.load.service.cmp(&b.load.service));
        self.shape = summary.shape;
    }

    fn take_numbers(&mut self, summary: &Summary) {
        let rows = summary.numbers.chunks(NUMBERS);
        for (room, row) in self.services.iter_mut().zip(rows) {
            wire::set_numbers(&mut room.load, row);
            let places = row.iter().skip(3).filter_map(|p| p.checked_sub(1));
            let vms = places.filter_map(|p| self.contacts.get(p as usize));
            room.best = vms.map(|c| c.vm.clone()).collect();
        }
    }
}
