//! The actor that connects the Raft state machine to links, clock and disk.

use crate::{
    CatalogChanged, ControlClient, RulesChanged, backup,
    disk_writes::Health,
    log_writer::LogWriter,
    record::{self, Identity},
    waiters::{ApplyWaiter, PendingProposal, PendingRead},
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
use pimento_storage::{DataFolder, Disk, Store};
use prost::Message as _;
use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

/// The interval between ticks of the Raft state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// The interval at which a VM that isn't a voter requests to join, and a leader
/// checks for voters to remove.
const JOIN_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum election timeout in dynamic mode. Several round trips between
/// regions, but short, since users wait while the whole system restarts.
const DYNAMIC_ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// The interval between a leader's heartbeats in dynamic mode.
const DYNAMIC_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(120);

/// The configuration of a control VM's replica.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// The name of this VM.
    pub vm: VmId,
    /// The control VMs listed in the settings, through which other members are
    /// discovered.
    pub peers: Vec<ControlPeer>,
    /// How VMs become members of the control group.
    pub membership: MembershipMode,
    /// The link address that this VM advertises, for a VM that the settings
    /// don't list.
    pub advertise_address: Option<SocketAddr>,
    /// The path of the data folder.
    pub data: PathBuf,
    /// The seed of the randomized election timeouts.
    pub seed: u64,
}

/// How VMs become members of the control group.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MembershipMode {
    /// The control VMs of the settings bootstrap the group, and operators add or
    /// remove members.
    #[default]
    Fixed,
    /// Control VMs join without an operator, see `docs/design/platform.md`.
    Dynamic {
        /// Whether the VMs of the settings bootstrap a new group if this VM's
        /// data folder is empty. Only set at the first start of the whole
        /// system.
        bootstrap: bool,
        /// The number of voters below which the group accepts no commands.
        min_voters: usize,
    },
}

impl MembershipMode {
    /// Creates a dynamic mode that acknowledges a command only if it survives
    /// the simultaneous loss of `tolerated_failures` disks: with `2n + 1`
    /// voters, a majority remains without `n` of them.
    pub const fn dynamic(bootstrap: bool, tolerated_failures: usize) -> Self {
        let min_voters = 2 * tolerated_failures + 1;
        Self::Dynamic {
            bootstrap,
            min_voters,
        }
    }
}

/// The actor that runs one control VM's replica.
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
    /// The random ID of this VM's data folder.
    pub(crate) folder_id: u64,
    /// The index and term of the last entry applied to the state.
    pub(crate) applied: (u64, u64),
    /// The size of the entries applied since the newest snapshot.
    pub(crate) applied_bytes: usize,
    /// `None` while a write is in progress, and after the writing thread panicked.
    pub(crate) log_writer: Option<LogWriter>,
    /// Writes that wait for the one in progress.
    pub(crate) pending_writes: Vec<Write>,
    /// Whether a write is in progress.
    pub(crate) is_writing: bool,
    is_leader: bool,
    pub(crate) health: Health,
    pub(crate) links: Links,
    pub(crate) client: ControlClient,
    pub(crate) log: Logger,
    started_at: Instant,
    /// The number of requests to join that wait for a reply.
    pub(crate) pending_joins: usize,
    /// The members that the leader listed in its reply to a join request.
    pub(crate) reported_members: Vec<(VmId, SocketAddr)>,
    /// The addresses of the members, sorted by name.
    pub(crate) addresses: Vec<(VmId, SocketAddr)>,
    /// Callers that wait for their entry to be applied, by its index.
    pub(crate) pending_proposals: Vec<PendingProposal>,
    /// Callers whose read is not confirmed yet, by ID.
    pub(crate) pending_reads: Vec<PendingRead>,
    pub(crate) apply_waiters: Vec<ApplyWaiter>,
    /// The last ID given to a proposal, membership change or read.
    pub(crate) last_id: u64,
    pub(crate) rules_subscribers: Vec<Recipient<RulesChanged>>,
    pub(crate) catalog_subscribers: Vec<Recipient<CatalogChanged>>,
    /// Signals that the data folder is closed, once the write in progress ends.
    pub(crate) stop_sender: Option<oneshot::Sender<()>>,
    /// The effects of creating the Raft state machine.
    startup_effects: Vec<Effect>,
}

