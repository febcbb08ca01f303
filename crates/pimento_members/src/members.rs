//! The state of a member and its clockwork.

use crate::{
    Body, Config, Domain, Effect, Info, Leave, Message, Named, Pace, Peer, PeerState, ServiceLoad,
    load,
};
use pimento_core::hash;
use pimento_core::{DomainId, Time, VmId};
use rand::{SeedableRng, rngs::SmallRng};
use std::{net::SocketAddr, sync::Arc};

/// The most VMs of the failure domain that are kept.
pub(crate) const MAX_PEERS: usize = 512;

/// The most other failure domains that are kept.
pub(crate) const MAX_DOMAINS: usize = 512;

/// The contacts of each other domain that hear of a planned stop, so that one
/// lost message does not matter.
const RELAYS: usize = 2;

/// One VM's view of its failure domain and of the others.
#[derive(Debug)]
pub struct Members {
    pub(crate) me: Info,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) pace: Pace,
    pub(crate) rng: SmallRng,
    pub(crate) started: Time,
    pub(crate) left: bool,
    pub(crate) version: u64,
    /// Ascending by service.
    pub(crate) loads: Vec<ServiceLoad>,
    pub(crate) shape: u32,
    /// Ascending by VM.
    pub(crate) peers: Vec<Peer>,
    /// Ascending by domain.
    pub(crate) domains: Vec<Domain>,
    /// Whether the live VMs or the domains have changed.
    pub(crate) stale: bool,
    /// The hash of the names of the live VMs.
    pub(crate) digest: u32,
    pub(crate) rounds: Rounds,
    pub(crate) vouched: Vec<Named>,
    pub(crate) join: Join,
}

/// The rounds of heartbeats.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    /// When the next round is due.
    pub due: Time,
    /// When the last round was.
    pub last: Time,
    /// Whether the next round should not wait for its time.
    pub hurry: bool,
    /// The rounds so far.
    pub count: u32,
    /// How many of the next rounds carry the names in any case.
    pub names: u32,
}

/// The greetings.
#[derive(Debug, Default)]
pub(crate) struct Join {
    /// When silent VMs are greeted next.
    pub due: Time,
    /// Whether another VM has told this one what it knows.
    pub informed: bool,
    /// A VM whose heartbeat shows other live VMs than are known here.
    pub differs: Option<SocketAddr>,
    /// The addresses that are to be greeted.
    pub asks: Vec<SocketAddr>,
    /// The addresses that were greeted lately.
    pub asked: Vec<(Time, SocketAddr)>,
}

impl Members {
    /// A member that knows its seeds only.
    pub fn new(config: Config, now: Time, seed: u64) -> Self {
        Self {
            me: config.me,
            seeds: config.seeds,
            pace: config.pace,
            rng: SmallRng::seed_from_u64(seed),
            started: now,
            left: false,
            version: 0,
            loads: Vec::new(),
            shape: load::shape(&[]),
            peers: Vec::new(),
            domains: Vec::new(),
            stale: true,
            digest: 0,
            rounds: Rounds::default(),
            vouched: Vec::new(),
            join: Join::default(),
        }
    }

