//! The state of a member and its public interface.

use crate::{
    Body, Config, Domain, Effect, Leave, Message, Peer, PeerState, ServiceLoad, Timing,
    VmIncarnation, VmInfo, load,
};
use pimento_core::hash;
use pimento_core::{DomainId, Time, VmId};
use rand::{SeedableRng, rngs::SmallRng};
use std::{net::SocketAddr, sync::Arc};

/// The maximum number of VMs of this failure domain that are tracked.
pub(crate) const MAX_PEERS: usize = 512;

/// The maximum number of other failure domains that are tracked.
pub(crate) const MAX_DOMAINS: usize = 512;

/// The number of contacts per remote domain that receive a leave message, so
/// that one may be lost.
const LEAVE_RELAYS: usize = 2;

/// One VM's view of its own failure domain and of the others.
#[derive(Debug)]
pub struct Members {
    pub(crate) this_vm: VmInfo,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) timing: Timing,
    pub(crate) rng: SmallRng,
    pub(crate) started: Time,
    pub(crate) left: bool,
    pub(crate) version: u64,
    /// In ascending order of service.
    pub(crate) loads: Vec<ServiceLoad>,
    pub(crate) layout_hash: u32,
    /// In ascending order of VM name.
    pub(crate) peers: Vec<Peer>,
    /// In ascending order of domain name.
    pub(crate) domains: Vec<Domain>,
    /// Whether the set of live VMs or of domains has changed since the last update
    /// of the delegates and of the digest.
    pub(crate) view_changed: bool,
    /// The hash of the names of the live VMs and the known domains. Peers compare
    /// it to find differences between their views.
    pub(crate) view_digest: u32,
    pub(crate) schedule: HeartbeatSchedule,
    pub(crate) confirmed_alive: Vec<VmIncarnation>,
    pub(crate) discovery: Discovery,
}

/// When heartbeats are sent and which of them include names.
#[derive(Debug, Default)]
pub(crate) struct HeartbeatSchedule {
    /// When the next round is due.
    pub next_at: Time,
    /// When the last round was sent.
    pub last_at: Time,
    /// Whether the next round is sent before it is due.
    pub send_early: bool,
    /// The number of rounds so far.
    pub round_count: u32,
    /// How many of the next rounds include names regardless of the round count.
    pub named_rounds: u32,
}

/// The state of probes and hello messages.
#[derive(Debug, Default)]
pub(crate) struct Discovery {
    /// When silent addresses are probed next.
    pub next_probe: Time,
    /// Whether a VM of this domain has sent its summaries of other domains.
    pub has_summaries: bool,
    /// The link address of the last VM whose heartbeat had another view digest, so
    /// that it may know VMs or domains that this one doesn't.
    pub differing_peer: Option<SocketAddr>,
    /// The addresses that a hello message will be sent to.
    pub queued_hellos: Vec<SocketAddr>,
    /// The addresses that a hello message was queued for, and when.
    pub recent_hellos: Vec<(Time, SocketAddr)>,
}

impl Members {
    /// Creates a member that only knows its seeds. `seed` initializes its random
    /// number generator.
    pub fn new(config: Config, now: Time, seed: u64) -> Self {
        Self {
            this_vm: config.this_vm,
            seeds: config.seeds,
            timing: config.timing,
            rng: SmallRng::seed_from_u64(seed),
            started: now,
            left: false,
            version: 0,
            loads: Vec::new(),
            layout_hash: load::layout_hash(&[]),
            peers: Vec::new(),
            domains: Vec::new(),
            view_changed: true,
            view_digest: 0,
            schedule: HeartbeatSchedule::default(),
            confirmed_alive: Vec::new(),
            discovery: Discovery::default(),
        }
    }

