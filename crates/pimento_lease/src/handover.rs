//! Releases, and targets that should go to another VM.

use crate::{
    Announcement, Candidate, Effect, LeaseRelease, Leases, choice,
    leases::{MAX_TARGETS, changed},
    record::{Record, Stage},
};
use pimento_core::{TargetId, Time};
use std::net::SocketAddr;

/// The terms within which a target that was sent to another VM and comes back
/// is taken, since it evidently couldn't reach that VM.
const REFERRAL: u32 = 5;

impl Leases {
    /// Gives a lease up in a planned hand-over.
    ///
    /// The permission ends at once. `used` counts this VM's requests that the
    /// target still runs. Returns the next holder and the release to send to
    /// it. Called again with fewer requests, it returns the release that tells
    /// the next holder so. Returns `None` if this VM may not send itself or
    /// knows no other VM.
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
        let to = match &record.stage {
            Stage::Held { valid_from, .. } if *valid_from <= now => {
                choice::best(target, others)?.clone()
            }
            Stage::Released { to, .. } => to.clone(),
            _ => return None,
        };
        record.stage = Stage::Released {
            at: now,
            to: to.clone(),
        };
        let release = LeaseRelease {
            target: target.to_string(),
            target_instance: record.facts.instance,
            epoch: record.epoch,
            holder: self.config.vm.to_string(),
            holder_instance: self.config.instance,
            used_slots: used.saturating_add(record.inherited),
            drained: record.drained,
        };
        Some((to, release))
    }

    /// The targets that this VM gave up lately.
    ///
    /// While requests of this VM still run at one, [`Self::release`] is called
    /// again, so that the next holder learns when they end.
    pub fn released_targets(&self) -> impl Iterator<Item = &TargetId> {
        let released = |r: &&Record| matches!(r.stage, Stage::Released { .. });
        let records = self.records.iter().filter(released);
        records.map(|r| &r.facts.target)
    }

    /// Takes a release by another VM.
    pub fn accept_release(&mut self, now: Time, release: LeaseRelease) -> Vec<Effect> {
        let effects = self.lower(&release);
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

    /// The other VM that the target should go to, if this one shouldn't offer.
    pub(crate) fn refer(
        &mut self,
        now: Time,
        i: usize,
        ann: &Announcement,
        live: &[Candidate],
    ) -> Option<SocketAddr> {
        let me = &self.config.vm;
        let recent = |at: Time| now.since(at) < self.config.term * REFERRAL;
        let record = &self.records[i];
        if let Stage::Released { at, to } = &record.stage
            && recent(*at)
            && live.iter().any(|c| c.vm == to.vm)
        {
            return Some(to.listener);
        }
        if record.referred.is_some_and(recent) || self.expects(ann) {
            return None;
        }
        let own = Candidate {
            vm: me.clone(),
            listener: self.config.listener,
        };
        // The target left its holder, so that one is no choice.
        let left = ann.token.as_ref().map(|t| &t.holder);
        let others = live.iter().filter(|c| c.vm != *me && Some(&c.vm) != left);
        let others: Vec<_> = others.collect();
        let stays = others.is_empty() || live.iter().any(|c| c.vm == *me);
        let own = stays.then_some(&own);
        let best = choice::best(&ann.target, others.into_iter().chain(own))?;
        if best.vm == *me {
            return None;
        }
        self.records[i].referred = Some(now);
        Some(best.listener)
    }

    /// Whether a release names this target's token.
    pub(crate) fn expects(&self, ann: &Announcement) -> bool {
        let Some(token) = &ann.token else {
            return false;
        };
        self.release_of(&ann.target)
            .is_some_and(|r| r.epoch == token.epoch && r.holder == token.holder.as_str())
    }

    fn release_of(&self, target: &TargetId) -> Option<&LeaseRelease> {
        let found = self
            .releases
            .binary_search_by(|(_, r)| r.target.as_str().cmp(target));
        Some(&self.releases[found.ok()?].1)
    }

    /// The release that lets this VM send without a wait, if there is one.
    pub(crate) fn matching(&self, i: usize) -> Option<&LeaseRelease> {
        let record = &self.records[i];
        let release = self.release_of(&record.facts.target)?;
        record.follows(release).then_some(release)
    }

    /// Lowers the carried slots when the former holder's requests have ended.
    fn lower(&mut self, release: &LeaseRelease) -> Vec<Effect> {
        let found = self
            .records
            .binary_search_by(|r| r.facts.target.as_str().cmp(&release.target));
        let Ok(i) = found else {
            return Vec::new();
        };
        let record = &mut self.records[i];
        let held = matches!(record.stage, Stage::Held { .. });
        if !held || !record.follows(release) || release.used_slots >= record.inherited {
            return Vec::new();
        }
        record.inherited = release.used_slots;
        vec![changed(record)]
    }
}
