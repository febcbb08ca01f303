//! The ledger itself.

use crate::{
    Answer, Cancel, Cause, Claim, ClaimKey, ClaimState, ClaimView, Field, Finish, Free, Holder,
    MAX_ANSWER_BYTES, MAX_CLOCK_ADVANCE_MS, MAX_KEY_LEAD_MS, MAX_TIMEOUT_MS, MAX_TRACKED_VMS,
    Outcome, OutcomeKind, SetCap,
    check::{check_holder, check_print, check_resource, check_slot},
    claims::{Claims, Entry, Id, Owner, Print, Status, horizon, key_time},
    places::{NoPlace, Places, ResourceId},
};
use pimento_core::VmId;

/// Claims, stored answers and caps.
///
/// Every operation is handed the wall-clock time of its proposer; the ledger
/// reads no clock. The same operations in the same order give the same ledger
/// and the same outcomes on every replica.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    pub(crate) now: u64,
    pub(crate) claims: Claims,
    pub(crate) places: Places,
    /// The newest process of each entry VM, sorted by VM.
    pub(crate) processes: Vec<(VmId, u64)>,
}

type Done = Result<OutcomeKind, Field>;

impl Ledger {
    /// The time of the log, in milliseconds since the Unix epoch.
    pub const fn now(&self) -> u64 {
        self.now
    }

    /// Applies a claim.
    pub fn claim(&mut self, time: u64, op: &Claim) -> Outcome {
        finish(self.try_claim(time, op))
    }

    /// Applies the record that a request ran.
    pub fn finish(&mut self, time: u64, op: &Finish) -> Outcome {
        finish(self.try_finish(time, op))
    }

    /// Applies the record that a request was not run.
    pub fn free(&mut self, time: u64, op: &Free) -> Outcome {
        finish(self.try_free(time, op))
    }

    /// Applies a cancellation that ran.
    pub fn cancel(&mut self, time: u64, op: &Cancel) -> Outcome {
        finish(self.try_cancel(time, op))
    }

    /// Sets or forgets the limit of a resource.
    pub fn set_cap(&mut self, op: &SetCap) -> Outcome {
        finish(self.try_set(op))
    }

