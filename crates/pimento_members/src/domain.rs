//! Another failure domain.

use crate::{Contact, ServiceLoad, Summary, wire};
use pimento_core::{DomainId, RegionId, Time, VmId};
use rand::{Rng, seq::IndexedRandom};
use std::{net::SocketAddr, time::Duration};

/// The most VMs that a summary names.
pub(crate) const MAX_SUMMARY_CONTACTS: usize = 6;

/// The most VMs that are kept of another domain: those that its summary names
/// stay in their places, and some that have sent a message come after them.
const MAX_CONTACTS: usize = MAX_SUMMARY_CONTACTS + 2;

/// The most services that are kept of a VM or domain.
pub(crate) const MAX_SERVICES: usize = 64;

/// The numbers of a service in a summary.
pub(crate) const SUMMARY_VALUES: usize = 5;

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
    pub received_at: Time,
    /// Its age at that time.
    pub initial_age: Duration,
    /// The lowest version of the rules among its live VMs.
    pub min_version: u64,
    /// The highest one.
    pub max_version: u64,
    /// Its live VMs.
    pub live: u32,
    /// Its known VMs.
    pub total: u32,
    /// The hash of the names that the numbers belong to.
    pub(crate) layout_hash: u32,
    /// When anything was last heard of it.
    pub(crate) last_heard: Time,
    /// When this VM last sent it a summary.
    pub(crate) last_sent: Option<Time>,
    /// The summaries that this VM sent in a row as its delegate.
    pub(crate) sent_count: u32,
    /// The highest version and the shape of the last summary sent.
    pub(crate) last_advertised: (u64, u32),
    /// The link address of the domain's delegate for this domain, if known.
    pub(crate) remote_delegate: Option<SocketAddr>,
    /// Whether this VM is the delegate that sends it summaries.
    pub(crate) is_delegate: bool,
    /// The newest summary, until it went on to the VMs of this domain.
    pub(crate) pending_relay: Option<Summary>,
}

impl Domain {
    pub(crate) fn new(now: Time, id: DomainId) -> Self {
        Self {
            id,
            region: None,
            contacts: Vec::new(),
            services: Vec::new(),
            received_at: Time::ZERO,
            initial_age: Duration::MAX,
            min_version: 0,
            max_version: 0,
            live: 0,
            total: 0,
            layout_hash: 0,
            last_heard: now,
            last_sent: None,
            sent_count: 0,
            last_advertised: (0, 0),
            remote_delegate: None,
            is_delegate: false,
            pending_relay: None,
        }
    }

    /// The age of the newest summary.
    pub fn age(&self, now: Time) -> Duration {
        self.initial_age.saturating_add(now.since(self.received_at))
    }

    /// Keeps a VM of the domain in mind, the newest first.
    pub(crate) fn add_contact(&mut self, contact: Contact) {
        let existing = self.contacts.iter().position(|c| c.vm == contact.vm);
        if let Some(i) = existing {
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
    pub(crate) fn withdraw_contact(&mut self, vm: &str) {
        if let Some(contact) = self.contacts.iter_mut().find(|c| c.vm.as_str() == vm) {
            contact.callers = None;
            contact.forwards = None;
        }
    }

    /// Where the next summary goes: to the domain's own delegate, so that the
    /// work of passing summaries on is spread, or, after silence for some
    /// intervals, to any VM that is known.
    pub(crate) fn choose_receiver(
        &self,
        now: Time,
        interval: Duration,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        /// The intervals of silence after which the delegate is doubted.
        const SILENT_INTERVALS: u32 = 3;
        let recently_heard = now.since(self.last_heard) < interval * SILENT_INTERVALS;
        let remote_delegate = self.remote_delegate.filter(|_| recently_heard);
        let any_contact = |rng| self.contacts.choose(rng).map(|c| c.link);
        remote_delegate.or_else(|| any_contact(rng))
    }

    /// Sets whether this VM is the delegate that sends the domain summaries.
    pub(crate) fn set_delegate(&mut self, is_delegate: bool) {
        self.is_delegate = is_delegate;
        if !is_delegate {
            self.sent_count = 0;
        }
    }

    /// Takes a summary. Returns whether it is newer than what is known.
    pub(crate) fn apply(&mut self, now: Time, summary: &Summary) -> bool {
        let initial_age = Duration::from_millis(summary.age_ms.into());
        if initial_age >= self.age(now) {
            return false;
        }
        self.last_heard = now;
        let sender = summary.sender.as_ref().and_then(wire::decode_contact);
        self.remote_delegate = sender.map(|s| s.link).or(self.remote_delegate);
        self.min_version = summary.min_version;
        self.max_version = summary.min_version.saturating_add(summary.version_spread);
        self.live = summary.live;
        self.total = summary.total;
        if !summary.contacts.is_empty() {
            self.apply_names(summary);
        }
        if self.layout_hash == summary.layout_hash {
            self.received_at = now;
            self.initial_age = initial_age;
            self.apply_load_values(summary);
        }
        true
    }

    fn apply_names(&mut self, summary: &Summary) {
        let contacts = summary.contacts.iter().take(MAX_SUMMARY_CONTACTS);
        let contacts: Option<Vec<_>> = contacts.map(wire::decode_contact).collect();
        let services = summary.services.iter().take(MAX_SERVICES);
        let services: Option<Vec<_>> = services.map(wire::decode_service).collect();
        let (Some(contacts), Some(services)) = (contacts, services) else {
            return;
        };
        let headroom = |load| Headroom {
            load,
            best: Vec::new(),
        };
        self.region = summary.region.parse().ok();
        self.contacts = contacts;
        self.services = services.into_iter().map(headroom).collect();
        self.services
            .sort_by(|a, b| a.load.service.cmp(&b.load.service));
        self.layout_hash = summary.layout_hash;
    }

    fn apply_load_values(&mut self, summary: &Summary) {
        let rows = summary.load_values.chunks(SUMMARY_VALUES);
        for (headroom, row) in self.services.iter_mut().zip(rows) {
            wire::set_load_values(&mut headroom.load, row);
            let positions = row.iter().skip(3).filter_map(|p| p.checked_sub(1));
            let vms = positions.filter_map(|p| self.contacts.get(p as usize));
            headroom.best = vms.map(|c| c.vm.clone()).collect();
        }
    }
}
