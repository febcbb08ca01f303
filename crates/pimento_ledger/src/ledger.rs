//! The ledger: its state and its operations.

use crate::{
    Answer, Cancel, Cause, Claim, ClaimKey, ClaimState, ClaimView, Field, Finish, Free, Holder,
    MAX_ANSWER_BYTES, MAX_CLOCK_ADVANCE_MS, MAX_KEY_LEAD_MS, MAX_TIMEOUT_MS, MAX_TRACKED_VMS,
    Outcome, OutcomeKind, SetCap,
    check::{check_claim_key, check_fingerprint, check_holder, check_resource},
    claims::{ClaimHolder, ClaimId, Claims, Entry, Fingerprint, Status, key_time, oldest_key_time},
    reservations::{Reservations, ReserveError, ResourceId},
};
use pimento_core::VmId;

/// Claims, stored answers and the reservations of capped resources.
///
/// The ledger reads no clock; each operation is passed the wall-clock time of its
/// proposer. Applying the same operations in the same order yields the same
/// state and the same outcomes on every replica.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pub(crate) now: u64,
    pub(crate) claims: Claims,
    pub(crate) reservations: Reservations,
    /// The newest incarnation of each entry VM, sorted by VM.
    pub(crate) incarnations: Vec<(VmId, u64)>,
}

type OpResult = Result<OutcomeKind, Field>;

impl Ledger {
    /// Returns the log's time, in milliseconds since the Unix epoch.
    pub const fn now(&self) -> u64 {
        self.now
    }

    /// Applies a claim of the right to run a request.
    pub fn claim(&mut self, time: u64, op: &Claim) -> Outcome {
        into_outcome(self.try_claim(time, op))
    }

    /// Applies the report that a request ran.
    pub fn finish(&mut self, time: u64, op: &Finish) -> Outcome {
        into_outcome(self.try_finish(time, op))
    }

    /// Applies the report that a request was not run.
    pub fn free(&mut self, time: u64, op: &Free) -> Outcome {
        into_outcome(self.try_free(time, op))
    }

    /// Applies the report that a cancelling request ran.
    pub fn cancel(&mut self, time: u64, op: &Cancel) -> Outcome {
        into_outcome(self.try_cancel(time, op))
    }

    /// Sets the limit of a resource, or removes the resource.
    pub fn set_cap(&mut self, op: &SetCap) -> Outcome {
        into_outcome(self.try_set_cap(op))
    }

    /// Returns a claim as operators see it, if it is still kept.
    pub fn view(&self, claim_key: &ClaimKey) -> Option<ClaimView> {
        let id = check_claim_key(Some(claim_key)).ok()?;
        let entry = self.claims.get(&id)?;
        let state = match &entry.status {
            Status::Held { deadline } => ClaimState::Held {
                deadline: *deadline,
            },
            Status::Done { answer } => ClaimState::Done {
                stored: answer.is_some(),
            },
            Status::Free => ClaimState::Free,
        };
        Some(ClaimView {
            state,
            holder: entry.holder.view(),
            resource: entry.resource.as_deref().map(str::to_owned),
        })
    }

    /// Returns the limit that operators set for a resource, if any, and the number
    /// of its reservations. Returns `None` for an unknown resource.
    pub fn cap_usage(&self, service: &str, resource: &str) -> Option<(Option<u32>, usize)> {
        let id = check_resource(service.parse().ok()?, resource).ok()?;
        let resource = self.reservations.get(&id)?;
        Some((resource.limit, resource.reserved_by.len()))
    }

    /// Returns the number of kept claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the total size of the stored answers, in bytes.
    pub const fn answer_bytes(&self) -> usize {
        self.claims.answer_bytes()
    }

    /// Advances the log's time and removes the claims that expire.
    ///
    /// The time never decreases. Two clocks limit it, that of the proposer and
    /// that of the caller who created the key, so that neither can move it far
    /// ahead on its own.
    fn advance_time(&mut self, time: u64, id: &ClaimId) {
        let latest = key_time(&id.key).saturating_add(MAX_CLOCK_ADVANCE_MS);
        self.now = self.now.max(time.min(latest));
        self.claims.expire(self.now);
    }

