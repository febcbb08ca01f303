//! Handles messages from other processes.

use crate::{
    Effect, Fleet, NodeInfo, Role,
    fleet::send,
    members::list_digest,
    message::{
        Body, DecisionKind, Heartbeat, HeartbeatReply, Items, MemberList, Message, ShortHeartbeat,
        Targets,
    },
};
use bytes::Bytes;
use pimento_core::Time;
use pimento_registry::{MergeOutcome, Target};
use prost::Message as _;
use std::{net::SocketAddr, sync::Arc};

impl Fleet {
    /// Handles a datagram. One that does not decode is dropped.
    pub fn receive(&mut self, now: Time, from: SocketAddr, datagram: Bytes) -> Vec<Effect> {
        let Some(message) = self.reassembly.receive(now, from, datagram) else {
            return Vec::new();
        };
        let Some(body) = Message::decode(message).ok().and_then(|m| m.body) else {
            return Vec::new();
        };
        if !is_unavailable(&body) {
            self.suspects.clear(&from);
        }
        match body {
            Body::Heartbeat(heartbeat) => self.handle_heartbeat(now, from, &heartbeat),
            Body::ShortHeartbeat(heartbeat) => self.handle_short_heartbeat(now, from, &heartbeat),
            Body::UnknownProcess(_) => vec![self.full_heartbeat(from)],
            Body::HeartbeatReply(reply) => self.handle_heartbeat_reply(now, from, &reply),
            Body::MemberList(list) => self.handle_member_list(now, from, &list),
            Body::Items(items) => self.handle_items(now, from, items),
            Body::Targets(targets) => self.handle_targets(now, from, &targets),
            Body::TargetUpdate(update) => {
                let mut effects = self.merge_targets(now, &update.targets);
                if !effects.is_empty() && self.config.local.role == Role::Control as i32 {
                    self.pending_updates.extend(update.targets);
                }
                effects.push(send(from, Body::UpdateAck(update.update_id)));
                effects
            }
            Body::UpdateAck(update_id) => {
                self.broadcast.record_ack(&from, update_id);
                self.confirm_updates(now)
            }
            Body::UpdateConfirmed(target) => {
                let effects = self.merge_targets(now, std::slice::from_ref(&target));
                self.record_confirmed(&target);
                effects
            }
            Body::PermitRequest(request) => self.handle_permit_request(now, from, &request),
            Body::PermitDecision(decision) => self.handle_decision(now, from, decision),
            Body::Release(release) => self.handle_releases(now, &release),
            Body::RevisionReport(report) => {
                self.handle_revision_report(now, from, report);
                Vec::new()
            }
            Body::CrashReport(report) => self.handle_crash_report(now, from, &report),
            Body::CrashReportAck(id) => {
                self.crash_reports.record_ack(&from, id);
                Vec::new()
            }
            Body::Rulings(rulings) => self.handle_rulings(now, from, &rulings),
            Body::Leave(incarnation) => {
                self.members.remove(&from, incarnation);
                vec![Effect::ViewChanged]
            }
        }
    }