    /// Runs timeouts and sends messages that are due. Must be called several times
    /// per second.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.left {
            return effects;
        }
        self.detect_failures(now, &mut effects);
        self.update_view();
        self.send_hellos(now, &mut effects);
        self.send_heartbeats(now, &mut effects);
        self.send_summaries(now, &mut effects);
        effects
    }

    /// Handles a message from another member, which may be late or a duplicate.
    pub fn receive(&mut self, now: Time, message: Message) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.left {
            return effects;
        }
        match message.body {
            Some(Body::Heartbeat(body)) => self.handle_heartbeat(now, &body, &mut effects),
            Some(Body::Hello(hello)) => self.handle_hello(now, &hello, &mut effects),
            Some(Body::Leave(leave)) => self.handle_leave(now, &leave, &mut effects),
            Some(Body::Summary(summary)) => self.handle_summary(now, summary, &mut effects),
            None => {}
        }
        effects
    }

    /// Announces a graceful shutdown to all failure domains; nothing is sent afterwards.
    ///
    /// This VM notifies its own domain directly, and each other domain through
    /// contacts that relay the message, so that look-ups everywhere stop returning
    /// the VM at once.
    pub fn leave(&mut self, _now: Time) -> Vec<Effect> {
        self.left = true;
        let mut leave = Leave {
            vm: self.this_vm.vm.to_string(),
            incarnation: self.this_vm.incarnation,
            relay: false,
        };
        let mut effects = self.broadcast(&Body::Leave(leave.clone()).into_shared());
        leave.relay = true;
        let message = Body::Leave(leave).into_shared();
        let contacts = self
            .domains
            .iter()
            .flat_map(|d| d.contacts.iter().take(LEAVE_RELAYS));
        effects.extend(contacts.map(|contact| Effect::Send {
            to: contact.link,
            message: Arc::clone(&message),
        }));
        effects
    }

    /// Sets the version of this VM's rules. A newer version triggers an early
    /// heartbeat.
    pub fn set_version(&mut self, version: u64) {
        if version > self.version {
            self.version = version;
            self.schedule.send_early = true;
        }
    }

    /// Sets the loads of this VM. A change of services or slot counts adds names to
    /// the next heartbeats.
    pub fn set_load(&mut self, mut loads: Vec<ServiceLoad>) {
        /// With three rounds, the loss of a heartbeat does no harm.
        const NAMED_ROUNDS: u32 = 3;
        loads.sort_by(|a, b| a.service.cmp(&b.service));
        let layout_hash = load::layout_hash(&loads);
        if layout_hash != self.layout_hash {
            self.layout_hash = layout_hash;
            self.schedule.named_rounds = NAMED_ROUNDS;
        }
        self.loads = loads;
    }

    /// The identity and the addresses of this VM.
    pub fn this_vm(&self) -> &VmInfo {
        &self.this_vm
    }

    /// The other VMs of this failure domain, in ascending order of name.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// The other failure domains, in ascending order of name.
    pub fn domains(&self) -> &[Domain] {
        &self.domains
    }

    /// The VM of this failure domain with this name.
    pub fn peer(&self, vm: &str) -> Option<&Peer> {
        Some(&self.peers[self.find_peer(vm).ok()?])
    }

    /// The other failure domain with this name.
    pub fn domain(&self, id: &str) -> Option<&Domain> {
        Some(&self.domains[self.find_domain(id).ok()?])
    }

    /// The other VMs of this failure domain that count as live, suspected ones
    /// included.
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(|p| p.is_live())
    }

    pub(crate) fn find_peer(&self, vm: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|p| p.info.vm.as_str().cmp(vm))
    }

    pub(crate) fn find_domain(&self, id: &str) -> Result<usize, usize> {
        self.domains.binary_search_by(|d| d.id.as_str().cmp(id))
    }

    /// Finds the index of a remote domain, and adds the domain if it is new and the
    /// limit allows it.
    pub(crate) fn domain_index(&mut self, now: Time, id: &str) -> Option<usize> {
        if id == self.this_vm.domain.as_str() {
            return None;
        }
        match self.find_domain(id) {
            Ok(i) => Some(i),
            Err(_) if self.domains.len() >= MAX_DOMAINS => None,
            Err(i) => {
                let id: DomainId = id.parse().ok()?;
                self.domains.insert(i, Domain::new(now, id));
                self.view_changed = true;
                Some(i)
            }
        }
    }

    /// Updates the delegates and the digest after a change of the live VMs or the
    /// known domains.
    ///
    /// The domains are assigned round-robin to the live VMs in the order of their
    /// names, so that each VM is the delegate for about the same number. While the
    /// views of two VMs differ, both or neither may be the delegate for a domain;
    /// the next interval makes up for a missed summary.
    fn update_view(&mut self) {
        if !std::mem::take(&mut self.view_changed) {
            return;
        }
        let peers = self.peers.iter().filter(|p| p.is_live());
        let mut vms: Vec<&VmId> = peers.map(|p| &p.info.vm).collect();
        let rank = vms.partition_point(|vm| **vm < self.this_vm.vm);
        vms.insert(rank, &self.this_vm.vm);
        for (index, domain) in self.domains.iter_mut().enumerate() {
            domain.set_delegate(index % vms.len() == rank);
        }
        let vms = vms.iter().map(|vm| vm.as_bytes());
        let domains = self.domains.iter().map(|d| d.id.as_bytes());
        self.view_digest = hash::fnv(vms.chain(domains)) as u32;
    }

    /// Changes the state of a VM, and reports the change unless it is internal to
    /// failure detection.
    pub(crate) fn set_state(
        &mut self,
        now: Time,
        i: usize,
        state: PeerState,
        effects: &mut Vec<Effect>,
    ) {
        let peer = &mut self.peers[i];
        let was_live = peer.is_live();
        peer.set_state(now, state);
        let vm: VmId = peer.info.vm.clone();
        self.view_changed |= was_live != peer.is_live();
        match state {
            PeerState::Alive if !was_live => effects.push(Effect::Alive(vm)),
            PeerState::Dead => effects.push(Effect::Dead(vm)),
            PeerState::Left => effects.push(Effect::Left(vm)),
            _ => {}
        }
    }

    /// Sends a message to each live VM of the failure domain.
    pub(crate) fn broadcast(&self, message: &Arc<Message>) -> Vec<Effect> {
        let send = |peer: &Peer| Effect::Send {
            to: peer.info.link,
            message: Arc::clone(message),
        };
        self.live().map(send).collect()
    }
}