    /// A claim that is still kept.
    pub fn view(&self, slot: &ClaimKey) -> Option<ClaimView> {
        let id = check_slot(Some(slot)).ok()?;
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
            holder: entry.owner.view(),
            resource: entry.resource.as_deref().map(str::to_owned),
        })
    }

    /// The limit that operators set for a resource, and its places taken.
    pub fn cap_usage(&self, service: &str, resource: &str) -> Option<(Option<u32>, usize)> {
        let id = check_resource(service.parse().ok()?, resource).ok()?;
        let resource = self.places.get(&id)?;
        Some((resource.limit, resource.taken.len()))
    }

    /// The number of kept claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The bytes of stored answers.
    pub const fn answer_bytes(&self) -> usize {
        self.claims.answer_bytes()
    }

    /// Moves the time of the log, never back.
    ///
    /// Two clocks bound it: that of the proposer and that of the caller who
    /// made the key. One of them alone can't carry it far ahead.
    fn advance(&mut self, time: u64, id: &Id) {
        let bound = key_time(&id.key).saturating_add(MAX_CLOCK_ADVANCE_MS);
        self.now = self.now.max(time.min(bound));
        self.claims.expire(self.now);
    }

    fn try_claim(&mut self, time: u64, op: &Claim) -> Done {
        let id = check_slot(op.claim_key.as_ref())?;
        let print = check_print(&op.fingerprint)?;
        let owner = check_holder(op.holder.as_ref())?;
        let resource = op.resource.as_deref();
        let resource = resource.map(|name| check_resource(id.service.clone(), name));
        let resource = resource.transpose()?;
        self.advance(time, &id);
        self.saw(&owner);
        let made = key_time(&id.key);
        if made < horizon(self.now) {
            return Ok(OutcomeKind::TooOld(horizon(self.now)));
        }
        if made > self.now.saturating_add(MAX_KEY_LEAD_MS) {
            return Err(Field::Key);
        }
        if let Some(entry) = self.claims.get(&id)
            && let Some(kind) = self.standing(entry, &owner, &print)
        {
            return Ok(kind);
        }
        let deadline = self.now.saturating_add(op.timeout.min(MAX_TIMEOUT_MS));
        let entry = Entry {
            owner,
            print,
            status: Status::Held { deadline },
            resource: resource.as_ref().map(|resource| resource.name.clone()),
        };
        Ok(self.grant(id, entry, resource, op.limit))
    }

    /// The answer to a claim whose key is known; none if it may be granted.
    fn standing(&self, entry: &Entry, owner: &Owner, print: &Print) -> Option<OutcomeKind> {
        let same = entry.owner == *owner;
        match &entry.status {
            // A late duplicate of the attempt that was freed: nobody waits for
            // it any more.
            Status::Free if same => Some(OutcomeKind::NotHolder(())),
            Status::Free => None,
            _ if entry.print != *print => Some(OutcomeKind::Mismatch(())),
            Status::Held { .. } if same => Some(OutcomeKind::Granted(())),
            Status::Held { deadline } => Some(self.held(&entry.owner, *deadline)),
            Status::Done {
                answer: Some(answer),
            } => Some(OutcomeKind::Replay(Answer::clone(answer))),
            Status::Done { answer: None } => Some(OutcomeKind::MayHaveRun(Cause::NotStored.into())),
        }
    }

    /// The answer to a resend while another attempt holds the claim.
    fn held(&self, owner: &Owner, deadline: u64) -> OutcomeKind {
        let newest = self.processes.binary_search_by(|(vm, _)| vm.cmp(&owner.vm));
        let replaced = newest.is_ok_and(|at| self.processes[at].1 > owner.incarnation);
        match deadline.checked_sub(self.now) {
            _ if replaced => OutcomeKind::MayHaveRun(Cause::HolderDied.into()),
            None | Some(0) => OutcomeKind::MayHaveRun(Cause::Expired.into()),
            Some(left) => OutcomeKind::InFlight(left),
        }
    }

    fn grant(
        &mut self,
        id: Id,
        entry: Entry,
        resource: Option<ResourceId>,
        limit: u32,
    ) -> OutcomeKind {
        let known = self.claims.get(&id).is_some();
        if !known && self.claims.is_full(&id.tenant) {
            return OutcomeKind::LedgerFull(());
        }
        if let Some(resource) = resource {
            match self.places.take(resource, limit, &id) {
                Ok(()) => {}
                Err(NoPlace::Full(limit)) => return OutcomeKind::CapFull(limit),
                Err(NoPlace::Bounded) => return OutcomeKind::LedgerFull(()),
            }
        }
        self.claims.insert(id, entry);
        OutcomeKind::Granted(())
    }

    /// Notes the newest process of an entry VM.
    fn saw(&mut self, owner: &Owner) {
        let at = self.processes.binary_search_by(|(vm, _)| vm.cmp(&owner.vm));
        match at {
            Ok(at) => {
                let newest = &mut self.processes[at].1;
                *newest = (*newest).max(owner.incarnation);
            }
            Err(at) if self.processes.len() < MAX_TRACKED_VMS => {
                let process = (owner.vm.clone(), owner.incarnation);
                self.processes.insert(at, process);
            }
            Err(_) => {}
        }
    }

    fn try_finish(&mut self, time: u64, op: &Finish) -> Done {
        let id = check_slot(op.claim_key.as_ref())?;
        let owner = check_holder(op.holder.as_ref())?;
        self.advance(time, &id);
        let entry = self.claims.get(&id).filter(|entry| entry.owner == owner);
        let Some(entry) = entry else {
            return Ok(OutcomeKind::NotHolder(()));
        };
        match &entry.status {
            Status::Free => Ok(OutcomeKind::NotHolder(())),
            Status::Done { answer } => Ok(OutcomeKind::Finished(answer.is_some())),
            Status::Held { .. } => {
                let answer = op.answer.as_ref().filter(|answer| self.keeps(&id, answer));
                let stored = answer.is_some();
                self.claims.finish(&id, answer.cloned().map(Box::new));
                Ok(OutcomeKind::Finished(stored))
            }
        }
    }

    fn keeps(&self, id: &Id, answer: &Answer) -> bool {
        let size = answer.size();
        size <= MAX_ANSWER_BYTES && self.claims.fits(&id.tenant, size)
    }

    fn try_free(&mut self, time: u64, op: &Free) -> Done {
        let id = check_slot(op.claim_key.as_ref())?;
        let owner = check_holder(op.holder.as_ref())?;
        self.advance(time, &id);
        let Some(entry) = self.claims.get(&id) else {
            return Ok(self.refuse(id, owner));
        };
        if entry.owner != owner {
            return Ok(OutcomeKind::NotHolder(()));
        }
        match &entry.status {
            Status::Done { .. } => Ok(OutcomeKind::NotHolder(())),
            Status::Free => Ok(OutcomeKind::Freed(())),
            Status::Held { .. } => {
                self.release(&id);
                Ok(OutcomeKind::Freed(()))
            }
        }
    }

    /// Remembers that an attempt was given up before its claim arrived, so that
    /// a claim which comes late is not granted to nobody.
    fn refuse(&mut self, id: Id, owner: Owner) -> OutcomeKind {
        let made = key_time(&id.key);
        let kept = made >= horizon(self.now) && made <= self.now.saturating_add(MAX_KEY_LEAD_MS);
        if !kept || self.claims.is_full(&id.tenant) {
            return OutcomeKind::NotHolder(());
        }
        let entry = Entry {
            owner,
            print: Print::default(),
            status: Status::Free,
            resource: None,
        };
        self.claims.insert(id, entry);
        OutcomeKind::Freed(())
    }

    /// Frees a held claim and its place.
    fn release(&mut self, id: &Id) {
        let Some(entry) = self.claims.get_mut(id) else {
            return;
        };
        entry.status = Status::Free;
        let Some(name) = entry.resource.take() else {
            return;
        };
        let service = id.service.clone();
        self.places.give_back(&ResourceId { service, name }, id);
    }

    fn try_cancel(&mut self, time: u64, op: &Cancel) -> Done {
        let id = check_slot(op.claim_key.as_ref())?;
        let resource = check_resource(id.service.clone(), &op.resource)?;
        self.advance(time, &id);
        let entry = self.claims.get(&id);
        let held = entry.is_some_and(|entry| matches!(entry.status, Status::Held { .. }));
        if held {
            return Ok(OutcomeKind::Unfinished(()));
        }
        Ok(OutcomeKind::Cancelled(
            self.places.give_back(&resource, &id),
        ))
    }

    fn try_set(&mut self, op: &SetCap) -> Done {
        let service = op.service.parse().ok().ok_or(Field::Service)?;
        let resource = check_resource(service, &op.resource)?;
        let taken = self.places.set(resource, op.limit);
        Ok(taken.map_or(OutcomeKind::LedgerFull(()), OutcomeKind::CapSet))
    }
}

impl Owner {
    pub(crate) fn view(&self) -> Holder {
        Holder {
            vm: self.vm.to_string(),
            incarnation: self.incarnation,
            attempt: self.attempt,
        }
    }
}

fn finish(done: Done) -> Outcome {
    let kind = done.unwrap_or_else(|field| OutcomeKind::Malformed(field.into()));
    kind.into()
}

impl PartialEq for Ledger {
    fn eq(&self, other: &Self) -> bool {
        self.now == other.now
            && self.places == other.places
            && self.processes == other.processes
            && self.claims.iter().eq(other.claims.iter())
    }
}

impl Eq for Ledger {}
