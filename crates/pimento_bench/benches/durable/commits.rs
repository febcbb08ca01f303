//! Commits a second of three replicas with files on this disk.

use anyhow::{Context, ensure};
use bytes::Bytes;
use pimento_consensus::{Config, Effect, Member, Message, PersistentState, Raft, Role, Write};
use pimento_core::{Time, VmId};
use pimento_storage::{DataFolder, Store};
use prost::Message as _;
use std::time::{Duration, Instant};

/// The bytes of a command, about those of a claim.
const SIZE: usize = 200;
/// The callers that wait at the same time.
const CALLERS: [usize; 4] = [1, 8, 64, 512];
/// The most syncs of a replica for each round of callers.
const SYNCS: usize = 3;

/// A replica with its file.
struct Replica {
    raft: Raft,
    store: Store<DataFolder>,
    writes: Vec<Write>,
    syncs: usize,
}

/// Three replicas, connected without delay.
struct Group {
    now: Time,
    replicas: Vec<Replica>,
    messages: Vec<(usize, usize, Message)>,
    committed: usize,
    /// The time spent in syncs, of which three run side by side.
    syncing: Duration,
}

/// Prints the rates with more and more callers.
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
    let before = group.replicas[leader].syncs;
    group.syncing = Duration::ZERO;
    let start = Instant::now();
    for _ in 0..rounds {
        group.round(leader, callers)?;
    }
    let took = start.elapsed();
    let syncs = group.replicas[leader].syncs - before;
    let commits = rounds * callers;
    let rate = commits as f64 / took.as_secs_f64();
    let rest = (took.saturating_sub(group.syncing)).as_secs_f64() * 1e6 / commits as f64;
    let sync = group.syncing.as_secs_f64() * 1e6 / syncs as f64;
    println!(
        "commits: {callers} callers, {rate:.0} a second, {syncs} syncs of {sync:.0} us \
         for {commits} commits, {rest:.1} us a commit besides"
    );
    ensure!(syncs <= rounds * SYNCS, "{syncs} syncs for {rounds} rounds");
    Ok(())
}

impl Group {
    fn new(folder: &std::path::Path) -> anyhow::Result<Self> {
        let mut group = Self {
            now: Time::ZERO,
            replicas: Vec::new(),
            messages: Vec::new(),
            committed: 0,
            syncing: Duration::ZERO,
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
            group.run(i, effects);
        }
        Ok(group)
    }

    fn elect(&mut self) -> anyhow::Result<usize> {
        for _ in 0..10_000 {
            self.now += Duration::from_millis(10);
            for i in 0..3 {
                let effects = self.replicas[i].raft.tick(self.now);
                self.run(i, effects);
            }
            self.settle()?;
            let whole = |r: &Replica| r.raft.members().voters().count() == 3;
            let leads = |r: &Replica| r.raft.status().role == Role::Leader;
            if let Some(at) = self.replicas.iter().position(|r| leads(r) && whole(r)) {
                return Ok(at);
            }
        }
        anyhow::bail!("no leader")
    }

    /// Commits one command of each caller.
    fn round(&mut self, leader: usize, callers: usize) -> anyhow::Result<()> {
        self.committed = 0;
        for id in 0..callers {
            let payload = Bytes::from(vec![7; SIZE]);
            let raft = &mut self.replicas[leader].raft;
            let effects = raft.propose(self.now, id as u64, payload);
            self.run(leader, effects);
        }
        self.settle()?;
        ensure!(self.committed == callers, "{} committed", self.committed);
        Ok(())
    }

    /// Carries messages and syncs until nothing is left to do.
    fn settle(&mut self) -> anyhow::Result<()> {
        loop {
            while !self.messages.is_empty() {
                for (from, to, message) in std::mem::take(&mut self.messages) {
                    let raft = &mut self.replicas[to].raft;
                    let effects = raft.receive(self.now, &name(from), message);
                    self.run(to, effects);
                }
            }
            if self.replicas.iter().all(|r| r.writes.is_empty()) {
                return Ok(());
            }
            self.sync()?;
        }
    }

    /// Writes what has gathered at each replica in one sync, side by side.
    fn sync(&mut self) -> anyhow::Result<()> {
        let start = Instant::now();
        let done: Vec<anyhow::Result<Option<u64>>> = std::thread::scope(|scope| {
            let replicas = self.replicas.iter_mut();
            let threads: Vec<_> = replicas.map(|r| scope.spawn(|| r.sync())).collect();
            let join = |t: std::thread::ScopedJoinHandle<'_, _>| t.join().expect("no panic");
            threads.into_iter().map(join).collect()
        });
        self.syncing += start.elapsed();
        for (i, done) in done.into_iter().enumerate() {
            if let Some(seq) = done? {
                let effects = self.replicas[i].raft.record_synced(self.now, seq);
                self.run(i, effects);
            }
        }
        Ok(())
    }

    fn run(&mut self, at: usize, effects: Vec<Effect>) {
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
    VmId::new(format!("vm{i}")).expect("a good name")
}
