//! Handling of messages from other members.

use crate::{
    Body, Effect, Heartbeat, Leave, Members, PeerState, ServiceLoad, Summary, VmIncarnation,
    domain::MAX_SERVICES, wire,
};
use pimento_core::{Time, VmId};
use std::{net::SocketAddr, time::Duration};

/// The number of load values per service in a heartbeat.
const HEARTBEAT_VALUES: usize = 3;

/// The range that a claimed heartbeat interval is clamped to, so that the silence
/// of any VM is noticed.
const INTERVAL_RANGE_MS: (u32, u32) = (50, 10_000);

/// The maximum number of entries that are read from a list of a heartbeat.
const MAX_ENTRIES: usize = 64;

impl Members {
    pub(crate) fn handle_heartbeat(
        &mut self,
        now: Time,
        heartbeat: &Heartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let Some(i) = self.find_sender(now, heartbeat) else {
            return;
        };
        let peer = &mut self.peers[i];
        peer.last_heard = now;
        peer.last_direct = now;
        let interval_ms = heartbeat
            .interval_ms
            .clamp(INTERVAL_RANGE_MS.0, INTERVAL_RANGE_MS.1);
        peer.interval = Duration::from_millis(interval_ms.into());
        peer.version = heartbeat.version;
        let (vm, link) = (peer.info.vm.clone(), peer.info.link);
        if peer.state != PeerState::Alive {
            self.set_state(now, i, PeerState::Alive, effects);
        }
        if heartbeat.view_digest != self.view_digest {
            self.discovery.differing_peer = Some(link);
        }
        self.update_loads(now, i, heartbeat);
        self.report_newer_rules(heartbeat.version, &vm, link, effects);
        self.handle_suspicions(now, &heartbeat.suspects, link, effects);
        for confirmed in heartbeat.confirmed_alive.iter().take(MAX_ENTRIES) {
            self.apply_confirmation(now, confirmed);
        }
        for summary in heartbeat.summaries.iter().take(MAX_ENTRIES) {
            self.apply_summary(now, summary);
        }
    }

    /// Finds the peer that sent a heartbeat. Queues a hello message to an unknown
    /// sender, and ignores a VM that has left.
    fn find_sender(&mut self, now: Time, heartbeat: &Heartbeat) -> Option<usize> {
        if let Some(i) = self
            .peers
            .iter()
            .position(|p| p.incarnation_hash == heartbeat.incarnation_hash)
        {
            return (self.peers[i].state != PeerState::Left).then_some(i);
        }
        let known_incarnation = self.peer(&heartbeat.vm).map(|p| p.info.incarnation);
        let newer = known_incarnation.is_none_or(|known| known < heartbeat.incarnation);
        if let Some(link) = wire::decode_address(&heartbeat.link)
            && newer
        {
            self.queue_hello(now, link);
        }
        None
    }

    fn update_loads(&mut self, now: Time, i: usize, heartbeat: &Heartbeat) {
        let peer = &mut self.peers[i];
        if !heartbeat.services.is_empty() {
            let encoded = heartbeat.services.iter().take(MAX_SERVICES);
            let loads: Option<Vec<ServiceLoad>> = encoded.map(wire::decode_service).collect();
            let Some(loads) = loads else {
                return;
            };
            if loads.is_sorted_by(|a, b| a.service < b.service) {
                peer.loads = loads;
                peer.layout_hash = heartbeat.layout_hash;
            }
        } else if heartbeat.load_values.is_empty() {
            peer.loads.clear();
            peer.layout_hash = heartbeat.layout_hash;
        }
        if peer.layout_hash == heartbeat.layout_hash {
            peer.loads_received = now;
            let rows = heartbeat.load_values.chunks(HEARTBEAT_VALUES);
            for (load, row) in peer.loads.iter_mut().zip(rows) {
                wire::set_load_values(load, row);
            }
        }
    }

    /// Refutes a suspicion of this VM by a heartbeat, and confirms that other
    /// suspected VMs are alive if this VM hears from them.
    fn handle_suspicions(
        &mut self,
        now: Time,
        suspects: &[VmIncarnation],
        link: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        for suspect in suspects.iter().take(MAX_ENTRIES) {
            if suspect.vm == self.this_vm.vm.as_str() {
                let message = crate::Body::Heartbeat(self.own_heartbeat(true)).into_shared();
                effects.push(Effect::Send { to: link, message });
            } else {
                self.confirm_alive(now, suspect);
            }
        }
    }

    /// Clears a suspicion after another VM has confirmed that the suspect is alive.
    fn apply_confirmation(&mut self, now: Time, confirmed: &VmIncarnation) {
        let Ok(i) = self.find_peer(&confirmed.vm) else {
            return;
        };
        let peer = &mut self.peers[i];
        if peer.info.incarnation == confirmed.incarnation && peer.state == PeerState::Suspect {
            peer.last_heard = now;
            peer.set_state(now, PeerState::Alive);
        }
    }

    /// Handles the graceful shutdown of a VM.
    pub(crate) fn handle_leave(&mut self, now: Time, leave: &Leave, effects: &mut Vec<Effect>) {
        let Ok(i) = self.find_peer(&leave.vm) else {
            return self.handle_remote_leave(leave, effects);
        };
        let peer = &self.peers[i];
        let same_incarnation = peer.info.incarnation == leave.incarnation;
        if same_incarnation && peer.state != PeerState::Left {
            self.set_state(now, i, PeerState::Left, effects);
        }
    }

    /// Handles the graceful shutdown of a VM in another domain: stops routing to it,
    /// and relays the message within this domain if asked to.
    fn handle_remote_leave(&mut self, leave: &Leave, effects: &mut Vec<Effect>) {
        for domain in &mut self.domains {
            domain.withdraw_contact(&leave.vm);
        }
        if leave.relay {
            let leave = Leave {
                relay: false,
                ..leave.clone()
            };
            effects.extend(self.broadcast(&Body::Leave(leave).into_shared()));
        }
    }

    /// Handles a summary from another domain, and keeps it to be relayed in the next
    /// round of heartbeats.
    pub(crate) fn handle_summary(
        &mut self,
        now: Time,
        summary: Summary,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(hint) = &summary.hint {
            self.apply_hint(now, hint);
        }
        let Some(i) = self.domain_index(now, &summary.domain) else {
            return;
        };
        let sender = summary.sender.as_ref().and_then(wire::decode_contact);
        if let Some(sender) = &sender {
            self.report_newer_rules(summary.version, &sender.vm, sender.link, effects);
            self.domains[i].add_contact(sender.clone());
        }
        let link = sender.map(|s| s.link);
        let delegate_changed = self.domains[i].remote_delegate != link;
        if self.apply_summary(now, &summary) {
            let keep_sender = delegate_changed || !summary.contacts.is_empty();
            self.domains[i].pending_relay = Some(Summary {
                sender: summary.sender.filter(|_| keep_sender),
                hint: None,
                version: 0,
                ..summary
            });
        }
    }

    /// Applies a summary and returns true if it is newer than the latest one.
    pub(crate) fn apply_summary(&mut self, now: Time, summary: &Summary) -> bool {
        let i = self.domain_index(now, &summary.domain);
        i.is_some_and(|i| self.domains[i].apply(now, summary))
    }

    /// Emits an effect if another VM has newer rules.
    pub(crate) fn report_newer_rules(
        &self,
        version: u64,
        vm: &VmId,
        link: SocketAddr,
        effects: &mut Vec<Effect>,
    ) {
        if version > self.version {
            effects.push(Effect::NewerRules {
                version,
                vm: vm.clone(),
                link,
            });
        }
    }
}
