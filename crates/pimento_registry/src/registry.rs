//! All lifetimes that a VM knows of.

use crate::{Stage, Target};
use pimento_core::{Time, hash};
use std::time::Duration;

/// The parts whose digests are compared, so that VMs that differ in a few
/// targets exchange only the parts that hold them.
pub const BUCKET_COUNT: usize = 16;

/// How long the end of a lifetime is remembered, against late reports.
const MEMORY: Duration = Duration::from_mins(10);

/// How much longer a target must stay cold than was known to count as cold
/// again: reports of the same span differ by their delays.
const COLD_SLACK: Duration = Duration::from_millis(700);

/// What taking a report changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// Nothing: it was known, or outdated.
    Unchanged,
    /// Something that the other VMs must learn.
    Changed,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    cold_until: Time,
    /// When it was last reported here.
    heard: Time,
}

/// All lifetimes that a VM knows of, the newest one of each name.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: Vec<Entry>,
    buckets: [u32; BUCKET_COUNT],
    /// The names whose lifetimes changed since they were last asked for.
    changed: Vec<String>,
}

impl Registry {
    /// Takes a report, from the target itself or from another VM.
    pub fn merge_report(&mut self, now: Time, report: &Target) -> MergeOutcome {
        let found = self.find(&report.id);
        let taken = match found {
            Ok(i) => self.update(now, i, report),
            Err(i) => {
                self.insert(now, i, report.clone());
                MergeOutcome::Changed
            }
        };
        if taken == MergeOutcome::Changed {
            self.changed.push(report.id.clone());
            self.settle_address(&report.id);
        }
        taken
    }

    /// The names whose lifetimes changed since the last call.
    pub fn take_changes(&mut self) -> Vec<String> {
        std::mem::take(&mut self.changed)
    }

    /// Notes that a target has ended; one that is unknown stays so.
    pub fn mark_gone(&mut self, now: Time, id: &str, incarnation: Option<u64>) -> Option<Target> {
        let held = self.get(id)?;
        if incarnation.is_some_and(|incarnation| incarnation < held.incarnation) {
            return Some(held.clone());
        }
        let mut report = held.clone();
        report.incarnation = incarnation.unwrap_or(held.incarnation);
        report.stage = Stage::Gone as i32;
        self.merge_report(now, &report);
        Some(report)
    }

    /// The newest lifetime of a name.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.find(id).ok().map(|i| &self.entries[i].target)
    }

    /// All lifetimes that have not ended.
    pub fn live_targets(&self) -> impl Iterator<Item = &Target> {
        let targets = self.entries.iter().map(|e| &e.target);
        targets.filter(|target| target.stage < Stage::Gone as i32)
    }

    /// Until when a target is cold.
    pub fn cold_until(&self, id: &str) -> Time {
        let found = self.find(id).ok();
        found.map_or(Time::ZERO, |i| self.entries[i].cold_until)
    }

    /// The digests of all parts; equal ones hold the same.
    pub const fn bucket_digests(&self) -> &[u32; BUCKET_COUNT] {
        &self.buckets
    }

    /// The lifetimes of a part, for a VM whose digest differs.
    pub fn bucket_targets(&self, now: Time, number: usize) -> impl Iterator<Item = Target> {
        let inside = move |e: &&Entry| bucket_of(&e.target.id) == number;
        let entries = self.entries.iter().filter(inside);
        entries.map(move |e| e.sent(now))
    }

    /// A lifetime as another VM is to be told of it.
    pub fn export_target(&self, now: Time, id: &str) -> Option<Target> {
        self.find(id).ok().map(|i| self.entries[i].sent(now))
    }

    /// Forgets lifetimes that ended long ago.
    pub fn expire_ended(&mut self, now: Time) {
        let old = |e: &Entry| {
            let gone = e.target.stage >= Stage::Gone as i32;
            gone && now.since(e.heard) > MEMORY
        };
        for entry in self.entries.extract_if(.., |e| old(e)) {
            self.buckets[bucket_of(&entry.target.id)] ^= entry.target.digest();
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| e.target.id.as_str().cmp(id))
    }

    fn insert(&mut self, now: Time, at: usize, target: Target) {
        self.buckets[bucket_of(&target.id)] ^= target.digest();
        let entry = Entry {
            cold_until: now + Duration::from_millis(target.cold_ms.into()),
            heard: now,
            target,
        };
        self.entries.insert(at, entry);
    }

    fn update(&mut self, now: Time, at: usize, report: &Target) -> MergeOutcome {
        let held = &self.entries[at].target;
        if report.incarnation < held.incarnation {
            return MergeOutcome::Unchanged;
        }
        if report.incarnation > held.incarnation {
            let old = self.entries.remove(at);
            self.buckets[bucket_of(&old.target.id)] ^= old.target.digest();
            self.insert(now, at, report.clone());
            return MergeOutcome::Changed;
        }
        self.advance(now, at, report)
    }

    /// Moves a lifetime forward by a report of its own.
    fn advance(&mut self, now: Time, at: usize, report: &Target) -> MergeOutcome {
        let entry = &mut self.entries[at];
        let before = entry.target.digest();
        entry.heard = now;
        let newer = report.seq > entry.target.seq;
        let cold_until = now + Duration::from_millis(report.cold_ms.into());
        let colder = report.cold_ms > 0 && cold_until > entry.cold_until + COLD_SLACK;
        let stage = entry.target.stage.max(report.stage);
        if newer {
            entry.target = report.clone();
        }
        entry.target.stage = stage;
        if newer && colder {
            entry.cold_until = cold_until;
        }
        let after = entry.target.digest();
        self.buckets[bucket_of(&report.id)] ^= before ^ after;
        if before != after || (newer && colder) {
            MergeOutcome::Changed
        } else {
            MergeOutcome::Unchanged
        }
    }

    /// Ends all lifetimes but the newest one at the address of a target.
    fn settle_address(&mut self, id: &str) {
        let Some(address) = self.get(id).map(|t| t.address.clone()) else {
            return;
        };
        let alive = |e: &Entry| e.target.stage < Stage::Gone as i32;
        let same = |e: &Entry| alive(e) && e.target.address == address;
        let sharing = self.entries.iter().filter(|e| same(e));
        let Some(newest) = sharing.map(|e| e.target.incarnation).max() else {
            return;
        };
        for entry in &mut self.entries {
            if same(entry) && entry.target.incarnation < newest {
                let bucket = &mut self.buckets[bucket_of(&entry.target.id)];
                *bucket ^= entry.target.digest();
                entry.target.stage = Stage::Gone as i32;
                *bucket ^= entry.target.digest();
                self.changed.push(entry.target.id.clone());
            }
        }
    }
}

impl Entry {
    fn sent(&self, now: Time) -> Target {
        let mut target = self.target.clone();
        target.cold_ms = self.cold_until.since(now).as_millis() as u32;
        target
    }
}

fn bucket_of(id: &str) -> usize {
    hash::mix(hash::fnv([id.as_bytes()])) as usize % BUCKET_COUNT
}
