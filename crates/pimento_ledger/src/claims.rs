//! The table of kept claims.

use crate::{
    Answer, Holder,
    limits::{
        MAX_CLAIMS, MAX_TENANT_ANSWER_BYTES, MAX_TENANT_CLAIMS, MAX_TOTAL_ANSWER_BYTES,
        RETENTION_MS,
    },
};
use pimento_core::{ServiceId, TenantId, VmId};
use std::collections::BTreeMap;

/// The bytes of an idempotency key, a `UUIDv7`.
pub(crate) type KeyBytes = [u8; 16];

/// The bytes of a request's fingerprint.
pub(crate) type Fingerprint = [u8; 32];

/// A validated [`crate::ClaimKey`].
///
/// The key is the first field and starts with its creation time, so that the
/// oldest claims sort first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ClaimId {
    pub key: KeyBytes,
    pub tenant: TenantId,
    pub service: ServiceId,
}

/// A validated [`Holder`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ClaimHolder {
    pub vm: VmId,
    pub incarnation: u64,
    pub attempt: u64,
}

/// The progress of a claim, with its stored answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Status {
    /// Granted, but no result is recorded yet. The deadline is in the log's time.
    Held { deadline: u64 },
    /// The request ran. The answer is present if it is stored.
    Done { answer: Option<Box<Answer>> },
    /// The request was not run, so the claim may be granted again.
    Free,
}

/// A claim in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub holder: ClaimHolder,
    pub fingerprint: Fingerprint,
    pub status: Status,
    /// The capped resource of which the claim made a reservation.
    pub resource: Option<Box<str>>,
}

impl Entry {
    fn answer_size(&self) -> usize {
        match &self.status {
            Status::Done {
                answer: Some(answer),
            } => answer.size(),
            _ => 0,
        }
    }
}

/// The progress of a claim, as operators see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// An attempt holds the claim and may be running the request.
    Held {
        /// When the attempt times out, in the log's time, in milliseconds since
        /// the Unix epoch.
        deadline: u64,
    },
    /// The request ran.
    Done {
        /// Whether the answer is stored.
        stored: bool,
    },
    /// The request was not run, so the claim may be granted again.
    Free,
}

/// A claim as operators see it, without its fingerprint and answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimView {
    /// The progress of the claim.
    pub state: ClaimState,
    /// The attempt to which the claim was granted most recently, or which was
    /// abandoned before its claim arrived.
    pub holder: Holder,
    /// The capped resource of which the claim made a reservation.
    pub resource: Option<String>,
}

/// What the claims of one tenant occupy in the ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
struct TenantUsage {
    tenant: TenantId,
    claims: usize,
    answer_bytes: usize,
}

/// The kept claims, oldest key first.
///
/// This is a tree and not a sorted vector, because up to 150,000 claims are kept
/// and callers choose the times in their keys, so claims can be inserted
/// anywhere.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    entries: BTreeMap<ClaimId, Entry>,
    usage: Vec<TenantUsage>,
    answer_bytes: usize,
}

/// Returns the creation time in a `UUIDv7`, in milliseconds since the Unix
/// epoch.
pub(crate) fn key_time(key: &KeyBytes) -> u64 {
    let time = [0, 0, key[0], key[1], key[2], key[3], key[4], key[5]];
    u64::from_be_bytes(time)
}

impl Claims {
    pub(crate) fn get(&self, id: &ClaimId) -> Option<&Entry> {
        self.entries.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &ClaimId) -> Option<&mut Entry> {
        self.entries.get_mut(id)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ClaimId, &Entry)> {
        self.entries.iter()
    }

    /// Returns whether a new claim of a tenant would exceed a limit.
    pub(crate) fn is_full(&self, tenant: &TenantId) -> bool {
        let tenant_claims = self.usage(tenant).map_or(0, |usage| usage.claims);
        self.len() >= MAX_CLAIMS || tenant_claims >= MAX_TENANT_CLAIMS
    }

    /// Returns whether an answer of a tenant can be stored within the limits.
    pub(crate) fn can_store_answer(&self, tenant: &TenantId, size: usize) -> bool {
        let tenant_bytes = self.usage(tenant).map_or(0, |usage| usage.answer_bytes);
        self.answer_bytes + size <= MAX_TOTAL_ANSWER_BYTES
            && tenant_bytes + size <= MAX_TENANT_ANSWER_BYTES
    }

    /// Adds or replaces a claim.
    pub(crate) fn insert(&mut self, id: ClaimId, entry: Entry) {
        self.remove(&id);
        let size = entry.answer_size();
        self.answer_bytes += size;
        let usage = self.usage_mut(&id.tenant);
        usage.claims += 1;
        usage.answer_bytes += size;
        self.entries.insert(id, entry);
    }

    /// Records that the request of a claim ran.
    pub(crate) fn mark_done(&mut self, id: &ClaimId, answer: Option<Box<Answer>>) {
        let Some(mut entry) = self.remove(id) else {
            return;
        };
        entry.status = Status::Done { answer };
        self.insert(id.clone(), entry);
    }

    /// Removes the claims whose keys are older than the retention.
    pub(crate) fn expire(&mut self, now: u64) {
        let oldest = oldest_key_time(now);
        while let Some((id, _)) = self.entries.first_key_value() {
            if key_time(&id.key) >= oldest {
                return;
            }
            let id = id.clone();
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &ClaimId) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        let size = entry.answer_size();
        self.answer_bytes -= size;
        let index = self.usage.binary_search_by(|u| u.tenant.cmp(&id.tenant));
        if let Ok(index) = index {
            let usage = &mut self.usage[index];
            usage.claims -= 1;
            usage.answer_bytes -= size;
            if usage.claims == 0 {
                self.usage.remove(index);
            }
        }
        Some(entry)
    }

    fn usage(&self, tenant: &TenantId) -> Option<&TenantUsage> {
        let index = self.usage.binary_search_by(|u| u.tenant.cmp(tenant));
        index.ok().map(|index| &self.usage[index])
    }

    fn usage_mut(&mut self, tenant: &TenantId) -> &mut TenantUsage {
        let index = self.usage.binary_search_by(|u| u.tenant.cmp(tenant));
        let index = index.unwrap_or_else(|index| {
            let usage = TenantUsage {
                tenant: tenant.clone(),
                claims: 0,
                answer_bytes: 0,
            };
            self.usage.insert(index, usage);
            index
        });
        &mut self.usage[index]
    }
}

/// Returns the earliest creation time of keys that are not too old.
pub(crate) const fn oldest_key_time(now: u64) -> u64 {
    now.saturating_sub(RETENTION_MS)
}
