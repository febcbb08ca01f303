//! What a message changes.

use crate::{
    Effect, Fleet, NodeInfo, Role,
    fleet::send,
    members::digest,
    message::{Alive, Beat, Body, Items, Message, Pong, Roster, Targets, VerdictKind},
};
use bytes::Bytes;
use pimento_core::Time;
use pimento_registry::{MergeOutcome, Target};
use prost::Message as _;
use std::{net::SocketAddr, sync::Arc};

impl Fleet {
    /// Takes a datagram; one that can't be read is dropped.
    pub fn receive(&mut self, now: Time, from: SocketAddr, datagram: Bytes) -> Vec<Effect> {
        let Some(whole) = self.assembly.take(now, from, datagram) else {
            return Vec::new();
        };
        let Some(body) = Message::decode(whole).ok().and_then(|m| m.body) else {
            return Vec::new();
        };
        if !away(&body) {
            self.suspects.clear(&from);
        }
        match body {
            Body::Beat(beat) => self.take_beat(now, from, &beat),
            Body::Alive(alive) => self.take_sign(now, from, &alive),
            Body::Unknown(_) => vec![self.full_beat(from)],
            Body::Pong(pong) => self.take_pong(now, from, &pong),
            Body::Roster(roster) => self.take_roster(now, from, &roster),
            Body::Items(items) => self.merge_items(now, items),
            Body::Targets(targets) => self.compare(now, from, &targets),
            Body::Announce(news) => {
                let mut effects = self.take_targets(now, &news.targets);
                if !effects.is_empty() && self.config.local.role == Role::Control as i32 {
                    self.untold.extend(news.targets);
                }
                effects.push(send(from, Body::Heard(news.number)));
                effects
            }
            Body::Heard(number) => {
                self.spread.heard(&from, number);
                self.settle_news()
            }
            Body::Settled(target) => {
                let effects = self.take_targets(now, std::slice::from_ref(&target));
                self.confirm(&target);
                effects
            }
            Body::Ask(ask) => self.take_ask(now, from, &ask),
            Body::Verdict(verdict) => self.take_verdict(now, from, verdict),
            Body::Done(done) => self.take_back(now, &done),
            Body::Bye(process) => {
                self.members.leave(&from, process);
                vec![Effect::ViewChanged]
            }
        }
    }

    fn take_beat(&mut self, now: Time, from: SocketAddr, beat: &Beat) -> Vec<Effect> {
        let changed = self.members.hear(now, from, &beat.info);
        let full = !beat.buckets.is_empty();
        let differing = self.differing(&beat.buckets);
        let level = differing.is_empty();
        let mut stuck = Vec::new();
        if let Some(node) = self.members.get_mut(&from) {
            node.reach(now, beat.revision);
            node.load = beat.load;
            if full {
                node.follows = Some(now);
                stuck = node.stuck(&beat.buckets, differing);
            }
        }
        let mut effects = Vec::new();
        if changed {
            effects.push(Effect::ViewChanged);
        }
        let mut roster = 0;
        if full {
            let nodes = match beat.info.role() {
                Role::Entry => self.roster_nodes(now),
                Role::Control => self.control_nodes(),
            };
            roster = digest(&nodes);
            if beat.roster != roster {
                effects.push(send(from, Body::Roster(Roster { nodes })));
            }
        }
        let pong = Pong {
            info: self.config.local.clone(),
            level,
            roster,
        };
        effects.push(send(from, Body::Pong(pong)));
        if beat.info.role() == Role::Entry {
            effects.extend(self.items_for(now, from, beat.revision));
        }
        if !stuck.is_empty() {
            effects.push(self.targets_for(now, from, stuck));
        }
        effects
    }

    fn take_sign(&mut self, now: Time, from: SocketAddr, alive: &Alive) -> Vec<Effect> {
        if !self.members.alive(now, &from, alive.process) {
            return vec![send(from, Body::Unknown(true))];
        }
        let mut effects = Vec::new();
        if let Some(node) = self.members.get_mut(&from) {
            node.reach(now, alive.revision);
            node.load = alive.load;
            // It follows another control VM by now.
            node.follows = None;
            if node.info.stage != alive.stage {
                node.info.stage = alive.stage;
                effects.push(Effect::ViewChanged);
            }
        }
        if self.lags(now, from) {
            // The control VM that the sender follows lags behind too.
            effects.extend(self.items_for(now, from, alive.revision));
        }
        effects
    }

    /// The parts of the targets in which a process differs from this one.
    fn differing(&self, buckets: &[u32]) -> Vec<u32> {
        let own = self
            .registry
            .bucket_digests()
            .iter()
            .zip(buckets)
            .enumerate();
        let differing = own.filter(|(_, (own, other))| own != other);
        differing.map(|(i, _)| i as u32).collect()
    }

