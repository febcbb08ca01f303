//! Discovery of other VMs at startup and after a partition, by hello messages.

use crate::{Body, Contact, Domain, Effect, Hello, Hint, Members, PeerState, VmInfo, wire};
use pimento_core::Time;
use rand::seq::{IndexedRandom, SliceRandom};
use std::{net::SocketAddr, time::Duration};

/// How long after its start a VM probes at the higher rate. A VM that knows no
/// live peer always does.
const STARTUP_PHASE: Duration = Duration::from_secs(10);

/// The probe interval during the startup phase.
const STARTUP_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of addresses per probe during the startup phase.
const STARTUP_SEEDS: usize = 3;

/// The maximum number of hello messages per tick, not counting replies.
const MAX_HELLOS_PER_TICK: usize = 16;

/// The maximum number of queued hello messages.
const MAX_QUEUED_HELLOS: usize = 256;

/// The minimum time between two hello messages to one address, so that hints
/// from many VMs lead to one message.
const HELLO_COOLDOWN: Duration = Duration::from_secs(2);

/// The maximum number of hints that are sent in, or read from, one hello.
const MAX_HINTS: usize = 256;

/// The maximum number of summaries that are read from one hello.
pub(crate) const MAX_HELLO_SUMMARIES: usize = 512;

/// The time without a message from a domain after which its seeds are probed.
const DOMAIN_SILENCE: Duration = Duration::from_mins(1);

impl Members {
    /// Sends queued hello messages, and queues new ones to silent addresses when a
    /// probe is due.
    pub(crate) fn send_hellos(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now >= self.discovery.next_probe {
            self.probe_silent(now);
        }
        self.discovery
            .recent_hellos
            .retain(|(at, _)| now.since(*at) < HELLO_COOLDOWN);
        let count = self.discovery.queued_hellos.len().min(MAX_HELLOS_PER_TICK);
        let queued_hellos: Vec<_> = self.discovery.queued_hellos.drain(..count).collect();
        for to in queued_hellos {
            let message = self.own_hello(true).into_shared();
            effects.push(Effect::Send { to, message });
        }
    }

    /// Queues a hello message, unless one was sent to the address recently.
    pub(crate) fn queue_hello(&mut self, now: Time, link: SocketAddr) {
        let recent = self.discovery.recent_hellos.iter().any(|(_, l)| *l == link);
        if recent
            || link == self.this_vm.link
            || self.discovery.queued_hellos.len() >= MAX_QUEUED_HELLOS
        {
            return;
        }
        self.discovery.recent_hellos.push((now, link));
        self.discovery.queued_hellos.push(link);
    }

    /// Queues hello messages to silent VMs and seeds, so that partitions heal.
    fn probe_silent(&mut self, now: Time) {
        let probes_often = now.since(self.started) < STARTUP_PHASE || self.live().next().is_none();
        let (interval, count) = if probes_often {
            (STARTUP_PROBE_INTERVAL, STARTUP_SEEDS)
        } else {
            (self.timing.probe_interval, 1)
        };
        self.discovery.next_probe = now + self.jitter(interval);
        let mut silent = self.silent_addresses(now);
        silent.shuffle(&mut self.rng);
        for link in silent.into_iter().take(count) {
            self.queue_hello(now, link);
        }
        // Its reply has hints to the VMs that this one doesn't know.
        if let Some(link) = self.discovery.differing_peer.take() {
            self.queue_hello(now, link);
        }
    }

    /// The addresses of seeds, dead VMs and undiscovered VMs that don't count as
    /// live.
    fn silent_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let is_live = |link: &SocketAddr| self.live().any(|p| p.info.link == *link);
        let is_contact = |link: &SocketAddr| {
            let recent = self
                .domains
                .iter()
                .filter(|d| now.since(d.last_heard) < DOMAIN_SILENCE);
            recent.flat_map(|d| &d.contacts).any(|c| c.link == *link)
        };
        let local_link = self.this_vm.link;
        let seeds = self.seeds.iter().copied();
        // After startup, a seed needs no probe while its domain is in contact.
        let startup_over = now.since(self.started) >= STARTUP_PHASE;
        let seeds = seeds.filter(|l| !(is_live(l) || startup_over && is_contact(l)));
        let is_unreachable = |s| matches!(s, PeerState::Dead | PeerState::Known);
        let peers = self.peers.iter().filter(|p| is_unreachable(p.state));
        let mut all: Vec<_> = seeds.chain(peers.map(|p| p.info.link)).collect();
        all.retain(|l| *l != local_link);
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Builds a hello message without hints and summaries.
    fn own_hello(&self, wants_reply: bool) -> Body {
        Body::Hello(Hello {
            info: Some(wire::encode_info(&self.this_vm)),
            wants_reply,
            skip_summaries: self.discovery.has_summaries,
            version: self.version,
            ..Hello::default()
        })
    }

