//! Heartbeats and failure detection.

use crate::{Body, Effect, Heartbeat, Members, Peer, PeerState, Summary, VmIncarnation, wire};
use pimento_core::Time;
use rand::Rng;
use std::time::Duration;

/// Silence that is tolerated on top of whole intervals, to cover network delays.
const SILENCE_TOLERANCE: Duration = Duration::from_millis(300);

/// The minimum time between two rounds of heartbeats.
const MIN_ROUND_GAP: Duration = Duration::from_millis(200);

/// The maximum number of VMs that a heartbeat lists as suspected, and as
/// confirmed alive.
const MAX_LISTED_VMS: usize = 32;

/// The maximum number of summaries that a heartbeat relays.
const MAX_RELAYED_SUMMARIES: usize = 64;

impl Members {
    /// Suspects silent VMs, declares suspected ones dead, and removes VMs that
    /// have been gone for long and domains that have been silent for long.
    pub(crate) fn detect_failures(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let own_interval = self.interval();
        for i in 0..self.peers.len() {
            let peer = &self.peers[i];
            let longer_interval = peer.interval.max(own_interval);
            match peer.state {
                PeerState::Alive
                    if now.since(peer.last_heard)
                        > peer.interval * self.timing.suspect_after + SILENCE_TOLERANCE =>
                {
                    self.set_state(now, i, PeerState::Suspect, effects);
                }
                PeerState::Suspect
                    if now.since(peer.state_since)
                        > longer_interval * self.timing.dead_after + SILENCE_TOLERANCE =>
                {
                    self.set_state(now, i, PeerState::Dead, effects);
                }
                _ => {}
            }
        }
        let forget_after = self.timing.forget_after;
        self.peers
            .retain(|p| p.is_live() || now.since(p.state_since) < forget_after);
        let count_before = self.domains.len();
        self.domains
            .retain(|d| now.since(d.last_heard) < forget_after);
        self.view_changed |= count_before != self.domains.len();
    }

    /// Sends a round of heartbeats if it is due, or early if one was requested.
    pub(crate) fn send_heartbeats(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let early = self.schedule.send_early && now.since(self.schedule.last_at) >= MIN_ROUND_GAP;
        if now < self.schedule.next_at && !early {
            return;
        }
        let heartbeat = self.next_heartbeat(now);
        effects.extend(self.broadcast(&Body::Heartbeat(heartbeat).into_shared()));
        self.schedule.send_early = false;
        self.schedule.last_at = now;
        self.schedule.next_at = now + self.jitter(self.interval());
    }

    /// The interval between this VM's heartbeats, which depends on the number of
    /// live VMs.
    pub(crate) fn interval(&self) -> Duration {
        self.timing.heartbeat_interval(self.live().count())
    }

    /// Adds jitter of up to 10 % either way, so that VMs don't synchronize.
    pub(crate) fn jitter(&mut self, interval: Duration) -> Duration {
        interval * self.rng.random_range(90..=110) / 100
    }

    /// Builds the heartbeat of one round: own state, suspicions, confirmations
    /// and relayed summaries.
    fn next_heartbeat(&mut self, now: Time) -> Heartbeat {
        let with_names = self.schedule.named_rounds > 0
            || self
                .schedule
                .round_count
                .is_multiple_of(self.timing.names_every.max(1));
        self.schedule.round_count = self.schedule.round_count.wrapping_add(1);
        self.schedule.named_rounds = self.schedule.named_rounds.saturating_sub(1);
        let suspects = self.peers.iter();
        let suspects = suspects.filter(|p| p.state == PeerState::Suspect);
        Heartbeat {
            suspects: suspects.take(MAX_LISTED_VMS).map(vm_incarnation).collect(),
            confirmed_alive: std::mem::take(&mut self.confirmed_alive),
            summaries: self.take_relayed_summaries(now),
            ..self.own_heartbeat(with_names)
        }
    }

    /// Builds a heartbeat that holds only this VM's own state.
    pub(crate) fn own_heartbeat(&self, with_names: bool) -> Heartbeat {
        let interval_ms = u32::try_from(self.interval().as_millis()).unwrap_or(u32::MAX);
        let mut heartbeat = Heartbeat {
            incarnation_hash: self.this_vm.incarnation_hash(),
            interval_ms,
            version: self.version,
            view_digest: self.view_digest,
            layout_hash: self.layout_hash,
            load_values: self.loads.iter().flat_map(wire::load_values).collect(),
            ..Heartbeat::default()
        };
        if with_names {
            heartbeat.vm = self.this_vm.vm.to_string();
            heartbeat.incarnation = self.this_vm.incarnation;
            heartbeat.services = self.loads.iter().map(wire::encode_service).collect();
            heartbeat.link = wire::encode_address(self.this_vm.link);
        }
        heartbeat
    }

    /// Confirms in the next heartbeat that a VM which another one suspects is
    /// alive, if this VM has heard from it recently.
    pub(crate) fn confirm_alive(&mut self, now: Time, suspect: &VmIncarnation) {
        let Ok(i) = self.find_peer(&suspect.vm) else {
            return;
        };
        let peer = &self.peers[i];
        let same_incarnation =
            peer.info.incarnation == suspect.incarnation && peer.state == PeerState::Alive;
        let recently_heard = now.since(peer.last_direct) <= peer.interval * 2;
        let listed = self.confirmed_alive.iter().any(|v| v.vm == suspect.vm);
        if same_incarnation
            && recently_heard
            && !listed
            && self.confirmed_alive.len() < MAX_LISTED_VMS
        {
            self.confirmed_alive.push(suspect.clone());
        }
    }

    /// Takes the summaries that arrived since the last round, with their current
    /// ages.
    fn take_relayed_summaries(&mut self, now: Time) -> Vec<Summary> {
        let domains = self.domains.iter_mut();
        let fresh = domains
            .filter(|d| d.pending_relay.is_some())
            .take(MAX_RELAYED_SUMMARIES);
        let relayed = fresh.filter_map(|d| {
            let age = d.age(now);
            let summary = d.pending_relay.take()?;
            Some(Summary {
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
                ..summary
            })
        });
        relayed.collect()
    }
}

fn vm_incarnation(peer: &Peer) -> VmIncarnation {
    VmIncarnation {
        vm: peer.info.vm.to_string(),
        incarnation: peer.info.incarnation,
    }
}
