//! How VMs find each other, at the start and after a partition.

use crate::{Body, Contact, Domain, Effect, Hello, Hint, Members, PeerState, VmInfo, wire};
use pimento_core::Time;
use rand::seq::{IndexedRandom, SliceRandom};
use std::{net::SocketAddr, time::Duration};

/// How long a starting VM greets at the higher rate.
const STARTUP_PHASE: Duration = Duration::from_secs(10);

/// The interval between greetings at the start.
const STARTUP_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The seeds greeted at a time at the start.
const STARTUP_SEEDS: usize = 3;

/// The most greetings in one tick.
const MAX_HELLOS_PER_TICK: usize = 16;

/// The most greetings that wait for their tick.
const MAX_QUEUED_HELLOS: usize = 256;

/// How long an address is not greeted again on others' word.
const HELLO_COOLDOWN: Duration = Duration::from_secs(2);

/// The most hints that one greeting gives or takes.
const MAX_HINTS: usize = 256;

/// The most summaries that a greeting gives or takes.
pub(crate) const MAX_HELLO_SUMMARIES: usize = 512;

/// The silence of a domain after which its seeds are greeted.
const DOMAIN_SILENCE: Duration = Duration::from_mins(1);

impl Members {
    /// Greets VMs that others named, and now and then one that is silent.
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

    /// Plans a greeting, unless the address was just greeted.
    pub(crate) fn queue_hello(&mut self, now: Time, link: SocketAddr) {
        let recent = self.discovery.recent_hellos.iter().any(|(_, l)| *l == link);
        if recent || link == self.me.link || self.discovery.queued_hellos.len() >= MAX_QUEUED_HELLOS
        {
            return;
        }
        self.discovery.recent_hellos.push((now, link));
        self.discovery.queued_hellos.push(link);
    }

    /// Plans greetings to silent VMs and seeds, so that partitions heal.
    fn probe_silent(&mut self, now: Time) {
        let starting = now.since(self.started) < STARTUP_PHASE || self.live().next().is_none();
        let (interval, count) = if starting {
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
        // That VM's answer names those that are missing here.
        if let Some(link) = self.discovery.differing_peer.take() {
            self.queue_hello(now, link);
        }
    }

    /// The addresses that should answer and are not heard from.
    fn silent_addresses(&self, now: Time) -> Vec<SocketAddr> {
        let is_live = |link: &SocketAddr| self.live().any(|p| p.info.link == *link);
        let is_contact = |link: &SocketAddr| {
            let recent = self
                .domains
                .iter()
                .filter(|d| now.since(d.last_heard) < DOMAIN_SILENCE);
            recent.flat_map(|d| &d.contacts).any(|c| c.link == *link)
        };
        let local_link = self.me.link;
        let seeds = self.seeds.iter().copied();
        // Past the start, one living seed of a domain is enough.
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

    /// A greeting with this VM's own facts alone.
    fn own_hello(&self, wants_reply: bool) -> Body {
        Body::Hello(Hello {
            info: Some(wire::encode_info(&self.me)),
            wants_reply,
            skip_summaries: self.discovery.has_summaries,
            version: self.version,
            ..Hello::default()
        })
    }

    /// Takes a greeting or an answer to one.
    pub(crate) fn handle_hello(&mut self, now: Time, hello: &Hello, effects: &mut Vec<Effect>) {
        let Some(info) = hello.info.as_ref().and_then(wire::decode_info) else {
            return;
        };
        if info.vm == self.me.vm {
            return;
        }
        let to = info.link;
        self.report_newer_rules(hello.version, &info.vm, to, effects);
        if info.domain == self.me.domain {
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

    /// Takes in a VM of this domain that has been heard directly.
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
            // A restarted process is another one: its loads are unknown.
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

    /// Takes note of a VM that another one named; only its own message makes
    /// it count as live.
    pub(crate) fn apply_hint(&mut self, now: Time, hint: &Hint) {
        let Some(link) = wire::decode_address(&hint.link) else {
            return;
        };
        if hint.domain == self.me.domain.as_str() {
            let is_live = self.peer(&hint.vm).is_some_and(crate::Peer::is_live);
            if !is_live && hint.vm != self.me.vm.as_str() {
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

    /// The answer to a greeting: what the other VM may not know.
    fn hello_reply(&mut self, now: Time, to: &VmInfo, skip_summaries: bool) -> Body {
        let Body::Hello(mut hello) = self.own_hello(false) else {
            unreachable!("a greeting is a greeting");
        };
        if to.domain == self.me.domain {
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

    /// A VM of a random domain, to tell a third one of.
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
