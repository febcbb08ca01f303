//! Heartbeats to the control VMs, and the state that they carry.

use crate::{
    Effect, Fleet, NodeInfo, Role, Stage,
    fleet::send,
    members::list_digest,
    message::{Body, Heartbeat, ShortHeartbeat},
};
use pimento_core::{Time, hash};
use std::net::SocketAddr;

impl Fleet {
    /// Replaces the seed addresses. Processes that are known already stay
    /// known.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.config.seeds = seeds;
    }

    /// Sets the share of this VM's link bandwidth that requests use, in
    /// percent. The next heartbeat carries it to other processes.
    pub const fn set_load(&mut self, percent: u32) {
        self.load = percent;
    }

    /// Sets the lifecycle stage of this process and sends it to the control
    /// VMs.
    pub fn set_stage(&mut self, now: Time, stage: Stage) -> Vec<Effect> {
        self.config.local.stage = stage as i32;
        if stage == Stage::Gone {
            let leave = Body::Leave(self.config.local.incarnation);
            let addresses = self.control_addresses();
            return addresses.map(|to| send(to, leave.clone())).collect();
        }
        let mut effects = self.heartbeats(now);
        effects.push(Effect::ViewChanged);
        effects
    }

    /// The control VM that this process follows, which means that it compares
    /// its state with it: the nearest live one.
    pub(crate) fn followed_control(&self, now: Time) -> Option<SocketAddr> {
        let controls = self.live_nodes(now).filter(|n| n.has_role(Role::Control));
        let nearest = controls.min_by_key(|n| self.distance(&self.config.local, &n.info));
        nearest.map(|n| n.address)
    }

    /// The order in which a process follows control VMs, nearest first.
    pub(crate) fn distance(&self, process: &NodeInfo, control: &NodeInfo) -> (bool, bool, u64) {
        let region = |info: &NodeInfo| self.config.region(&info.domain);
        let score = hash::rendezvous_score(&process.address, &control.address);
        (
            process.domain != control.domain,
            region(process) != region(control),
            score,
        )
    }

    /// Whether this control VM is the one that a process would follow next: at
    /// most one other that is alive is nearer to it.
    pub(crate) fn is_next_control(&self, now: Time, process: &NodeInfo) -> bool {
        let own_distance = self.distance(process, &self.config.local);
        let controls = self.live_nodes(now).filter(|n| n.has_role(Role::Control));
        let nearer = controls.filter(|n| self.distance(process, &n.info) < own_distance);
        nearer.count() <= 1
    }

    /// The addresses of all other control VMs that are known, alive or not, and
    /// of the seeds.
    pub(crate) fn control_addresses(&self) -> impl Iterator<Item = SocketAddr> + use<> {
        let known = self.members.with_role(Role::Control).map(|n| n.address);
        let local = self.config.local.socket_addr();
        let mut all: Vec<_> = known.chain(self.config.seeds.iter().copied()).collect();
        all.sort();
        all.dedup();
        all.into_iter().filter(move |a| Some(*a) != local)
    }

    /// The heartbeats to all control VMs: a full one to the followed control
    /// VM, short ones to most others.
    pub(crate) fn heartbeats(&mut self, now: Time) -> Vec<Effect> {
        self.heartbeat_sequence += 1;
        let is_control = self.config.local.role == Role::Control as i32;
        let followed = self.followed_control(now).or_else(|| self.next_control());
        let messages = self.control_addresses().map(|to| {
            // A control VM of the local failure domain is followed again as
            // soon as it is back.
            if is_control || followed == Some(to) || self.is_in_local_domain(&to) {
                return self.full_heartbeat(to);
            }
            let heartbeat = ShortHeartbeat {
                incarnation: self.config.local.incarnation,
                stage: self.config.local.stage,
                revision: self.catalog.revision(),
                load: self.load,
                sequence: self.heartbeat_sequence,
            };
            send(to, Body::ShortHeartbeat(heartbeat))
        });
        messages.collect()
    }

    /// Selects control VMs round-robin while none is followed. If all were
    /// asked at once, all would reply with the full state, of which one copy is
    /// enough.
    pub(crate) fn next_control(&mut self) -> Option<SocketAddr> {
        let all: Vec<_> = self.control_addresses().collect();
        self.rotation += 1;
        all.get(self.rotation % all.len().max(1)).copied()
    }

    /// Whether a process is known to be in the failure domain of this one.
    pub(crate) fn is_in_local_domain(&self, address: &SocketAddr) -> bool {
        let node = self.members.get(address);
        node.is_some_and(|n| n.info.domain == self.config.local.domain)
    }

    /// A full heartbeat, with the digests of all state that this process has.
    pub(crate) fn full_heartbeat(&self, to: SocketAddr) -> Effect {
        let heartbeat = Heartbeat {
            info: self.config.local.clone(),
            revision: self.catalog.revision(),
            load: self.load,
            buckets: self.registry.bucket_digests().to_vec(),
            list_digest: match self.config.local.role() {
                Role::Entry => self.list_digest,
                Role::Control => list_digest(&self.control_list()),
            },
            sequence: self.heartbeat_sequence,
            verdicts: self.judge.digest(),
        };
        send(to, Body::Heartbeat(heartbeat))
    }

    /// Becomes ready once this process has the state that it needs to serve.
    pub(crate) fn update_readiness(&mut self) -> Vec<Effect> {
        let is_starting = self.config.local.stage == Stage::Starting as i32;
        let has_items = self.catalog.revision() > 0;
        let is_entry = self.config.local.role == Role::Entry as i32;
        if is_starting && (!is_entry || (has_items && self.in_sync && self.list_digest != 0)) {
            self.config.local.stage = Stage::Ready as i32;
            return vec![Effect::ViewChanged];
        }
        Vec::new()
    }

    /// The live entry VMs and control VMs, as this control VM knows them.
    pub(crate) fn member_list(&self, now: Time) -> Vec<NodeInfo> {
        let mut nodes: Vec<_> = self.live_nodes(now).map(|n| n.info.clone()).collect();
        nodes.push(self.config.local.clone());
        nodes
    }

    /// All control VMs that this one knows, since others may lack some of them.
    pub(crate) fn control_list(&self) -> Vec<NodeInfo> {
        let others = self
            .members
            .with_role(Role::Control)
            .map(|n| n.info.clone());
        let mut nodes: Vec<_> = others.collect();
        nodes.push(self.config.local.clone());
        nodes
    }
}