    fn try_claim(&mut self, time: u64, op: &Claim) -> OpResult {
        let id = check_claim_key(op.claim_key.as_ref())?;
        let fingerprint = check_fingerprint(&op.fingerprint)?;
        let holder = check_holder(op.holder.as_ref())?;
        let resource = op.resource.as_deref();
        let resource = resource.map(|name| check_resource(id.service.clone(), name));
        let resource = resource.transpose()?;
        self.advance_time(time, &id);
        self.record_incarnation(&holder);
        let created = key_time(&id.key);
        if created < oldest_key_time(self.now) {
            return Ok(OutcomeKind::TooOld(oldest_key_time(self.now)));
        }
        if created > self.now.saturating_add(MAX_KEY_LEAD_MS) {
            return Err(Field::Key);
        }
        if let Some(entry) = self.claims.get(&id)
            && let Some(kind) = self.outcome_of_known_claim(entry, &holder, &fingerprint)
        {
            return Ok(kind);
        }
        let deadline = self.now.saturating_add(op.timeout.min(MAX_TIMEOUT_MS));
        let entry = Entry {
            holder,
            fingerprint,
            status: Status::Held { deadline },
            resource: resource.as_ref().map(|resource| resource.name.clone()),
        };
        Ok(self.grant(id, entry, resource, op.limit))
    }

    /// Returns the outcome for a claim whose key is known, or `None` if it may be
    /// granted again.
    fn outcome_of_known_claim(
        &self,
        entry: &Entry,
        holder: &ClaimHolder,
        fingerprint: &Fingerprint,
    ) -> Option<OutcomeKind> {
        let same_holder = entry.holder == *holder;
        match &entry.status {
            // A late duplicate from the attempt that freed the claim; no one waits
            // for its outcome any more.
            Status::Free if same_holder => Some(OutcomeKind::NotHolder(())),
            Status::Free => None,
            _ if entry.fingerprint != *fingerprint => Some(OutcomeKind::Mismatch(())),
            Status::Held { .. } if same_holder => Some(OutcomeKind::Granted(())),
            Status::Held { deadline } => Some(self.outcome_while_held(&entry.holder, *deadline)),
            Status::Done {
                answer: Some(answer),
            } => Some(OutcomeKind::Replay(Answer::clone(answer))),
            Status::Done { answer: None } => Some(OutcomeKind::MayHaveRun(Cause::NotStored.into())),
        }
    }

    /// Returns the outcome for a resend while another attempt holds the claim.
    fn outcome_while_held(&self, holder: &ClaimHolder, deadline: u64) -> OutcomeKind {
        let newest = self
            .incarnations
            .binary_search_by(|(vm, _)| vm.cmp(&holder.vm));
        let replaced = newest.is_ok_and(|index| self.incarnations[index].1 > holder.incarnation);
        match deadline.checked_sub(self.now) {
            _ if replaced => OutcomeKind::MayHaveRun(Cause::HolderDied.into()),
            None | Some(0) => OutcomeKind::MayHaveRun(Cause::Expired.into()),
            Some(remaining) => OutcomeKind::InFlight(remaining),
        }
    }

    fn grant(
        &mut self,
        id: ClaimId,
        entry: Entry,
        resource: Option<ResourceId>,
        limit: u32,
    ) -> OutcomeKind {
        let known = self.claims.get(&id).is_some();
        if !known && self.claims.is_full(&id.tenant) {
            return OutcomeKind::LedgerFull(());
        }
        if let Some(resource) = resource {
            match self.reservations.reserve(resource, limit, &id) {
                Ok(()) => {}
                Err(ReserveError::CapFull(limit)) => return OutcomeKind::CapFull(limit),
                Err(ReserveError::LedgerFull) => return OutcomeKind::LedgerFull(()),
            }
        }
        self.claims.insert(id, entry);
        OutcomeKind::Granted(())
    }

    /// Records the incarnation of an entry VM if it is newer than the known one.
    fn record_incarnation(&mut self, holder: &ClaimHolder) {
        let index = self
            .incarnations
            .binary_search_by(|(vm, _)| vm.cmp(&holder.vm));
        match index {
            Ok(index) => {
                let newest = &mut self.incarnations[index].1;
                *newest = (*newest).max(holder.incarnation);
            }
            Err(index) if self.incarnations.len() < MAX_TRACKED_VMS => {
                let newest = (holder.vm.clone(), holder.incarnation);
                self.incarnations.insert(index, newest);
            }
            Err(_) => {}
        }
    }

