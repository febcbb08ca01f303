//! Lease releases, and the referral of targets to other VMs.

use crate::{
    Announcement, Candidate, Effect, LeaseRelease, Leases, candidate,
    leases::{MAX_TARGETS, changed_effect},
    record::{Stage, TargetRecord},
};
use pimento_core::{TargetId, Time};
use std::net::SocketAddr;

/// If a target returns within this many terms after it was referred to another
/// VM, it is accepted, because it evidently couldn't reach that VM.
const REFERRAL_TERMS: u32 = 5;

impl Leases {
    /// Releases a lease in a planned hand-over.
    ///
    /// This VM must stop sending at once. `used` is the number of its requests
    /// that the target still runs. Returns the next holder and the release to
    /// send to it. If called again with fewer requests, it returns an updated
    /// release for the same holder. Returns `None` if this VM may not send to
    /// the target itself, or if it knows no other VM.
    pub fn release(
        &mut self,
        now: Time,
        target: &TargetId,
        used: u32,
        live: &[Candidate],
    ) -> Option<(Candidate, LeaseRelease)> {
        let i = self.find(target).ok()?;
        let others = live.iter().filter(|c| c.vm != self.config.vm);
        let record = &mut self.records[i];
        let successor = match &record.stage {
            Stage::Held { valid_from, .. } if *valid_from <= now => {
                candidate::best_candidate(target, others)?.clone()
            }
            Stage::Released { successor, .. } => successor.clone(),
            _ => return None,
        };
        record.stage = Stage::Released {
            released_at: now,
            successor: successor.clone(),
        };
        let release = LeaseRelease {
            target: target.to_string(),
            target_incarnation: record.announcement.instance,
            epoch: record.epoch,
            holder: self.config.vm.to_string(),
            holder_incarnation: self.config.incarnation,
            used_slots: used.saturating_add(record.inherited),
            drained: record.drained,
        };
        Some((successor, release))
    }

    /// The targets whose leases this VM released recently.
    ///
    /// While such a target still runs requests of this VM, [`Self::release`]
    /// must be called again, so that the next holder learns when they end.
    pub fn released_targets(&self) -> impl Iterator<Item = &TargetId> {
        let is_released = |r: &&TargetRecord| matches!(r.stage, Stage::Released { .. });
        let records = self.records.iter().filter(is_released);
        records.map(|r| &r.announcement.target)
    }

    /// Handles a release by another VM.
    pub fn accept_release(&mut self, now: Time, release: LeaseRelease) -> Vec<Effect> {
        let effects = self.lower_inherited(&release);
        let key = release.target.as_str();
        let found = self
            .releases
            .binary_search_by(|(_, r)| r.target.as_str().cmp(key));
        match found {
            Ok(i) => self.releases[i] = (now, release),
            Err(i) if self.releases.len() < MAX_TARGETS => {
                self.releases.insert(i, (now, release));
            }
            Err(_) => {}
        }
        effects
    }

    /// The VM that the target should be referred to, if this VM should not
    /// offer a lease.
    pub(crate) fn referral_target(
        &mut self,
        now: Time,
        i: usize,
        ann: &Announcement,
        live: &[Candidate],
    ) -> Option<SocketAddr> {
        let own_vm = &self.config.vm;
        let is_recent = |at: Time| now.since(at) < self.config.term * REFERRAL_TERMS;
        let record = &self.records[i];
        if let Stage::Released {
            released_at,
            successor,
        } = &record.stage
            && is_recent(*released_at)
            && live.iter().any(|c| c.vm == successor.vm)
        {
            return Some(successor.listener);
        }
        if record.referred_at.is_some_and(is_recent) || self.has_release_for(ann) {
            return None;
        }
        let this_vm = Candidate {
            vm: own_vm.clone(),
            listener: self.config.listener,
        };
        // The target gave up on its holder, so that VM is not a candidate.
        let former_holder = ann.token.as_ref().map(|t| &t.holder);
        let others = live
            .iter()
            .filter(|c| c.vm != *own_vm && Some(&c.vm) != former_holder);
        let others: Vec<_> = others.collect();
        let is_candidate = others.is_empty() || live.iter().any(|c| c.vm == *own_vm);
        let this_vm = is_candidate.then_some(&this_vm);
        let best = candidate::best_candidate(&ann.target, others.into_iter().chain(this_vm))?;
        if best.vm == *own_vm {
            return None;
        }
        self.records[i].referred_at = Some(now);
        Some(best.listener)
    }

    /// Whether another VM released the lease that this announcement's token
    /// identifies.
    pub(crate) fn has_release_for(&self, ann: &Announcement) -> bool {
        let Some(token) = &ann.token else {
            return false;
        };
        self.find_release(&ann.target)
            .is_some_and(|r| r.epoch == token.epoch && r.holder == token.holder.as_str())
    }

    fn find_release(&self, target: &TargetId) -> Option<&LeaseRelease> {
        let found = self
            .releases
            .binary_search_by(|(_, r)| r.target.as_str().cmp(target));
        Some(&self.releases[found.ok()?].1)
    }

    /// The release that allows this VM to send without waiting, if there is
    /// one.
    pub(crate) fn matching_release(&self, i: usize) -> Option<&LeaseRelease> {
        let record = &self.records[i];
        let release = self.find_release(&record.announcement.target)?;
        record.is_successor_of(release).then_some(release)
    }

    /// Lowers the inherited slots after requests of the former holder have
    /// ended.
    fn lower_inherited(&mut self, release: &LeaseRelease) -> Vec<Effect> {
        let found = self
            .records
            .binary_search_by(|r| r.announcement.target.as_str().cmp(&release.target));
        let Ok(i) = found else {
            return Vec::new();
        };
        let record = &mut self.records[i];
        let is_held = matches!(record.stage, Stage::Held { .. });
        if !is_held || !record.is_successor_of(release) || release.used_slots >= record.inherited {
            return Vec::new();
        }
        record.inherited = release.used_slots;
        vec![changed_effect(record)]
    }
}
