//! What members do on the messages of others.

use crate::{
    Beat, Body, Effect, Leave, Members, Named, PeerState, ServiceLoad, Summary,
    domain::MAX_SERVICES, wire,
};
use pimento_core::{Time, VmId};
use std::{net::SocketAddr, time::Duration};

/// The numbers of a service in a heartbeat.
const NUMBERS: usize = 3;

/// The interval that a VM may claim, so that its silence is noticed.
const INTERVALS: (u32, u32) = (50, 10_000);

/// The most entries of a list that one message may bring.
const MAX_ENTRIES: usize = 64;

impl Members {
    /// Takes a heartbeat.
    pub(crate) fn on_beat(&mut self, now: Time, beat: &Beat, effects: &mut Vec<Effect>) {
        let Some(i) = self.sender(now, beat) else {
            return;
        };
        let peer = &mut self.peers[i];
        peer.heard = now;
        peer.direct = now;
        let interval = beat.interval.clamp(INTERVALS.0, INTERVALS.1);
        peer.interval = Duration::from_millis(interval.into());
        peer.version = beat.version;
        let (vm, link) = (peer.info.vm.clone(), peer.info.link);
        if peer.state != PeerState::Alive {
            self.set_state(now, i, PeerState::Alive, effects);
        }
        if beat.live != self.digest {
            self.join.differs = Some(link);
        }
        self.take_loads(now, i, beat);
        self.newer(beat.version, &vm, link, effects);
        self.take_suspects(now, &beat.suspects, link, effects);
        for run in beat.vouched.iter().take(MAX_ENTRIES) {
            self.take_vouch(now, run);
        }
        for summary in beat.summaries.iter().take(MAX_ENTRIES) {
            self.take_summary(now, summary);
        }
    }

    /// The known VM that sent a heartbeat; an unknown one is greeted, and one
    /// that has stopped is ignored.
    fn sender(&mut self, now: Time, beat: &Beat) -> Option<usize> {
        if let Some(i) = self.peers.iter().position(|p| p.run == beat.run) {
            return (self.peers[i].state != PeerState::Left).then_some(i);
        }
        let known = self.peer(&beat.vm).map(|p| p.info.incarnation);
        let newer = known.is_none_or(|known| known < beat.incarnation);
        if let Some(link) = wire::decode(&beat.link)
            && newer
        {
            self.ask(now, link);
        }
        None
    }

    fn take_loads(&mut self, now: Time, i: usize, beat: &Beat) {
        let peer = &mut self.peers[i];
        if !beat.services.is_empty() {
            let texts = beat.services.iter().take(MAX_SERVICES);
            let loads: Option<Vec<ServiceLoad>> = texts.map(wire::service).collect();
            let Some(loads) = loads else {
                return;
            };
            if loads.is_sorted_by(|a, b| a.service < b.service) {
                peer.loads = loads;
                peer.shape = beat.shape;
            }
        } else if beat.numbers.is_empty() {
            peer.loads.clear();
            peer.shape = beat.shape;
        }
        if peer.shape == beat.shape {
            peer.loaded = now;
            let rows = beat.numbers.chunks(NUMBERS);
            for (load, row) in peer.loads.iter_mut().zip(rows) {
                wire::set_numbers(load, row);
            }
        }
    }

    /// Answers a suspicion of this VM, and vouches for others that are heard.
    fn take_suspects(
        &mut self,
        now: Time,
        suspects: &[Named],
        link: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        for run in suspects.iter().take(MAX_ENTRIES) {
            if run.vm == self.me.vm.as_str() {
                let message = crate::Body::Beat(self.plain_beat(true)).into_shared();
                effects.push(Effect::Send { to: link, message });
            } else {
                self.vouch(now, run);
            }
        }
    }

    /// Takes another VM's word that it hears one which is suspected here.
    fn take_vouch(&mut self, now: Time, run: &Named) {
        let Ok(i) = self.find_peer(&run.vm) else {
            return;
        };
        let peer = &mut self.peers[i];
        if peer.info.incarnation == run.incarnation && peer.state == PeerState::Suspect {
            peer.heard = now;
            peer.set_state(now, PeerState::Alive);
        }
    }

    /// Takes note of a planned stop.
    pub(crate) fn on_leave(&mut self, now: Time, leave: &Leave, effects: &mut Vec<Effect>) {
        let Ok(i) = self.find_peer(&leave.vm) else {
            return self.on_foreign_leave(leave, effects);
        };
        let peer = &self.peers[i];
        let same = peer.info.incarnation == leave.incarnation;
        if same && peer.state != PeerState::Left {
            self.set_state(now, i, PeerState::Left, effects);
        }
    }

    /// Stops naming a VM of another domain, and passes the news on if this VM
    /// is to.
    fn on_foreign_leave(&mut self, leave: &Leave, effects: &mut Vec<Effect>) {
        for domain in &mut self.domains {
            domain.retire_contact(&leave.vm);
        }
        if leave.relay {
            let leave = Leave {
                relay: false,
                ..leave.clone()
            };
            effects.extend(self.to_live(&Body::Leave(leave).into_shared()));
        }
    }

    /// Takes a summary from another domain, and keeps it for the next round of
    /// heartbeats.
    pub(crate) fn on_summary(&mut self, now: Time, summary: Summary, effects: &mut Vec<Effect>) {
        if let Some(hint) = &summary.hint {
            self.take_hint(now, hint);
        }
        let Some(i) = self.domain_index(now, &summary.domain) else {
            return;
        };
        let sender = summary.sender.as_ref().and_then(wire::contact);
        if let Some(sender) = &sender {
            self.newer(summary.version, &sender.vm, sender.link, effects);
            self.domains[i].add_contact(sender.clone());
        }
        let link = sender.map(|s| s.link);
        let changed = self.domains[i].partner != link;
        if self.take_summary(now, &summary) {
            let tell = changed || !summary.contacts.is_empty();
            self.domains[i].relay = Some(Summary {
                sender: summary.sender.filter(|_| tell),
                hint: None,
                version: 0,
                ..summary
            });
        }
    }

    /// Takes a summary. Returns whether it is newer than what is known.
    pub(crate) fn take_summary(&mut self, now: Time, summary: &Summary) -> bool {
        let i = self.domain_index(now, &summary.domain);
        i.is_some_and(|i| self.domains[i].take(now, summary))
    }

    /// Says so if another VM has newer rules.
    pub(crate) fn newer(
        &self,
        version: u64,
        vm: &VmId,
        link: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        if version > self.version {
            effects.push(Effect::Newer {
                version,
                vm: vm.clone(),
                link,
            });
        }
    }
}