impl Control {
    /// Opens the data folder and starts the replica on its own arbiter.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file if the data folder is in use, is
    /// damaged or can't be written.
    pub fn start(config: ControlConfig, links: Links, log: Logger) -> anyhow::Result<Addr<Self>> {
        let folder = DataFolder::open(&config.data)?;
        Self::start_with_disk(Box::new(folder), config, links, log)
    }

    /// Starts the replica with another [`Disk`] than the data folder, such as one
    /// that injects faults.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn start_with_disk(
        disk: Box<dyn Disk>,
        config: ControlConfig,
        links: Links,
        log: Logger,
    ) -> anyhow::Result<Addr<Self>> {
        let incoming = links.clone();
        let control = Self::open(disk, config, links, log)?;
        let arbiter = Arbiter::new();
        let addr = Self::start_in_arbiter(&arbiter.handle(), |_| control);
        incoming.subscribe(Channel::Consensus, addr.clone().recipient());
        incoming.subscribe(Channel::Control, addr.clone().recipient());
        incoming.subscribe(Channel::Rules, addr.clone().recipient());
        Ok(addr)
    }

    fn open(
        disk: Box<dyn Disk>,
        config: ControlConfig,
        links: Links,
        log: Logger,
    ) -> anyhow::Result<Self> {
        let (mut store, recovery) = Store::open(disk)?;
        let folder = config.data.display();
        if recovery.truncated_bytes > 0 {
            event!(log, Event::TailCut, "folder" => %folder, "bytes" => recovery.truncated_bytes);
        }
        let recovered = record::decode(recovery.records).with_context(|| format!("{folder}"))?;
        let (identity, persisted) = if let Some((identity, persisted)) = recovered {
            ensure!(
                identity.vm == config.vm.as_str(),
                "{folder}: this data folder belongs to {}",
                identity.vm
            );
            (identity, persisted)
        } else {
            let identity = Identity::new(&config.vm);
            store.append(&[identity.encode_record()])?;
            (identity, pimento_consensus::PersistentState::default())
        };
        event!(log, Event::StoreOpened, "folder" => %folder, "entries" => persisted.entries.len());
        let raft_config = raft_config(&config, identity.folder_id);
        let (raft, startup_effects) = Raft::new(raft_config, persisted, Time::ZERO, config.seed);
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
            folder_id: identity.folder_id,
            applied: (0, 0),
            applied_bytes: 0,
            log_writer: Some(LogWriter { store, identity }),
            pending_writes: Vec::new(),
            is_writing: false,
            is_leader: false,
            health: Health::Working,
            links,
            client,
            log,
            started_at: Instant::now(),
            pending_joins: 0,
            reported_members: Vec::new(),
            addresses: Vec::new(),
            pending_proposals: Vec::new(),
            pending_reads: Vec::new(),
            apply_waiters: Vec::new(),
            last_id: 0,
            rules_subscribers: Vec::new(),
            catalog_subscribers: Vec::new(),
            stop_sender: None,
            startup_effects,
        })
    }

    /// The time since this actor was created.
    pub(crate) fn now(&self) -> Time {
        Time::ZERO + self.started_at.elapsed()
    }

    fn tick(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        self.expire_waiters(now);
        if self.is_working() {
            let effects = self.raft.tick(now);
            self.run_effects(effects, ctx);
        }
    }

    /// Carries out the effects that the Raft state machine returned.
    pub(crate) fn run_effects(&mut self, effects: Vec<Effect>, ctx: &mut Context<Self>) {
        for effect in effects {
            match effect {
                Effect::Persist(write) => self.enqueue_write(write),
                Effect::Send { to, message } => {
                    if let Some(to) = self.address_of(&to) {
                        let payload = message.encode_to_vec().into();
                        self.links.send(to, Channel::Consensus, payload);
                    }
                }
                Effect::BecameLeader => self.became_leader(),
                Effect::LeaderChanged { leader } => self.leader_changed(leader.as_ref()),
                other => self.handle_log_effect(other),
            }
        }
        self.publish();
        self.flush_writes(ctx);
        self.compact(ctx);
    }

    fn became_leader(&mut self) {
        event!(self.log, Event::LeaderElected, "term" => self.raft.status().term);
        self.is_leader = true;
        self.client.set_leader(None);
    }

    fn leader_changed(&mut self, leader: Option<&VmId>) {
        if std::mem::take(&mut self.is_leader) {
            event!(self.log, Event::LeaderLost, "leader" => leader.map(VmId::as_str));
        }
        let leader = leader.and_then(|vm| self.address_of(vm));
        self.client.set_leader(leader);
    }

    fn enqueue_write(&mut self, write: Write) {
        let is_member_entry = |e: &pimento_consensus::Entry| e.kind == EntryKind::Members as i32;
        if write.snapshot.is_some() || write.entries.iter().any(is_member_entry) {
            self.addresses.clear();
        }
        self.pending_writes.push(write);
    }

    /// Returns the link address of a control VM, if known.
    pub(crate) fn address_of(&mut self, vm: &VmId) -> Option<SocketAddr> {
        if self.addresses.is_empty() {
            self.refresh_addresses();
        }
        let found = self.addresses.binary_search_by(|(name, _)| name.cmp(vm));
        found.ok().map(|i| self.addresses[i].1)
    }

    /// Rebuilds the address table. The member list of the log takes precedence
    /// over the leader's reply to a join request, and that over the settings.
    fn refresh_addresses(&mut self) {
        let members = self.raft.members();
        let members = members.list.iter().filter_map(|m| {
            let address = m.address.parse().ok()?;
            Some((VmId::new(&m.vm).ok()?, address))
        });
        let members: Vec<_> = members.collect();
        let configured = self.peers.iter().map(|p| (p.vm.clone(), p.address));
        let reported = self.reported_members.iter().cloned();
        self.addresses = members
            .into_iter()
            .chain(reported)
            .chain(configured)
            .collect();
        self.addresses.sort_by(|a, b| a.0.cmp(&b.0));
        self.addresses.dedup_by(|a, b| a.0 == b.0);
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        // The messages of several elections may queue while a snapshot is encoded.
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
        let effects = std::mem::take(&mut self.startup_effects);
        self.run_effects(effects, ctx);
        ctx.run_interval(TICK_INTERVAL, Self::tick);
        if let MembershipMode::Dynamic { .. } = self.membership {
            ctx.run_interval(JOIN_INTERVAL, Self::request_membership);
            ctx.run_interval(JOIN_INTERVAL, Self::evict_silent);
        }
    }
}

fn raft_config(config: &ControlConfig, folder_id: u64) -> Config {
    let vm = config.vm.clone();
    let founders = || backup::learners(&config.peers);
    match config.membership {
        MembershipMode::Fixed => Config::new(vm, folder_id, founders()),
        MembershipMode::Dynamic {
            bootstrap,
            min_voters,
        } => {
            let founders = if bootstrap { founders() } else { Vec::new() };
            Config {
                min_voters,
                election_timeout: DYNAMIC_ELECTION_TIMEOUT,
                heartbeat_interval: DYNAMIC_HEARTBEAT_INTERVAL,
                ..Config::new(vm, folder_id, founders)
            }
        }
    }
}

/// The maximum number of messages in the actor's mailbox.
const MAILBOX_CAPACITY: usize = 4_096;
