//! Commits per second of three replicas whose logs are files on this disk.

use anyhow::{Context, ensure};
use bytes::Bytes;
use pimento_consensus::{Config, Effect, Member, Message, PersistentState, Raft, Role, Write};
use pimento_core::{Time, VmId};
use pimento_storage::{DataFolder, Store};
use prost::Message as _;
use std::time::{Duration, Instant};

/// Size of a command in bytes, about that of a claim.
const COMMAND_BYTES: usize = 200;
/// Numbers of concurrent callers, each waiting for one commit.
const CALLERS: [usize; 4] = [1, 8, 64, 512];
/// Maximum number of syncs per replica and round of commits.
const MAX_SYNCS_PER_ROUND: usize = 3;

/// A replica with its log file.
struct Replica {
    raft: Raft,
    store: Store<DataFolder>,
    writes: Vec<Write>,
    syncs: usize,
}

/// Three replicas connected without network delay.
struct Group {
    now: Time,
    replicas: Vec<Replica>,
    messages: Vec<(usize, usize, Message)>,
    committed: usize,
    /// Wall time spent in syncs; the three replicas sync in parallel.
    sync_time: Duration,
}

/// Prints the commit rate for each number of concurrent callers.
pub fn run(short: bool) -> anyhow::Result<()> {
    let total = if short { 64 } else { 4_096 };
    for callers in CALLERS {
        let rounds = (total / callers).clamp(1, 512);
        measure(callers, rounds)?;
    }
    Ok(())
}

fn measure(callers: usize, rounds: usize) -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let mut group = Group::new(folder.path())?;
    let leader = group.elect()?;
    let syncs_before = group.replicas[leader].syncs;
    group.sync_time = Duration::ZERO;
    let start = Instant::now();
    for _ in 0..rounds {
        group.commit_round(leader, callers)?;
    }
    let elapsed = start.elapsed();
    let syncs = group.replicas[leader].syncs - syncs_before;
    let commits = rounds * callers;
    let rate = commits as f64 / elapsed.as_secs_f64();
    let other_us = (elapsed.saturating_sub(group.sync_time)).as_secs_f64() * 1e6 / commits as f64;
    let sync_us = group.sync_time.as_secs_f64() * 1e6 / syncs as f64;
    println!(
        "commits: {callers} callers, {rate:.0} a second, {syncs} syncs of {sync_us:.0} us \
         for {commits} commits, {other_us:.1} us a commit outside syncs"
    );
    ensure!(
        syncs <= rounds * MAX_SYNCS_PER_ROUND,
        "{syncs} syncs for {rounds} rounds"
    );
    Ok(())
}

impl Group {
    fn new(folder: &std::path::Path) -> anyhow::Result<Self> {
        let mut group = Self {
            now: Time::ZERO,
            replicas: Vec::new(),
            messages: Vec::new(),
            committed: 0,
            sync_time: Duration::ZERO,
        };
        let peers: Vec<Member> = (0..3).map(|i| Member::learner(&name(i), "")).collect();
        for i in 0..3 {
            let config = Config::new(name(i), i as u64 + 1, peers.clone());
            let (raft, effects) =
                Raft::new(config, PersistentState::default(), group.now, i as u64);
            let (store, _) = Store::open(DataFolder::open(folder.join(i.to_string()))?)?;
            group.replicas.push(Replica {
                raft,
                store,
                writes: Vec::new(),
                syncs: 0,
            });
            group.apply_effects(i, effects);
        }
        Ok(group)
    }

    fn elect(&mut self) -> anyhow::Result<usize> {
        for _ in 0..10_000 {
            self.now += Duration::from_millis(10);
            for i in 0..3 {
                let effects = self.replicas[i].raft.tick(self.now);
                self.apply_effects(i, effects);
            }
            self.run_until_idle()?;
            let has_all_voters = |r: &Replica| r.raft.members().voters().count() == 3;
            let is_leader = |r: &Replica| r.raft.status().role == Role::Leader;
            if let Some(at) = self
                .replicas
                .iter()
                .position(|r| is_leader(r) && has_all_voters(r))
            {
                return Ok(at);
            }
        }
        anyhow::bail!("no leader")
    }

    /// Proposes one command per caller and waits until all are committed.
    fn commit_round(&mut self, leader: usize, callers: usize) -> anyhow::Result<()> {
        self.committed = 0;
        for id in 0..callers {
            let payload = Bytes::from(vec![7; COMMAND_BYTES]);
            let raft = &mut self.replicas[leader].raft;
            let effects = raft.propose(self.now, id as u64, payload);
            self.apply_effects(leader, effects);
        }
        self.run_until_idle()?;
        ensure!(self.committed == callers, "{} committed", self.committed);
        Ok(())
    }

    /// Delivers messages and syncs writes until both queues are empty.
    fn run_until_idle(&mut self) -> anyhow::Result<()> {
        loop {
            while !self.messages.is_empty() {
                for (from, to, message) in std::mem::take(&mut self.messages) {
                    let raft = &mut self.replicas[to].raft;
                    let effects = raft.receive(self.now, &name(from), message);
                    self.apply_effects(to, effects);
                }
            }
            if self.replicas.iter().all(|r| r.writes.is_empty()) {
                return Ok(());
            }
            self.sync()?;
        }
    }

    /// Writes the pending entries of each replica with one sync, in parallel.
    fn sync(&mut self) -> anyhow::Result<()> {
        let start = Instant::now();
        let done: Vec<anyhow::Result<Option<u64>>> = std::thread::scope(|scope| {
            let replicas = self.replicas.iter_mut();
            let threads: Vec<_> = replicas.map(|r| scope.spawn(|| r.sync())).collect();
            let join = |t: std::thread::ScopedJoinHandle<'_, _>| t.join().expect("no panic");
            threads.into_iter().map(join).collect()
        });
        self.sync_time += start.elapsed();
        for (i, done) in done.into_iter().enumerate() {
            if let Some(seq) = done? {
                let effects = self.replicas[i].raft.record_synced(self.now, seq);
                self.apply_effects(i, effects);
            }
        }
        Ok(())
    }

    fn apply_effects(&mut self, at: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Persist(write) => self.replicas[at].writes.push(write),
                Effect::Send { to, message } => {
                    let to = (0..3).find(|i| name(*i) == to).expect("a member");
                    self.messages.push((at, to, message));
                }
                Effect::Apply(_) if self.replicas[at].raft.status().role == Role::Leader => {
                    self.committed += 1;
                }
                _ => {}
            }
        }
    }
}

impl Replica {
    fn sync(&mut self) -> anyhow::Result<Option<u64>> {
        if self.writes.is_empty() {
            return Ok(None);
        }
        let writes = std::mem::take(&mut self.writes);
        let last = writes.last().context("a write")?.seq;
        let entries = writes.iter().flat_map(|w| &w.entries);
        let records: Vec<Bytes> = entries.map(|e| e.encode_to_vec().into()).collect();
        self.store.append(&records)?;
        self.syncs += 1;
        Ok(Some(last))
    }
}

fn name(i: usize) -> VmId {
    VmId::new(format!("vm{i}")).expect("a valid name")
}
