//! How VMs find each other, at the start and after a partition.

use crate::{Body, Contact, Domain, Effect, Hello, Hint, Info, Members, PeerState, wire};
use pimento_core::Time;
use rand::seq::{IndexedRandom, SliceRandom};
use std::{net::SocketAddr, time::Duration};

/// How long a starting VM greets at the higher rate.
const START: Duration = Duration::from_secs(10);

/// The interval between greetings at the start.
const START_PROBE: Duration = Duration::from_secs(1);

/// The seeds greeted at a time at the start.
const START_SEEDS: usize = 3;

/// The most greetings in one tick.
const MAX_GREETINGS: usize = 16;

/// The most greetings that wait for their tick.
const MAX_ASKS: usize = 256;

/// How long an address is not greeted again on others' word.
const ASK_GAP: Duration = Duration::from_secs(2);

/// The most hints that one greeting gives or takes.
const MAX_HINTS: usize = 256;

/// The most summaries that a greeting gives or takes.
pub(crate) const MAX_SUMMARIES: usize = 512;

/// The silence of a domain after which its seeds are greeted.
const QUIET: Duration = Duration::from_mins(1);

impl Members {
    /// Greets VMs that others named, and now and then one that is silent.
    pub(crate) fn greet(&mut self, now: Time, effects: &mut Vec<Effect>) {
        if now >= self.join.due {
            self.probe(now);
        }
        self.join.asked.retain(|(at, _)| now.since(*at) < ASK_GAP);
        let count = self.join.asks.len().min(MAX_GREETINGS);
        let asks: Vec<_> = self.join.asks.drain(..count).collect();
        for to in asks {
            let message = self.hello(true).into_shared();
            effects.push(Effect::Send { to, message });
        }
    }

    /// Plans a greeting, unless the address was just greeted.
    pub(crate) fn ask(&mut self, now: Time, link: SocketAddr) {
        let recent = self.join.asked.iter().any(|(_, l)| *l == link);
        if recent || link == self.me.link || self.join.asks.len() >= MAX_ASKS {
            return;
        }
        self.join.asked.push((now, link));
        self.join.asks.push(link);
    }

    /// Plans greetings to silent VMs and seeds, so that partitions heal.
    fn probe(&mut self, now: Time) {
        let starting = now.since(self.started) < START || self.live().next().is_none();
        let (wait, count) = if starting {
            (START_PROBE, START_SEEDS)
        } else {
            (self.pace.probe, 1)
        };
        self.join.due = now + self.jitter(wait);
        let mut silent = self.silent(now);
        silent.shuffle(&mut self.rng);
        for link in silent.into_iter().take(count) {
            self.ask(now, link);
        }
        // That VM's answer names those that are missing here.
        if let Some(link) = self.join.differs.take() {
            self.ask(now, link);
        }
    }

    /// The addresses that should answer and are not heard from.
    fn silent(&self, now: Time) -> Vec<SocketAddr> {
        let live = |link: &SocketAddr| self.live().any(|p| p.info.link == *link);
        let contact = |link: &SocketAddr| {
            let heard = self.domains.iter().filter(|d| now.since(d.heard) < QUIET);
            heard.flat_map(|d| &d.contacts).any(|c| c.link == *link)
        };
        let own = self.me.link;
        let wanted = self.seeds.iter().copied();
        // Past the start, one living seed of a domain is enough.
        let started = now.since(self.started) >= START;
        let wanted = wanted.filter(|l| !(live(l) || started && contact(l)));
        let gone = |s| matches!(s, PeerState::Dead | PeerState::Known);
        let peers = self.peers.iter().filter(|p| gone(p.state));
        let mut all: Vec<_> = wanted.chain(peers.map(|p| p.info.link)).collect();
        all.retain(|l| *l != own);
        all.sort_unstable();
        all.dedup();
        all
    }

    /// A greeting with this VM's own facts alone.
    fn hello(&self, ask: bool) -> Body {
        Body::Hello(Hello {
            info: Some(wire::info_text(&self.me)),
            ask,
            bare: self.join.informed,
            version: self.version,
            ..Hello::default()
        })
    }

