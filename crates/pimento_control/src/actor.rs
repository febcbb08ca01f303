//! The actor that carries messages, time and files to and from the core.

use crate::{
    CatalogChanged, ControlClient, RulesChanged, backup,
    disk::Disk,
    record::{self, Identity},
    waiters::{Late, Reader, Waiter},
};
use actix::prelude::*;
use anyhow::{Context as _, ensure};
use pimento_consensus::{Config, Effect, EntryKind, Raft, Write};
use pimento_core::{Time, VmId};
use pimento_link::{Channel, Links};
use pimento_log::{Event, Logger, event};
use pimento_rules::Rules;
use pimento_settings::ControlPeer;
use pimento_state::{State, items::Catalog};
use pimento_storage::{DataFolder, Disk as Files, Store, StoreError};
use prost::Message as _;
use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

/// How often the core is told the time.
const TICK: Duration = Duration::from_millis(25);

/// How often a VM that doesn't vote asks to join, and a leader looks for voters
/// to remove.
const JOIN: Duration = Duration::from_millis(500);

/// The shortest silence of a leader before an election in an open group, whose
/// users wait for the restart of the whole system: several round trips between
/// regions.
const ELECTION: Duration = Duration::from_millis(600);
/// The interval of a leader's messages in an open group.
const HEARTBEAT: Duration = Duration::from_millis(120);

/// What a control VM needs to start.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// The VM.
    pub vm: VmId,
    /// The control VMs of the settings, through which others are found.
    pub peers: Vec<ControlPeer>,
    /// How the members of the group come together.
    pub membership: MembershipMode,
    /// Where others reach this VM's links, if the settings don't list it.
    pub advertise_address: Option<SocketAddr>,
    /// The data folder.
    pub data: PathBuf,
    /// The seed of the random waits before elections.
    pub seed: u64,
}

/// How the members of the control group come together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MembershipMode {
    /// The control VMs of the settings found it, and operators change it.
    #[default]
    Fixed,
    /// Control VMs join by themselves, see `docs/design/platform.md`.
    Dynamic {
        /// Whether the VMs of the settings found the group if this VM's data
        /// folder is empty; only at the first start of the whole system.
        bootstrap: bool,
        /// The voters without which nothing is acknowledged.
        min_voters: usize,
    },
}

impl MembershipMode {
    /// A group that acknowledges only what outlives the loss of some disks at
    /// a time: a majority of the voters without them holds it.
    pub const fn dynamic(bootstrap: bool, tolerated_failures: usize) -> Self {
        let min_voters = 2 * tolerated_failures + 1;
        Self::Dynamic {
            bootstrap,
            min_voters,
        }
    }
}

/// The replica of one control VM.
#[derive(Debug)]
pub struct Control {
    pub(crate) vm: VmId,
    pub(crate) peers: Vec<ControlPeer>,
    pub(crate) raft: Raft,
    pub(crate) state: State,
    pub(crate) rules: Arc<Rules>,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) membership: MembershipMode,
    pub(crate) advertise_address: Option<SocketAddr>,
    /// The number of this VM's data folder.
    pub(crate) instance: u64,
    /// The last entry applied to the state, and its term.
    pub(crate) applied: (u64, u64),
    /// The size of the entries applied since the newest snapshot, in bytes.
    pub(crate) grown: usize,
    /// Absent while a write is under way, and after a failed one.
    disk: Option<Disk>,
    /// Writes that gather while another one is under way.
    queue: Vec<Write>,
    leading: bool,
    /// Whether the disk failed, so that nothing is acknowledged any more.
    pub(crate) failed: bool,
    pub(crate) links: Links,
    pub(crate) client: ControlClient,
    pub(crate) log: Logger,
    clock: Instant,
    /// The members as a leader named them that this VM asked to join.
    pub(crate) told: Vec<(VmId, SocketAddr)>,
    /// The addresses of the members, sorted by name.
    pub(crate) addresses: Vec<(VmId, SocketAddr)>,
    /// Callers by the index of their entry.
    pub(crate) waiters: Vec<Waiter>,
    /// Callers whose read is not confirmed yet, by number.
    pub(crate) readers: Vec<Reader>,
    pub(crate) late: Vec<Late>,
    pub(crate) serial: u64,
    pub(crate) subscribers: Vec<Recipient<RulesChanged>>,
    pub(crate) catalog_readers: Vec<Recipient<CatalogChanged>>,
    /// Told when the data folder is free.
    halting: Option<oneshot::Sender<()>>,
    /// What the core asked for when it started.
    first: Vec<Effect>,
}