    fn try_finish(&mut self, time: u64, op: &Finish) -> OpResult {
        let id = check_claim_key(op.claim_key.as_ref())?;
        let holder = check_holder(op.holder.as_ref())?;
        self.advance_time(time, &id);
        let entry = self.claims.get(&id).filter(|entry| entry.holder == holder);
        let Some(entry) = entry else {
            return Ok(OutcomeKind::NotHolder(()));
        };
        match &entry.status {
            Status::Free => Ok(OutcomeKind::NotHolder(())),
            Status::Done { answer } => Ok(OutcomeKind::Finished(answer.is_some())),
            Status::Held { .. } => {
                let answer = op
                    .answer
                    .as_ref()
                    .filter(|answer| self.can_store(&id, answer));
                let stored = answer.is_some();
                self.claims.mark_done(&id, answer.cloned().map(Box::new));
                Ok(OutcomeKind::Finished(stored))
            }
        }
    }

    fn can_store(&self, id: &ClaimId, answer: &Answer) -> bool {
        let size = answer.size();
        size <= MAX_ANSWER_BYTES && self.claims.can_store_answer(&id.tenant, size)
    }

    fn try_free(&mut self, time: u64, op: &Free) -> OpResult {
        let id = check_claim_key(op.claim_key.as_ref())?;
        let holder = check_holder(op.holder.as_ref())?;
        self.advance_time(time, &id);
        let Some(entry) = self.claims.get(&id) else {
            return Ok(self.record_abandoned(id, holder));
        };
        if entry.holder != holder {
            return Ok(OutcomeKind::NotHolder(()));
        }
        match &entry.status {
            Status::Done { .. } => Ok(OutcomeKind::NotHolder(())),
            Status::Free => Ok(OutcomeKind::Freed(())),
            Status::Held { .. } => {
                self.free_claim(&id);
                Ok(OutcomeKind::Freed(()))
            }
        }
    }

    /// Records that an attempt was abandoned before its claim arrived, so that the
    /// claim is not granted to an attempt that no longer exists if it arrives late.
    fn record_abandoned(&mut self, id: ClaimId, holder: ClaimHolder) -> OutcomeKind {
        let created = key_time(&id.key);
        let in_range = created >= oldest_key_time(self.now)
            && created <= self.now.saturating_add(MAX_KEY_LEAD_MS);
        if !in_range || self.claims.is_full(&id.tenant) {
            return OutcomeKind::NotHolder(());
        }
        let entry = Entry {
            holder,
            fingerprint: Fingerprint::default(),
            status: Status::Free,
            resource: None,
        };
        self.claims.insert(id, entry);
        OutcomeKind::Freed(())
    }

    /// Frees a held claim and releases its reservation.
    fn free_claim(&mut self, id: &ClaimId) {
        let Some(entry) = self.claims.get_mut(id) else {
            return;
        };
        entry.status = Status::Free;
        let Some(name) = entry.resource.take() else {
            return;
        };
        let service = id.service.clone();
        self.reservations.release(&ResourceId { service, name }, id);
    }

    fn try_cancel(&mut self, time: u64, op: &Cancel) -> OpResult {
        let id = check_claim_key(op.claim_key.as_ref())?;
        let resource = check_resource(id.service.clone(), &op.resource)?;
        self.advance_time(time, &id);
        let entry = self.claims.get(&id);
        let held = entry.is_some_and(|entry| matches!(entry.status, Status::Held { .. }));
        if held {
            return Ok(OutcomeKind::Unfinished(()));
        }
        Ok(OutcomeKind::Cancelled(
            self.reservations.release(&resource, &id),
        ))
    }

    fn try_set_cap(&mut self, op: &SetCap) -> OpResult {
        let service = op.service.parse().ok().ok_or(Field::Service)?;
        let resource = check_resource(service, &op.resource)?;
        let reserved = self.reservations.set_limit(resource, op.limit);
        Ok(reserved.map_or(OutcomeKind::LedgerFull(()), OutcomeKind::CapSet))
    }
}

impl ClaimHolder {
    pub(crate) fn view(&self) -> Holder {
        Holder {
            vm: self.vm.to_string(),
            incarnation: self.incarnation,
            attempt: self.attempt,
        }
    }
}

fn into_outcome(result: OpResult) -> Outcome {
    let kind = result.unwrap_or_else(|field| OutcomeKind::Malformed(field.into()));
    kind.into()
}

impl PartialEq for Ledger {
    fn eq(&self, other: &Self) -> bool {
        self.now == other.now
            && self.reservations == other.reservations
            && self.incarnations == other.incarnations
            && self.claims.iter().eq(other.claims.iter())
    }
}

impl Eq for Ledger {}
