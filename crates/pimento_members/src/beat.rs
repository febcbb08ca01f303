//! Heartbeats and what their absence means.

use crate::{Beat, Body, Effect, Members, Named, Peer, PeerState, Summary, wire};
use pimento_core::Time;
use rand::Rng;
use std::time::Duration;

/// Silence that is borne beyond whole intervals, for delays on the way.
const SLACK: Duration = Duration::from_millis(300);

/// The shortest time between two rounds of heartbeats.
const MIN_GAP: Duration = Duration::from_millis(200);

/// The most VMs that a heartbeat suspects or vouches for.
const MAX_NAMED: usize = 32;

/// The most summaries that a heartbeat passes on.
const MAX_SUMMARIES: usize = 64;

impl Members {
    /// Suspects silent VMs, declares suspected ones dead and forgets dead ones.
    pub(crate) fn check_silence(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let own = self.interval();
        for i in 0..self.peers.len() {
            let peer = &self.peers[i];
            let borne = peer.interval.max(own);
            match peer.state {
                PeerState::Alive
                    if now.since(peer.heard) > peer.interval * self.pace.missed + SLACK =>
                {
                    self.set_state(now, i, PeerState::Suspect, effects);
                }
                PeerState::Suspect if now.since(peer.since) > borne * self.pace.grace + SLACK => {
                    self.set_state(now, i, PeerState::Dead, effects);
                }
                _ => {}
            }
        }
        let forget = self.pace.forget;
        self.peers
            .retain(|p| p.is_live() || now.since(p.since) < forget);
        let known = self.domains.len();
        self.domains.retain(|d| now.since(d.heard) < forget);
        self.stale |= known != self.domains.len();
    }

    /// Sends a round of heartbeats if it is time, or if there is news.
    pub(crate) fn send_beats(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let hurry = self.rounds.hurry && now.since(self.rounds.last) >= MIN_GAP;
        if now < self.rounds.due && !hurry {
            return;
        }
        let beat = self.round(now);
        effects.extend(self.to_live(&Body::Beat(beat).into_shared()));
        self.rounds.hurry = false;
        self.rounds.last = now;
        self.rounds.due = now + self.jitter(self.interval());
    }

    /// The interval between this VM's heartbeats.
    pub(crate) fn interval(&self) -> Duration {
        self.pace.beat_interval(self.live().count())
    }

    /// An interval changed by up to a tenth, so that VMs don't fall into step.
    pub(crate) fn jitter(&mut self, interval: Duration) -> Duration {
        interval * self.rng.random_range(90..=110) / 100
    }

    /// The heartbeat of one round, with all that has to go round.
    fn round(&mut self, now: Time) -> Beat {
        let named =
            self.rounds.names > 0 || self.rounds.count.is_multiple_of(self.pace.names.max(1));
        self.rounds.count = self.rounds.count.wrapping_add(1);
        self.rounds.names = self.rounds.names.saturating_sub(1);
        let suspects = self.peers.iter();
        let suspects = suspects.filter(|p| p.state == PeerState::Suspect);
        Beat {
            suspects: suspects.take(MAX_NAMED).map(named_run).collect(),
            vouched: std::mem::take(&mut self.vouched),
            summaries: self.relays(now),
            ..self.plain_beat(named)
        }
    }

    /// A heartbeat with this VM's own state alone.
    pub(crate) fn plain_beat(&self, named: bool) -> Beat {
        let interval = u32::try_from(self.interval().as_millis()).unwrap_or(u32::MAX);
        let mut beat = Beat {
            run: self.me.run(),
            interval,
            version: self.version,
            live: self.digest,
            shape: self.shape,
            numbers: self.loads.iter().flat_map(wire::numbers).collect(),
            ..Beat::default()
        };
        if named {
            beat.vm = self.me.vm.to_string();
            beat.incarnation = self.me.incarnation;
            beat.services = self.loads.iter().map(wire::service_text).collect();
            beat.link = wire::encode(self.me.link);
        }
        beat
    }

    /// Notes that this VM hears one that another VM suspects.
    pub(crate) fn vouch(&mut self, now: Time, run: &Named) {
        let Ok(i) = self.find_peer(&run.vm) else {
            return;
        };
        let peer = &self.peers[i];
        let same = peer.info.incarnation == run.incarnation && peer.state == PeerState::Alive;
        let heard = now.since(peer.direct) <= peer.interval * 2;
        let listed = self.vouched.iter().any(|v| v.vm == run.vm);
        if same && heard && !listed && self.vouched.len() < MAX_NAMED {
            self.vouched.push(run.clone());
        }
    }

    /// The summaries that came since the last round, with their ages.
    fn relays(&mut self, now: Time) -> Vec<Summary> {
        let domains = self.domains.iter_mut();
        let fresh = domains.filter(|d| d.relay.is_some()).take(MAX_SUMMARIES);
        let taken = fresh.filter_map(|d| {
            let age = d.age(now);
            let summary = d.relay.take()?;
            Some(Summary {
                age: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
                ..summary
            })
        });
        taken.collect()
    }
}

/// The run of a VM that is suspected.
fn named_run(peer: &Peer) -> Named {
    Named {
        vm: peer.info.vm.to_string(),
        incarnation: peer.info.incarnation,
    }
}