    /// Takes a greeting or an answer to one.
    pub(crate) fn on_hello(&mut self, now: Time, hello: &Hello, effects: &mut Vec<Effect>) {
        let Some(info) = hello.info.as_ref().and_then(wire::info) else {
            return;
        };
        if info.vm == self.me.vm {
            return;
        }
        let to = info.link;
        self.newer(hello.version, &info.vm, to, effects);
        if info.domain == self.me.domain {
            self.add_peer(now, &info, effects);
            self.join.informed |= !hello.summaries.is_empty();
        } else if let Some(i) = self.domain_index(now, &info.domain) {
            self.domains[i].heard = now;
            self.domains[i].add_contact(Contact::from(&info));
        }
        for hint in hello.hints.iter().take(MAX_HINTS) {
            self.take_hint(now, hint);
        }
        for summary in hello.summaries.iter().take(MAX_SUMMARIES) {
            self.take_summary(now, summary);
        }
        if hello.ask {
            let message = self.answer(now, &info, hello.bare).into_shared();
            effects.push(Effect::Send { to, message });
        }
    }

    /// Takes in a VM of this domain that has been heard directly.
    fn add_peer(&mut self, now: Time, info: &Info, effects: &mut Vec<Effect>) {
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
        let longest = self.pace.longest;
        let peer = &mut self.peers[i];
        let known = peer.info.incarnation;
        let left = peer.state == PeerState::Left && info.incarnation == known;
        if info.incarnation < known || left {
            return;
        }
        if info.incarnation > known {
            // A restarted process is another one: its loads are unknown.
            *peer = Peer::new(now, info.clone(), PeerState::Known);
        }
        peer.info = info.clone();
        peer.heard = now;
        peer.direct = now;
        peer.interval = peer.interval.max(longest);
        if peer.state != PeerState::Alive {
            self.set_state(now, i, PeerState::Alive, effects);
        }
        self.stale = true;
    }

    /// Takes note of a VM that another one named; only its own message makes
    /// it count as live.
    pub(crate) fn take_hint(&mut self, now: Time, hint: &Hint) {
        let Some(link) = wire::decode(&hint.link) else {
            return;
        };
        if hint.domain == self.me.domain.as_str() {
            let live = self.peer(&hint.vm).is_some_and(crate::Peer::is_live);
            if !live && hint.vm != self.me.vm.as_str() {
                self.ask(now, link);
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
    fn answer(&mut self, now: Time, to: &Info, bare: bool) -> Body {
        let Body::Hello(mut hello) = self.hello(false) else {
            unreachable!("a greeting is a greeting");
        };
        if to.domain == self.me.domain {
            let others = self.live().filter(|p| p.info.vm != to.vm);
            hello.hints = others.map(|p| own_hint(&p.info)).collect();
        }
        let firsts = self.domains.iter();
        let firsts = firsts.filter_map(|d| Some(hint(d, d.contacts.first()?)));
        hello.hints.extend(firsts);
        if !bare {
            hello.summaries = self.known_summaries(now);
        }
        let same = self.domains.iter().filter(|d| d.id == to.domain);
        let contacts = same.flat_map(|d| d.contacts.iter().map(move |c| hint(d, c)));
        hello.hints.extend(contacts);
        hello.hints.truncate(MAX_HINTS);
        Body::Hello(hello)
    }

    /// A VM of a random domain, to tell a third one of.
    pub(crate) fn random_hint(&mut self) -> Option<Hint> {
        let domain = self.domains.choose(&mut self.rng)?;
        Some(hint(domain, domain.contacts.choose(&mut self.rng)?))
    }
}

fn own_hint(info: &Info) -> Hint {
    Hint {
        vm: info.vm.to_string(),
        domain: info.domain.to_string(),
        link: wire::encode(info.link),
    }
}

fn hint(domain: &Domain, contact: &Contact) -> Hint {
    Hint {
        vm: contact.vm.to_string(),
        domain: domain.id.to_string(),
        link: wire::encode(contact.link),
    }
}