impl Control {
    /// Opens the data folder and starts the replica on an arbiter of its own.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file if the data folder is in use, is
    /// damaged or can't be written.
    pub fn start(config: ControlConfig, links: Links, log: Logger) -> anyhow::Result<Addr<Self>> {
        let folder = DataFolder::open(&config.data)?;
        Self::start_with_disk(Box::new(folder), config, links, log)
    }

    /// Starts the replica on other files than those of the data folder.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn start_with_disk(
        files: Box<dyn Files>,
        config: ControlConfig,
        links: Links,
        log: Logger,
    ) -> anyhow::Result<Addr<Self>> {
        let hub = links.clone();
        let control = Self::open(files, config, links, log)?;
        let arbiter = Arbiter::new();
        let addr = Self::start_in_arbiter(&arbiter.handle(), |_| control);
        hub.subscribe(Channel::Consensus, addr.clone().recipient());
        hub.subscribe(Channel::Control, addr.clone().recipient());
        hub.subscribe(Channel::Rules, addr.clone().recipient());
        Ok(addr)
    }

    fn open(
        files: Box<dyn Files>,
        config: ControlConfig,
        links: Links,
        log: Logger,
    ) -> anyhow::Result<Self> {
        let (mut store, opened) = Store::open(files)?;
        let file = config.data.display();
        if opened.truncated_bytes > 0 {
            event!(log, Event::TailCut, "folder" => %file, "bytes" => opened.truncated_bytes);
        }
        let found = record::decode(opened.records).with_context(|| format!("{file}"))?;
        let (identity, saved) = if let Some((identity, saved)) = found {
            ensure!(
                identity.vm == config.vm.as_str(),
                "{file}: this data folder is that of {}",
                identity.vm
            );
            (identity, saved)
        } else {
            let identity = Identity::new(&config.vm);
            store.append(&[identity.record()])?;
            (identity, pimento_consensus::PersistentState::default())
        };
        event!(log, Event::StoreOpened, "folder" => %file, "entries" => saved.entries.len());
        let settings = settings(&config, identity.instance);
        let (raft, first) = Raft::new(settings, saved, Time::ZERO, config.seed);
        let client = ControlClient::new(links.clone(), &config.peers);
        Ok(Self {
            vm: config.vm,
            peers: config.peers,
            raft,
            state: State::default(),
            rules: Arc::default(),
            catalog: Arc::default(),
            membership: config.membership,
            advertise_address: config.advertise_address,
            instance: identity.instance,
            applied: (0, 0),
            grown: 0,
            disk: Some(Disk { store, identity }),
            queue: Vec::new(),
            leading: false,
            failed: false,
            links,
            client,
            log,
            clock: Instant::now(),
            told: Vec::new(),
            addresses: Vec::new(),
            waiters: Vec::new(),
            readers: Vec::new(),
            late: Vec::new(),
            serial: 0,
            subscribers: Vec::new(),
            catalog_readers: Vec::new(),
            halting: None,
            first,
        })
    }

    /// The time on this process's clock.
    pub(crate) fn now(&self) -> Time {
        Time::ZERO + self.clock.elapsed()
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        self.expire(now);
        if !self.failed {
            let effects = self.raft.tick(now);
            self.run(effects, ctx);
        }
    }

    /// Carries out what the core asks for.
    pub(crate) fn run(&mut self, effects: Vec<Effect>, ctx: &mut Context<Self>) {
        for effect in effects {
            match effect {
                Effect::Persist(write) => self.enqueue(write),
                Effect::Send { to, message } => {
                    if let Some(to) = self.address(&to) {
                        let payload = message.encode_to_vec().into();
                        self.links.send(to, Channel::Consensus, payload);
                    }
                }
                Effect::BecameLeader => self.leads(),
                Effect::LeaderChanged { leader } => self.follows(leader.as_ref()),
                other => self.log_effect(other),
            }
        }
        self.flush(ctx);
        self.compact(ctx);
    }

    fn leads(&mut self) {
        event!(self.log, Event::LeaderElected, "term" => self.raft.status().term);
        self.leading = true;
        self.client.remember(None);
    }

    fn follows(&mut self, leader: Option<&VmId>) {
        if std::mem::take(&mut self.leading) {
            event!(self.log, Event::LeaderLost, "leader" => leader.map(VmId::as_str));
        }
        let leader = leader.and_then(|vm| self.address(vm));
        self.client.remember(leader);
    }

    fn enqueue(&mut self, write: Write) {
        let members = |e: &pimento_consensus::Entry| e.kind == EntryKind::Members as i32;
        if write.snapshot.is_some() || write.entries.iter().any(members) {
            self.addresses.clear();
        }
        self.queue.push(write);
    }

    /// The link address of a control VM.
    pub(crate) fn address(&mut self, vm: &VmId) -> Option<SocketAddr> {
        if self.addresses.is_empty() {
            self.refresh_addresses();
        }
        let found = self.addresses.binary_search_by(|(name, _)| name.cmp(vm));
        found.ok().map(|i| self.addresses[i].1)
    }

    /// Takes the addresses of the members, and those of the settings for VMs
    /// that are not members.
    fn refresh_addresses(&mut self) {
        let members = self.raft.members();
        let known = members.list.iter().filter_map(|m| {
            let address = m.address.parse().ok()?;
            Some((VmId::new(&m.vm).ok()?, address))
        });
        let known: Vec<_> = known.collect();
        let listed = self.peers.iter().map(|p| (p.vm.clone(), p.address));
        let told = self.told.iter().cloned();
        self.addresses = known.into_iter().chain(told).chain(listed).collect();
        self.addresses.sort_by(|a, b| a.0.cmp(&b.0));
        self.addresses.dedup_by(|a, b| a.0 == b.0);
    }

    /// Begins to write what has gathered, unless a write is under way.
    fn flush(&mut self, ctx: &mut Context<Self>) {
        if self.queue.is_empty() || self.failed {
            return;
        }
        let Some(mut disk) = self.disk.take() else {
            return;
        };
        let writes = std::mem::take(&mut self.queue);
        let task = actix_rt::task::spawn_blocking(move || {
            let done = disk.write(writes);
            (disk, done)
        });
        let task = task.into_actor(self).map(|result, control, ctx| {
            if let Ok((disk, done)) = result {
                control.written(disk, done, ctx);
            } else {
                control.fail("the writing thread panicked");
            }
        });
        ctx.spawn(task);
    }

    fn written(&mut self, disk: Disk, done: Result<u64, StoreError>, ctx: &mut Context<Self>) {
        if let Some(halting) = self.halting.take() {
            drop(disk);
            // The caller may have gone; the folder is free all the same.
            halting.send(()).unwrap_or_default();
            return;
        }
        match done {
            Ok(seq) => {
                self.disk = Some(disk);
                let effects = self.raft.record_synced(self.now(), seq);
                self.run(effects, ctx);
            }
            Err(e) => self.fail(&e.to_string()),
        }
    }

    /// Stops the replica; the answer comes when the data folder is free.
    pub(crate) fn halt(&mut self) -> oneshot::Receiver<()> {
        let (halting, freed) = oneshot::channel();
        let busy = self.disk.take().is_none() && !self.failed;
        self.failed = true;
        self.abandon();
        if busy {
            self.halting = Some(halting);
        }
        freed
    }

    /// Stops acknowledging for good.
    fn fail(&mut self, reason: &str) {
        event!(self.log, Event::StoreFailed, "reason" => reason);
        self.failed = true;
        self.abandon();
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        // Elections of many messages may queue while a snapshot is encoded.
        ctx.set_mailbox_capacity(MAILBOX);
        let first = std::mem::take(&mut self.first);
        self.run(first, ctx);
        ctx.run_interval(TICK, Self::tick);
        if let MembershipMode::Dynamic { min_voters, .. } = self.membership {
            ctx.run_interval(JOIN, Self::seek_membership);
            ctx.run_interval(JOIN, move |control, ctx| control.evict(min_voters, ctx));
        }
    }
}

/// The settings of the core.
fn settings(config: &ControlConfig, instance: u64) -> Config {
    let vm = config.vm.clone();
    let founders = || backup::learners(&config.peers);
    match config.membership {
        MembershipMode::Fixed => Config::new(vm, instance, founders()),
        MembershipMode::Dynamic {
            bootstrap,
            min_voters,
        } => {
            let founders = if bootstrap { founders() } else { Vec::new() };
            Config {
                min_voters,
                election_timeout: ELECTION,
                heartbeat_interval: HEARTBEAT,
                ..Config::new(vm, instance, founders)
            }
        }
    }
}

/// The messages that may wait for the actor.
const MAILBOX: usize = 4_096;
