//! What this VM knows about another failure domain.

use crate::{Contact, ServiceLoad, Summary, wire};
use pimento_core::{DomainId, RegionId, Time, VmId};
use rand::{Rng, seq::IndexedRandom};
use std::{net::SocketAddr, time::Duration};

/// The maximum number of VMs that a summary names.
pub(crate) const MAX_SUMMARY_CONTACTS: usize = 6;

/// The maximum number of VMs that are kept per domain. The VMs of its latest
/// summary come first and keep their positions; senders of other messages follow.
const MAX_CONTACTS: usize = MAX_SUMMARY_CONTACTS + 2;

/// The maximum number of services that are kept per VM or domain.
pub(crate) const MAX_SERVICES: usize = 64;

/// The number of load values per service in a summary.
pub(crate) const SUMMARY_VALUES: usize = 5;

/// The load of one service in another failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainLoad {
    /// The sum of the loads of the domain's VMs.
    pub load: ServiceLoad,
    /// The VMs with the most free slots, in descending order; each is one of the
    /// domain's contacts.
    pub best: Vec<VmId>,
}

/// Another failure domain, as described by its summaries.
#[derive(Clone, Debug)]
pub struct Domain {
    /// The name of the domain.
    pub id: DomainId,
    /// Its region, once a summary with names has arrived.
    pub region: Option<RegionId>,
    /// Some of its VMs, which summaries and forwarded requests can be sent to.
    pub contacts: Vec<Contact>,
    /// The load of each service, in ascending order of service.
    pub services: Vec<DomainLoad>,
    /// When the latest summary was received.
    pub received_at: Time,
    /// The age of that summary when it was received.
    pub initial_age: Duration,
    /// The lowest rules version among its live VMs.
    pub min_version: u64,
    /// The highest rules version among its live VMs.
    pub max_version: u64,
    /// The number of its live VMs.
    pub live: u32,
    /// The number of its known VMs, except those that left as planned.
    pub total: u32,
    /// The hash of the names in the latest summary that had any. Summaries that
    /// only hold load values are matched to these names by it.
    pub(crate) layout_hash: u32,
    /// When a message from the domain, or a newer summary of it, last arrived.
    pub(crate) last_heard: Time,
    /// When this VM last sent it a summary.
    pub(crate) last_sent: Option<Time>,
    /// The number of summaries that this VM has sent since it became the delegate.
    pub(crate) sent_count: u32,
    /// The highest rules version and the layout hash of the last summary sent.
    pub(crate) last_advertised: (u64, u32),
    /// The link address of the remote VM that is the delegate for this domain, if
    /// known.
    pub(crate) remote_delegate: Option<SocketAddr>,
    /// Whether this VM is the delegate that sends summaries to the domain.
    pub(crate) is_delegate: bool,
    /// The latest summary, until the next heartbeat relays it within this domain.
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

    /// The current age of the latest summary.
    pub fn age(&self, now: Time) -> Duration {
        self.initial_age.saturating_add(now.since(self.received_at))
    }

    /// Adds a VM or updates it in its position. If the list is full, the last VM is
    /// replaced.
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

    /// Stops routing callers and requests to a VM. The VM keeps its position in the
    /// list, since load values of summaries refer to contacts by position.
    pub(crate) fn withdraw_contact(&mut self, vm: &str) {
        if let Some(contact) = self.contacts.iter_mut().find(|c| c.vm.as_str() == vm) {
            contact.callers = None;
            contact.forwards = None;
        }
    }

    /// Chooses the receiver of the next summary: the domain's delegate for this
    /// one, so that the work of relaying summaries is spread over its VMs, or a
    /// random contact if the domain has been silent for several intervals.
    pub(crate) fn choose_receiver(
        &self,
        now: Time,
        interval: Duration,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        /// The number of silent intervals after which the delegate may be dead.
        const SILENT_INTERVALS: u32 = 3;
        let recently_heard = now.since(self.last_heard) < interval * SILENT_INTERVALS;
        let remote_delegate = self.remote_delegate.filter(|_| recently_heard);
        let any_contact = |rng| self.contacts.choose(rng).map(|c| c.link);
        remote_delegate.or_else(|| any_contact(rng))
    }

    /// Sets whether this VM is the delegate that sends summaries to the domain.
    pub(crate) fn set_delegate(&mut self, is_delegate: bool) {
        self.is_delegate = is_delegate;
        if !is_delegate {
            self.sent_count = 0;
        }
    }

    /// Applies a summary and returns true if it is newer than the latest one.
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
        let domain_load = |load| DomainLoad {
            load,
            best: Vec::new(),
        };
        self.region = summary.region.parse().ok();
        self.contacts = contacts;
        self.services = services.into_iter().map(domain_load).collect();
        self.services
            .sort_by(|a, b| a.load.service.cmp(&b.load.service));
        self.layout_hash = summary.layout_hash;
    }

    fn apply_load_values(&mut self, summary: &Summary) {
        let rows = summary.load_values.chunks(SUMMARY_VALUES);
        for (service, row) in self.services.iter_mut().zip(rows) {
            wire::set_load_values(&mut service.load, row);
            let positions = row.iter().skip(3).filter_map(|p| p.checked_sub(1));
            let vms = positions.filter_map(|p| self.contacts.get(p as usize));
            service.best = vms.map(|c| c.vm.clone()).collect();
        }
    }
}