    fn targets_for(&self, now: Time, to: SocketAddr, buckets: Vec<u32>) -> Effect {
        let inside = buckets.iter();
        let targets = inside.flat_map(|b| self.registry.bucket_targets(now, *b as usize));
        let targets = targets.collect();
        send(to, Body::Targets(Targets { buckets, targets }))
    }

    fn take_pong(&mut self, now: Time, from: SocketAddr, pong: &Pong) -> Vec<Effect> {
        let changed = self.members.hear(now, from, &pong.info);
        let entry = self.config.local.role == Role::Entry as i32;
        if pong.roster != 0 && entry {
            self.level |= pong.level;
            if pong.roster == self.roster {
                self.members.confirm(now);
            }
        }
        let mut effects = self.become_ready();
        if changed {
            effects.push(Effect::ViewChanged);
        }
        effects
    }

    fn take_roster(&mut self, now: Time, from: SocketAddr, roster: &Roster) -> Vec<Effect> {
        let me = self.config.local.socket_addr();
        let read = |info: &NodeInfo| Some((info.socket_addr()?, info.clone()));
        let nodes = roster.nodes.iter().filter_map(read);
        let others: Vec<_> = nodes.filter(|(address, _)| Some(*address) != me).collect();
        if self.config.local.role == Role::Control as i32 {
            // What a control VM hears itself goes first; others only lead it
            // to control VMs that it doesn't know.
            for (address, info) in others {
                let control = info.role == Role::Control as i32;
                if control && self.members.get(&address).is_none() {
                    self.members.hear(now, address, &info);
                }
            }
            return Vec::new();
        }
        self.roster = digest(&roster.nodes);
        // Whether a control VM can be reached only this process can tell.
        let known = |a: &SocketAddr| self.members.get(a).is_some_and(|n| n.is(Role::Control));
        let news = others.into_iter().filter(|(address, _)| !known(address));
        let news: Vec<_> = news.collect();
        for (address, info) in &news {
            let known = self.members.get(address);
            if known.is_some_and(|n| n.info != *info) {
                // It has started anew, or serves now.
                self.suspects.clear(address);
            }
        }
        self.members.replace(now, &news);
        self.members.hear_again(now, &from);
        let mut effects = self.become_ready();
        effects.push(Effect::ViewChanged);
        effects
    }

    fn merge_items(&mut self, now: Time, items: Items) -> Vec<Effect> {
        if self.config.local.role == Role::Control as i32 {
            return Vec::new();
        }
        let catalog = Arc::make_mut(&mut self.catalog);
        catalog.merge(items.held);
        if items.from <= catalog.revision() {
            catalog.advance_revision(items.to);
        }
        let mut effects = self.refresh(now);
        effects.extend(self.become_ready());
        effects.push(Effect::ViewChanged);
        effects
    }

    /// Takes the targets of differing parts and answers with what the sender
    /// lacks.
    fn compare(&mut self, now: Time, from: SocketAddr, message: &Targets) -> Vec<Effect> {
        let mut effects = self.take_targets(now, &message.targets);
        if !message.buckets.is_empty() {
            self.level = true;
            effects.extend(self.become_ready());
        }
        let inside = message.buckets.iter();
        let own = inside.flat_map(|b| self.registry.bucket_targets(now, *b as usize));
        let sent = |t: &Target| message.targets.iter().any(|other| same(other, t));
        let lacking: Vec<_> = own.filter(|t| !sent(t)).collect();
        if !lacking.is_empty() {
            let targets = Targets {
                buckets: Vec::new(),
                targets: lacking,
            };
            effects.push(send(from, Body::Targets(targets)));
        }
        effects
    }

    fn take_targets(&mut self, now: Time, targets: &[Target]) -> Vec<Effect> {
        let mut changed = false;
        for target in targets {
            changed |= self.registry.merge_report(now, target) == MergeOutcome::Changed;
        }
        if !changed {
            return Vec::new();
        }
        let mut effects = self.apply_changes(now);
        effects.push(Effect::ViewChanged);
        effects
    }
}

/// Whether a message says that its sender grants no places.
const fn away(body: &Body) -> bool {
    let Body::Verdict(verdict) = body else {
        return false;
    };
    matches!(verdict.kind, Some(VerdictKind::Away(_)))
}

/// Whether two descriptions of a lifetime say the same.
fn same(a: &Target, b: &Target) -> bool {
    a.id == b.id && a.incarnation == b.incarnation && a.stage == b.stage && a.slots == b.slots
}
