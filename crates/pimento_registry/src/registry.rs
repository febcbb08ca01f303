//! The registry that merges reports of targets.

use crate::{Stage, Target};
use pimento_core::{Time, hash};
use std::time::Duration;

/// The number of buckets that targets are hashed into. VMs compare a digest for
/// each bucket, and exchange only the targets of buckets that differ.
pub const BUCKET_COUNT: usize = 16;

/// How long targets that are gone are kept, so that late reports don't revive
/// them.
const GONE_RETENTION: Duration = Duration::from_mins(10);

/// How much a report must extend a target's cold period to count as a change.
/// Reports of the same period differ by their network delays.
const COLD_TOLERANCE: Duration = Duration::from_millis(700);

/// Whether merging a report changed the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The report was known already or outdated.
    Unchanged,
    /// The registry changed, and the other VMs must be told.
    Changed,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Target,
    cold_until: Time,
    /// When this VM last received a report of the incarnation.
    last_heard: Time,
}

/// The targets that a VM knows, with the newest incarnation of each name.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Sorted by name.
    entries: Vec<Entry>,
    /// For each bucket, the XOR of the digests of its targets.
    digests: [u32; BUCKET_COUNT],
    /// The names of targets that changed since the last call of
    /// [`Self::take_changes`].
    changed: Vec<String>,
}

impl Registry {
    /// Merges a report, from the target itself or from another VM.
    pub fn merge_report(&mut self, now: Time, report: &Target) -> MergeOutcome {
        let found = self.find(&report.id);
        let outcome = match found {
            Ok(i) => self.update(now, i, report),
            Err(i) => {
                self.insert(now, i, report.clone());
                MergeOutcome::Changed
            }
        };
        if outcome == MergeOutcome::Changed {
            self.changed.push(report.id.clone());
            self.retire_address_sharers(&report.id);
        }
        outcome
    }

    /// Returns the names of targets that changed since the last call; a name
    /// may occur more than once.
    pub fn take_changes(&mut self) -> Vec<String> {
        std::mem::take(&mut self.changed)
    }

    /// Marks an incarnation as gone; if none is given, the current one. Returns
    /// the resulting state, or `None` for an unknown target.
    pub fn mark_gone(&mut self, now: Time, id: &str, incarnation: Option<u64>) -> Option<Target> {
        let current = self.get(id)?;
        if incarnation.is_some_and(|incarnation| incarnation < current.incarnation) {
            return Some(current.clone());
        }
        let mut report = current.clone();
        report.incarnation = incarnation.unwrap_or(current.incarnation);
        report.stage = Stage::Gone as i32;
        self.merge_report(now, &report);
        Some(report)
    }

