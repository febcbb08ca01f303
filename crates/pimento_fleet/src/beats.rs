//! Whom a process tells that it lives, and what it has.

use crate::{
    Effect, Fleet, NodeInfo, Role, Stage,
    fleet::send,
    members::digest,
    message::{Alive, Beat, Body},
};
use pimento_core::{Time, hash};
use std::net::SocketAddr;

impl Fleet {
    /// Changes the settings; the processes known stay known.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.config.seeds = seeds;
    }

    /// Notes the share of this VM's link that requests take, in percent; the
    /// others are told of it when they are next told that this process lives.
    pub const fn set_load(&mut self, percent: u32) {
        self.load = percent;
    }

    /// Notes how far this process has come and tells the others.
    pub fn set_stage(&mut self, now: Time, stage: Stage) -> Vec<Effect> {
        self.config.local.stage = stage as i32;
        if stage == Stage::Gone {
            let bye = Body::Bye(self.config.local.incarnation);
            let controls = self.controls();
            return controls.map(|to| send(to, bye.clone())).collect();
        }
        let mut effects = self.beats(now);
        effects.push(Effect::ViewChanged);
        effects
    }

    /// The control VM that this process compares what it has with: the nearest
    /// one that lives.
    pub(crate) fn primary(&self, now: Time) -> Option<SocketAddr> {
        let domain = &self.config.local.domain;
        let region = self.config.region(domain);
        let me = self.config.local.address.as_str();
        let live = self.alive(now).filter(|n| n.is(Role::Control));
        let nearest = live.min_by_key(|n| {
            let near = n.info.domain == *domain;
            let regional = self.config.region(&n.info.domain) == region;
            (!near, !regional, hash::weight(me, &n.info.address))
        });
        nearest.map(|n| n.address)
    }

    /// The other control VMs that are known, alive or not, and the seeds.
    pub(crate) fn controls(&self) -> impl Iterator<Item = SocketAddr> + use<> {
        let known = self.members.of(Role::Control).map(|n| n.address);
        let me = self.config.local.socket_addr();
        let mut all: Vec<_> = known.chain(self.config.seeds.iter().copied()).collect();
        all.sort();
        all.dedup();
        all.into_iter().filter(move |a| Some(*a) != me)
    }

    /// Shows the control VMs that this process lives.
    pub(crate) fn beats(&mut self, now: Time) -> Vec<Effect> {
        let control = self.config.local.role == Role::Control as i32;
        let followed = self.primary(now).or_else(|| self.next_control());
        let beats = self.controls().map(|to| {
            // One of the own domain is followed again once it is back.
            if control || followed == Some(to) || self.is_near(&to) {
                return self.full_beat(to);
            }
            let alive = Alive {
                process: self.config.local.incarnation,
                stage: self.config.local.stage,
                revision: self.catalog.revision(),
                load: self.load,
            };
            send(to, Body::Alive(alive))
        });
        beats.collect()
    }

    /// The control VMs in turn, while none is followed: if all were asked, all
    /// would answer with what only one answer is needed of.
    pub(crate) fn next_control(&mut self) -> Option<SocketAddr> {
        let all: Vec<_> = self.controls().collect();
        self.turn += 1;
        all.get(self.turn % all.len().max(1)).copied()
    }

    /// Whether a process is known to be in this one's failure domain.
    pub(crate) fn is_near(&self, address: &SocketAddr) -> bool {
        let node = self.members.get(address);
        node.is_some_and(|n| n.info.domain == self.config.local.domain)
    }

    /// Shows a control VM all that this process has.
    pub(crate) fn full_beat(&self, to: SocketAddr) -> Effect {
        let beat = Beat {
            info: self.config.local.clone(),
            revision: self.catalog.revision(),
            load: self.load,
            buckets: self.registry.bucket_digests().to_vec(),
            roster: match self.config.local.role() {
                Role::Entry => self.roster,
                Role::Control => digest(&self.control_nodes()),
            },
        };
        send(to, Body::Beat(beat))
    }

    /// Serves once enough is known.
    pub(crate) fn become_ready(&mut self) -> Vec<Effect> {
        let starting = self.config.local.stage == Stage::Starting as i32;
        let known = self.catalog.revision() > 0;
        let entry = self.config.local.role == Role::Entry as i32;
        if starting && (!entry || (known && self.level && self.roster != 0)) {
            self.config.local.stage = Stage::Ready as i32;
            return vec![Effect::ViewChanged];
        }
        Vec::new()
    }

    /// The entry VMs and control VMs as this control VM hears them.
    pub(crate) fn roster_nodes(&self, now: Time) -> Vec<NodeInfo> {
        let mut nodes: Vec<_> = self.alive(now).map(|n| n.info.clone()).collect();
        nodes.push(self.config.local.clone());
        nodes
    }

    /// The control VMs that this one knows, as others may lack some of them.
    pub(crate) fn control_nodes(&self) -> Vec<NodeInfo> {
        let others = self.members.of(Role::Control).map(|n| n.info.clone());
        let mut nodes: Vec<_> = others.collect();
        nodes.push(self.config.local.clone());
        nodes
    }
}