    /// Handles a hello message or the reply to one.
    pub(crate) fn handle_hello(&mut self, now: Time, hello: &Hello, effects: &mut Vec<Effect>) {
        let Some(info) = hello.info.as_ref().and_then(wire::decode_info) else {
            return;
        };
        if info.vm == self.this_vm.vm {
            return;
        }
        let to = info.link;
        self.report_newer_rules(hello.version, &info.vm, to, effects);
        if info.domain == self.this_vm.domain {
            self.record_peer(now, &info, effects);
            self.discovery.has_summaries |= !hello.summaries.is_empty();
        } else if let Some(i) = self.domain_index(now, &info.domain) {
            self.domains[i].last_heard = now;
            self.domains[i].add_contact(Contact::from(&info));
        }
        for hint in hello.hints.iter().take(MAX_HINTS) {
            self.apply_hint(now, hint);
        }
        for summary in hello.summaries.iter().take(MAX_HELLO_SUMMARIES) {
            self.apply_summary(now, summary);
        }
        if hello.wants_reply {
            let message = self
                .hello_reply(now, &info, hello.skip_summaries)
                .into_shared();
            effects.push(Effect::Send { to, message });
        }
    }

    /// Records a VM of this domain that sent a message itself, and marks it alive.
    fn record_peer(&mut self, now: Time, info: &VmInfo, effects: &mut Vec<Effect>) {
        use crate::{Peer, members::MAX_PEERS};
        let i = match self.find_peer(&info.vm) {
            Ok(i) => i,
            Err(_) if self.peers.len() >= MAX_PEERS => return,
            Err(i) => {
                let peer = Peer::new(now, info.clone(), PeerState::Known);
                self.peers.insert(i, peer);
                i
            }
        };
        let max_interval = self.timing.max_heartbeat;
        let peer = &mut self.peers[i];
        let known_incarnation = peer.info.incarnation;
        let has_left = peer.state == PeerState::Left && info.incarnation == known_incarnation;
        if info.incarnation < known_incarnation || has_left {
            return;
        }
        if info.incarnation > known_incarnation {
            // The process has restarted, so the loads of its predecessor are void.
            *peer = Peer::new(now, info.clone(), PeerState::Known);
        }
        peer.info = info.clone();
        peer.last_heard = now;
        peer.last_direct = now;
        peer.interval = peer.interval.max(max_interval);
        if peer.state != PeerState::Alive {
            self.set_state(now, i, PeerState::Alive, effects);
        }
        self.view_changed = true;
    }

    /// Handles a hint to a VM from a third VM. The VM only counts as live once it
    /// sends a message itself.
    pub(crate) fn apply_hint(&mut self, now: Time, hint: &Hint) {
        let Some(link) = wire::decode_address(&hint.link) else {
            return;
        };
        if hint.domain == self.this_vm.domain.as_str() {
            let is_live = self.peer(&hint.vm).is_some_and(crate::Peer::is_live);
            if !is_live && hint.vm != self.this_vm.vm.as_str() {
                self.queue_hello(now, link);
            }
            return;
        }
        let Ok(vm) = hint.vm.parse() else {
            return;
        };
        if let Some(i) = self.domain_index(now, &hint.domain)
            && self.domains[i].contacts.is_empty()
        {
            self.domains[i].add_contact(Contact {
                vm,
                link,
                callers: None,
                forwards: None,
            });
        }
    }

    /// Builds the reply to a hello message: what the sender may not know.
    fn hello_reply(&mut self, now: Time, to: &VmInfo, skip_summaries: bool) -> Body {
        let Body::Hello(mut hello) = self.own_hello(false) else {
            unreachable!("own_hello returns a hello");
        };
        if to.domain == self.this_vm.domain {
            let others = self.live().filter(|p| p.info.vm != to.vm);
            hello.hints = others.map(|p| peer_hint(&p.info)).collect();
        }
        let first_contacts = self.domains.iter();
        let first_contacts =
            first_contacts.filter_map(|d| Some(contact_hint(d, d.contacts.first()?)));
        hello.hints.extend(first_contacts);
        if !skip_summaries {
            hello.summaries = self.known_summaries(now);
        }
        let own_domain = self.domains.iter().filter(|d| d.id == to.domain);
        let contacts = own_domain.flat_map(|d| d.contacts.iter().map(move |c| contact_hint(d, c)));
        hello.hints.extend(contacts);
        hello.hints.truncate(MAX_HINTS);
        Body::Hello(hello)
    }

    /// A random contact of a random domain, to be sent to a third domain.
    pub(crate) fn random_hint(&mut self) -> Option<Hint> {
        let domain = self.domains.choose(&mut self.rng)?;
        Some(contact_hint(domain, domain.contacts.choose(&mut self.rng)?))
    }
}

fn peer_hint(info: &VmInfo) -> Hint {
    Hint {
        vm: info.vm.to_string(),
        domain: info.domain.to_string(),
        link: wire::encode_address(info.link),
    }
}

fn contact_hint(domain: &Domain, contact: &Contact) -> Hint {
    Hint {
        vm: contact.vm.to_string(),
        domain: domain.id.to_string(),
        link: wire::encode_address(contact.link),
    }
}