    /// The newest incarnation of a target, which may be gone.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.find(id).ok().map(|i| &self.entries[i].target)
    }

    /// All targets that are not gone, sorted by name.
    pub fn live_targets(&self) -> impl Iterator<Item = &Target> {
        let targets = self.entries.iter().map(|e| &e.target);
        targets.filter(|target| target.stage < Stage::Gone as i32)
    }

    /// When a target stops being cold; a time in the past if it isn't cold.
    pub fn cold_until(&self, id: &str) -> Time {
        let found = self.find(id).ok();
        found.map_or(Time::ZERO, |i| self.entries[i].cold_until)
    }

    /// The digest of each bucket; buckets with equal digests contain the same
    /// targets in the same state.
    pub const fn bucket_digests(&self) -> &[u32; BUCKET_COUNT] {
        &self.digests
    }

    /// The targets of a bucket, to send to a VM whose digest of it differs.
    pub fn bucket_targets(&self, now: Time, number: usize) -> impl Iterator<Item = Target> {
        let is_inside = move |e: &&Entry| bucket_of(&e.target.id) == number;
        let entries = self.entries.iter().filter(is_inside);
        entries.map(move |e| e.export(now))
    }

    /// The state of a target to send to another VM, with the cold period that is
    /// left now.
    pub fn export_target(&self, now: Time, id: &str) -> Option<Target> {
        self.find(id).ok().map(|i| self.entries[i].export(now))
    }

    /// Removes targets that have been gone for long enough that no late report
    /// is expected.
    pub fn expire_gone(&mut self, now: Time) {
        let is_expired = |e: &Entry| {
            let is_gone = e.target.stage >= Stage::Gone as i32;
            is_gone && now.since(e.last_heard) > GONE_RETENTION
        };
        for entry in self.entries.extract_if(.., |e| is_expired(e)) {
            self.digests[bucket_of(&entry.target.id)] ^= entry.target.digest();
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|e| e.target.id.as_str().cmp(id))
    }

    fn insert(&mut self, now: Time, at: usize, target: Target) {
        self.digests[bucket_of(&target.id)] ^= target.digest();
        let entry = Entry {
            cold_until: now + Duration::from_millis(target.cold_ms.into()),
            last_heard: now,
            target,
        };
        self.entries.insert(at, entry);
    }

    fn update(&mut self, now: Time, at: usize, report: &Target) -> MergeOutcome {
        let current = &self.entries[at].target;
        if report.incarnation < current.incarnation {
            return MergeOutcome::Unchanged;
        }
        if report.incarnation > current.incarnation {
            let old = self.entries.remove(at);
            self.digests[bucket_of(&old.target.id)] ^= old.target.digest();
            self.insert(now, at, report.clone());
            return MergeOutcome::Changed;
        }
        self.advance(now, at, report)
    }

    /// Merges a report of the current incarnation. The stage never goes back;
    /// all other fields come from the report with the highest sequence number.
    fn advance(&mut self, now: Time, at: usize, report: &Target) -> MergeOutcome {
        let entry = &mut self.entries[at];
        let before = entry.target.digest();
        entry.last_heard = now;
        let is_newer = report.seq > entry.target.seq || entry.target.is_only_end();
        let cold_until = now + Duration::from_millis(report.cold_ms.into());
        let is_colder = report.cold_ms > 0 && cold_until > entry.cold_until + COLD_TOLERANCE;
        let stage = entry.target.stage.max(report.stage);
        if is_newer {
            entry.target = report.clone();
        }
        entry.target.stage = stage;
        if is_newer && is_colder {
            entry.cold_until = cold_until;
        }
        let after = entry.target.digest();
        self.digests[bucket_of(&report.id)] ^= before ^ after;
        if before != after || (is_newer && is_colder) {
            MergeOutcome::Changed
        } else {
            MergeOutcome::Unchanged
        }
    }

    /// Marks all targets at the address of a target as gone, except the one with
    /// the newest incarnation.
    fn retire_address_sharers(&mut self, id: &str) {
        let Some(address) = self.get(id).map(|t| t.address.clone()) else {
            return;
        };
        let is_live = |e: &Entry| e.target.stage < Stage::Gone as i32;
        let is_sharing = |e: &Entry| is_live(e) && e.target.address == address;
        let sharing = self.entries.iter().filter(|e| is_sharing(e));
        let Some(newest) = sharing.map(|e| e.target.incarnation).max() else {
            return;
        };
        for entry in &mut self.entries {
            if is_sharing(entry) && entry.target.incarnation < newest {
                let digest = &mut self.digests[bucket_of(&entry.target.id)];
                *digest ^= entry.target.digest();
                entry.target.stage = Stage::Gone as i32;
                *digest ^= entry.target.digest();
                self.changed.push(entry.target.id.clone());
            }
        }
    }
}

impl Entry {
    fn export(&self, now: Time) -> Target {
        let mut target = self.target.clone();
        target.cold_ms = self.cold_until.since(now).as_millis() as u32;
        target
    }
}

fn bucket_of(id: &str) -> usize {
    hash::mix(hash::fnv([id.as_bytes()])) as usize % BUCKET_COUNT
}