    /// Does what the time calls for; the shell calls it a few times a second.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.left {
            return effects;
        }
        self.check_silence(now, &mut effects);
        self.refresh();
        self.greet(now, &mut effects);
        self.send_beats(now, &mut effects);
        self.send_summaries(now, &mut effects);
        effects
    }

    /// Takes a message of another member, perhaps a late or repeated one.
    pub fn receive(&mut self, now: Time, message: Message) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.left {
            return effects;
        }
        match message.body {
            Some(Body::Beat(beat)) => self.on_beat(now, &beat, &mut effects),
            Some(Body::Hello(hello)) => self.on_hello(now, &hello, &mut effects),
            Some(Body::Leave(leave)) => self.on_leave(now, &leave, &mut effects),
            Some(Body::Summary(summary)) => self.on_summary(now, summary, &mut effects),
            None => {}
        }
        effects
    }

    /// Tells all failure domains of a planned stop; nothing is sent afterwards.
    ///
    /// Its own domain hears of it from this VM, and each other domain through a
    /// contact, so that look-ups stop naming the VM at once everywhere.
    pub fn leave(&mut self, _now: Time) -> Vec<Effect> {
        self.left = true;
        let mut leave = Leave {
            vm: self.me.vm.to_string(),
            incarnation: self.me.incarnation,
            relay: false,
        };
        let mut effects = self.to_live(&Body::Leave(leave.clone()).into_shared());
        leave.relay = true;
        let message = Body::Leave(leave).into_shared();
        let contacts = self
            .domains
            .iter()
            .flat_map(|d| d.contacts.iter().take(RELAYS));
        effects.extend(contacts.map(|contact| Effect::Send {
            to: contact.link,
            message: Arc::clone(&message),
        }));
        effects
    }

    /// Sets the version of this VM's rules; the others hear of it at once.
    pub fn set_version(&mut self, version: u64) {
        if version > self.version {
            self.version = version;
            self.rounds.hurry = true;
        }
    }

    /// Sets what this VM's held slots carry.
    pub fn set_load(&mut self, mut loads: Vec<ServiceLoad>) {
        /// Enough for one loss in a row not to matter.
        const REPEATS: u32 = 3;
        loads.sort_by(|a, b| a.service.cmp(&b.service));
        let shape = load::shape(&loads);
        if shape != self.shape {
            self.shape = shape;
            self.rounds.names = REPEATS;
        }
        self.loads = loads;
    }

    /// This VM.
    pub fn me(&self) -> &Info {
        &self.me
    }

    /// The other VMs of this failure domain, ascending by name.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// The other failure domains, ascending by name.
    pub fn domains(&self) -> &[Domain] {
        &self.domains
    }

    /// One VM of this failure domain.
    pub fn peer(&self, vm: &str) -> Option<&Peer> {
        Some(&self.peers[self.find_peer(vm).ok()?])
    }

    /// One other failure domain.
    pub fn domain(&self, id: &str) -> Option<&Domain> {
        Some(&self.domains[self.find_domain(id).ok()?])
    }

    /// The other VMs of this failure domain that count as live.
    pub fn live(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(|p| p.is_live())
    }

    pub(crate) fn find_peer(&self, vm: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|p| p.info.vm.as_str().cmp(vm))
    }

    pub(crate) fn find_domain(&self, id: &str) -> Result<usize, usize> {
        self.domains.binary_search_by(|d| d.id.as_str().cmp(id))
    }

    /// The index of a domain, which is created if there is room.
    pub(crate) fn domain_index(&mut self, now: Time, id: &str) -> Option<usize> {
        if id == self.me.domain.as_str() {
            return None;
        }
        match self.find_domain(id) {
            Ok(i) => Some(i),
            Err(_) if self.domains.len() >= MAX_DOMAINS => None,
            Err(i) => {
                let id: DomainId = id.parse().ok()?;
                self.domains.insert(i, Domain::new(now, id));
                self.stale = true;
                Some(i)
            }
        }
    }

    /// Works out what follows from the live VMs and the known domains.
    ///
    /// The domains are dealt out to the live VMs in the order of their names,
    /// so that each VM is the delegate for about as many. VMs that disagree on
    /// who lives may both be the delegate for a domain or, for a moment,
    /// neither; the next interval makes up for it.
    fn refresh(&mut self) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        let peers = self.peers.iter().filter(|p| p.is_live());
        let mut vms: Vec<&VmId> = peers.map(|p| &p.info.vm).collect();
        let rank = vms.partition_point(|vm| **vm < self.me.vm);
        vms.insert(rank, &self.me.vm);
        for (place, domain) in self.domains.iter_mut().enumerate() {
            domain.set_mine(place % vms.len() == rank);
        }
        let vms = vms.iter().map(|vm| vm.as_bytes());
        let domains = self.domains.iter().map(|d| d.id.as_bytes());
        self.digest = hash::fnv(vms.chain(domains)) as u32;
    }

    /// Changes the state of a VM and says so if that matters to others.
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
        self.stale |= was_live != peer.is_live();
        match state {
            PeerState::Alive if !was_live => effects.push(Effect::Alive(vm)),
            PeerState::Dead => effects.push(Effect::Dead(vm)),
            PeerState::Left => effects.push(Effect::Left(vm)),
            _ => {}
        }
    }

    /// A message to each live VM of the failure domain.
    pub(crate) fn to_live(&self, message: &Arc<Message>) -> Vec<Effect> {
        let send = |peer: &Peer| Effect::Send {
            to: peer.info.link,
            message: Arc::clone(message),
        };
        self.live().map(send).collect()
    }
}