    fn handle_heartbeat(
        &mut self,
        now: Time,
        from: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> Vec<Effect> {
        let was_live = self.is_live(now, &from);
        let changed = self.members.observe(now, from, &heartbeat.info);
        if changed || !was_live {
            self.add_recipient(from);
        }
        let is_full = !heartbeat.buckets.is_empty();
        let differing = self.differing_buckets(&heartbeat.buckets);
        let in_sync = differing.is_empty();
        let mut stalled = Vec::new();
        if let Some(node) = self.members.get_mut(&from) {
            node.record_revision(now, heartbeat.revision);
            node.load = heartbeat.load;
            node.record_sequence(heartbeat.sequence);
            if is_full {
                node.last_sync = Some(now);
                stalled = node.stalled_buckets(now, &heartbeat.buckets, &differing);
            }
        }
        let mut effects = Vec::new();
        if changed {
            effects.push(Effect::ViewChanged);
        }
        let mut digest = 0;
        if is_full {
            let nodes = match heartbeat.info.role() {
                Role::Entry => self.member_list(now),
                Role::Control => self.control_list(),
            };
            digest = list_digest(&nodes);
            if heartbeat.list_digest != digest {
                effects.push(send(from, Body::MemberList(MemberList { nodes })));
            }
        }
        let reply = HeartbeatReply {
            info: self.config.local.clone(),
            in_sync,
            list_digest: digest,
        };
        effects.push(send(from, Body::HeartbeatReply(reply)));
        if heartbeat.info.role() == Role::Entry {
            effects.extend(self.deliver_items(now, from));
        }
        effects.extend(self.compare_verdicts(now, from, heartbeat.verdicts));
        if !stalled.is_empty() {
            effects.push(self.buckets_message(now, from, stalled));
        }
        effects
    }

    fn handle_short_heartbeat(
        &mut self,
        now: Time,
        from: SocketAddr,
        heartbeat: &ShortHeartbeat,
    ) -> Vec<Effect> {
        let was_live = self.is_live(now, &from);
        if !self.members.record_alive(now, &from, heartbeat.incarnation) {
            return vec![send(from, Body::UnknownProcess(true))];
        }
        if !was_live {
            self.add_recipient(from);
        }
        let mut effects = Vec::new();
        if let Some(node) = self.members.get_mut(&from) {
            node.record_revision(now, heartbeat.revision);
            node.load = heartbeat.load;
            node.record_sequence(heartbeat.sequence);
            // Short heartbeats mean that it follows another control VM now.
            node.last_sync = None;
            if node.info.stage != heartbeat.stage {
                node.info.stage = heartbeat.stage;
                effects.push(Effect::ViewChanged);
            }
        }
        // The control VM that the sender follows may lag behind as well.
        effects.extend(self.help_lagging(now, from));
        effects
    }

    /// The target buckets in which a process differs from this one.
    fn differing_buckets(&self, buckets: &[u32]) -> Vec<u32> {
        let pairs = self
            .registry
            .bucket_digests()
            .iter()
            .zip(buckets)
            .enumerate();
        let differing = pairs.filter(|(_, (local, other))| local != other);
        differing.map(|(i, _)| i as u32).collect()
    }

    fn buckets_message(&self, now: Time, to: SocketAddr, buckets: Vec<u32>) -> Effect {
        let numbers = buckets.iter();
        let targets = numbers.flat_map(|b| self.registry.bucket_targets(now, *b as usize));
        let targets = targets.collect();
        send(to, Body::Targets(Targets { buckets, targets }))
    }

    fn handle_heartbeat_reply(
        &mut self,
        now: Time,
        from: SocketAddr,
        reply: &HeartbeatReply,
    ) -> Vec<Effect> {
        let changed = self.members.observe(now, from, &reply.info);
        let is_entry = self.config.local.role == Role::Entry as i32;
        if reply.list_digest != 0 && is_entry {
            self.in_sync |= reply.in_sync;
            if reply.list_digest == self.list_digest {
                self.members.confirm_list(now);
            }
        }
        if changed && reply.info.role() == Role::Control {
            self.crash_reports.repeat_to(now, from);
        }
        let mut effects = self.update_readiness();
        if changed {
            effects.push(Effect::ViewChanged);
        }
        effects
    }

    fn handle_member_list(
        &mut self,
        now: Time,
        from: SocketAddr,
        list: &MemberList,
    ) -> Vec<Effect> {
        let local = self.config.local.socket_addr();
        let parse = |info: &NodeInfo| Some((info.socket_addr()?, info.clone()));
        let nodes = list.nodes.iter().filter_map(parse);
        let others: Vec<_> = nodes
            .filter(|(address, _)| Some(*address) != local)
            .collect();
        if self.config.local.role == Role::Control as i32 {
            // A control VM relies on the heartbeats that it receives itself. It
            // uses the lists of others only to discover control VMs that it
            // doesn't know.
            for (address, info) in others {
                let is_control = info.role == Role::Control as i32;
                if is_control && self.members.get(&address).is_none() {
                    self.members.observe(now, address, &info);
                }
            }
            return Vec::new();
        }
        self.list_digest = list_digest(&list.nodes);
        // Only this process itself can tell whether it reaches a control VM, so
        // the entries of known control VMs are ignored.
        let known = |a: &SocketAddr| {
            self.members
                .get(a)
                .is_some_and(|n| n.has_role(Role::Control))
        };
        let listed = others.into_iter().filter(|(address, _)| !known(address));
        let listed: Vec<_> = listed.collect();
        for (address, info) in &listed {
            let known = self.members.get(address);
            if known.is_some_and(|n| n.info != *info) {
                // It has restarted or become ready.
                self.suspects.clear(address);
            }
        }
        self.members.replace_list(now, &listed);
        self.members.record_heard(now, &from);
        let mut effects = self.update_readiness();
        effects.push(Effect::ViewChanged);
        effects
    }

    fn handle_items(&mut self, now: Time, from: SocketAddr, items: Items) -> Vec<Effect> {
        if self.config.local.role == Role::Control as i32 {
            return Vec::new();
        }
        self.items_sender = Some(from);
        if !self.items_senders.contains(&from) {
            self.items_senders.push(from);
        }
        let is_complete = self.partial_items.record(&items);
        let catalog = Arc::make_mut(&mut self.catalog);
        self.items_merged |= catalog.merge(items.changes);
        if !is_complete {
            // The next tick applies what has come by then.
            return Vec::new();
        }
        let previous = catalog.revision();
        let revision = self.item_ranges.record(previous, items.from, items.to);
        catalog.advance_revision(revision);
        if self.items_merged || revision != previous {
            self.apply_items(now)
        } else {
            Vec::new()
        }
    }

    /// Routes by the merged items from now on.
    pub(crate) fn apply_items(&mut self, now: Time) -> Vec<Effect> {
        self.items_merged = false;
        let mut effects = self.rebuild_routing(now);
        effects.extend(self.update_readiness());
        effects.push(Effect::ViewChanged);
        effects
    }

    /// Merges the targets of differing buckets and replies with those that the
    /// sender lacks.
    fn handle_targets(&mut self, now: Time, from: SocketAddr, message: &Targets) -> Vec<Effect> {
        let mut effects = self.merge_targets(now, &message.targets);
        if !message.buckets.is_empty() {
            self.in_sync = true;
            effects.extend(self.update_readiness());
        }
        let numbers = message.buckets.iter();
        let local = numbers.flat_map(|b| self.registry.bucket_targets(now, *b as usize));
        let is_known = |t: &Target| message.targets.iter().any(|other| is_same_state(other, t));
        let missing: Vec<_> = local.filter(|t| !is_known(t)).collect();
        if !missing.is_empty() {
            let targets = Targets {
                buckets: Vec::new(),
                targets: missing,
            };
            effects.push(send(from, Body::Targets(targets)));
        }
        effects
    }

    fn merge_targets(&mut self, now: Time, targets: &[Target]) -> Vec<Effect> {
        let mut changed = false;
        for target in targets {
            changed |= self.registry.merge_report(now, target) == MergeOutcome::Changed;
        }
        if !changed {
            return Vec::new();
        }
        let mut effects = self.apply_target_changes(now);
        effects.push(Effect::ViewChanged);
        effects
    }
}

/// Whether a message says that its sender grants no permits now.
const fn is_unavailable(body: &Body) -> bool {
    let Body::PermitDecision(decision) = body else {
        return false;
    };
    matches!(decision.kind, Some(DecisionKind::Unavailable(_)))
}

/// Whether two reports describe the same state of the same incarnation.
fn is_same_state(a: &Target, b: &Target) -> bool {
    a.id == b.id && a.incarnation == b.incarnation && a.stage == b.stage && a.slots == b.slots
}
