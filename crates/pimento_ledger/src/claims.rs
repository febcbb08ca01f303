//! The kept claims.

use crate::{
    Answer, Holder,
    limits::{
        MAX_CLAIMS, MAX_TENANT_ANSWER_BYTES, MAX_TENANT_CLAIMS, MAX_TOTAL_ANSWER_BYTES,
        RETENTION_MS,
    },
};
use pimento_core::{ServiceId, TenantId, VmId};
use std::collections::BTreeMap;

/// The bytes of a key.
pub(crate) type Key = [u8; 16];

/// The bytes of a fingerprint.
pub(crate) type Print = [u8; 32];

/// A checked [`crate::ClaimKey`]. The key comes first, and begins with its time, so
/// that the oldest claims come first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Id {
    pub key: Key,
    pub tenant: TenantId,
    pub service: ServiceId,
}

/// A checked [`Holder`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Owner {
    pub vm: VmId,
    pub incarnation: u64,
    pub attempt: u64,
}

/// What is known of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Status {
    /// Granted and not answered; the deadline is in the log's time.
    Held { deadline: u64 },
    /// Ran, with the answer if it is stored.
    Done { answer: Option<Box<Answer>> },
    /// Not run; the next claim is granted.
    Free,
}

/// A kept claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    pub owner: Owner,
    pub print: Print,
    pub status: Status,
    /// The resource whose place the claim took.
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

/// How far a claim has come, as operators see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimState {
    /// An attempt may be running it, until this time of the log in
    /// milliseconds since the Unix epoch.
    Held {
        /// The end of the attempt.
        deadline: u64,
    },
    /// It ran.
    Done {
        /// Whether the answer is stored.
        stored: bool,
    },
    /// It was not run.
    Free,
}

/// A claim as operators see it: without fingerprint and answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimView {
    /// How far it has come.
    pub state: ClaimState,
    /// The newest attempt.
    pub holder: Holder,
    /// The resource that it counts against.
    pub resource: Option<String>,
}

/// What one tenant takes of the ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Usage {
    tenant: TenantId,
    claims: usize,
    answers: usize,
}

/// The kept claims, oldest key first.
///
/// A tree rather than a sorted vector: 150,000 claims are kept,
/// and callers choose the times in their keys, so that an insertion can come
/// anywhere.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    entries: BTreeMap<Id, Entry>,
    usage: Vec<Usage>,
    answers: usize,
}

/// The time in a `UUIDv7`, in milliseconds since the Unix epoch.
pub(crate) fn key_time(key: &Key) -> u64 {
    let time = [0, 0, key[0], key[1], key[2], key[3], key[4], key[5]];
    u64::from_be_bytes(time)
}

impl Claims {
    pub(crate) fn get(&self, id: &Id) -> Option<&Entry> {
        self.entries.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &Id) -> Option<&mut Entry> {
        self.entries.get_mut(id)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) const fn answer_bytes(&self) -> usize {
        self.answers
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Id, &Entry)> {
        self.entries.iter()
    }

    /// Whether a new claim of a tenant would pass a bound.
    pub(crate) fn is_full(&self, tenant: &TenantId) -> bool {
        let own = self.usage(tenant).map_or(0, |usage| usage.claims);
        self.len() >= MAX_CLAIMS || own >= MAX_TENANT_CLAIMS
    }

    /// Whether an answer of a tenant may still be stored.
    pub(crate) fn fits(&self, tenant: &TenantId, size: usize) -> bool {
        let own = self.usage(tenant).map_or(0, |usage| usage.answers);
        self.answers + size <= MAX_TOTAL_ANSWER_BYTES && own + size <= MAX_TENANT_ANSWER_BYTES
    }

    /// Adds or replaces a claim.
    pub(crate) fn insert(&mut self, id: Id, entry: Entry) {
        self.remove(&id);
        let size = entry.answer_size();
        self.answers += size;
        let usage = self.usage_mut(&id.tenant);
        usage.claims += 1;
        usage.answers += size;
        self.entries.insert(id, entry);
    }

    /// Records that a claim ran.
    pub(crate) fn finish(&mut self, id: &Id, answer: Option<Box<Answer>>) {
        let Some(mut entry) = self.remove(id) else {
            return;
        };
        entry.status = Status::Done { answer };
        self.insert(id.clone(), entry);
    }

    /// Drops the claims whose keys are older than the retention.
    pub(crate) fn expire(&mut self, now: u64) {
        let horizon = horizon(now);
        while let Some((id, _)) = self.entries.first_key_value() {
            if key_time(&id.key) >= horizon {
                return;
            }
            let id = id.clone();
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &Id) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        let size = entry.answer_size();
        self.answers -= size;
        let at = self.usage.binary_search_by(|u| u.tenant.cmp(&id.tenant));
        if let Ok(at) = at {
            let usage = &mut self.usage[at];
            usage.claims -= 1;
            usage.answers -= size;
            if usage.claims == 0 {
                self.usage.remove(at);
            }
        }
        Some(entry)
    }

    fn usage(&self, tenant: &TenantId) -> Option<&Usage> {
        let at = self.usage.binary_search_by(|u| u.tenant.cmp(tenant));
        at.ok().map(|at| &self.usage[at])
    }

    fn usage_mut(&mut self, tenant: &TenantId) -> &mut Usage {
        let at = self.usage.binary_search_by(|u| u.tenant.cmp(tenant));
        let at = at.unwrap_or_else(|at| {
            let usage = Usage {
                tenant: tenant.clone(),
                claims: 0,
                answers: 0,
            };
            self.usage.insert(at, usage);
            at
        });
        &mut self.usage[at]
    }
}

/// The oldest time in a key that is not refused.
pub(crate) const fn horizon(now: u64) -> u64 {
    now.saturating_sub(RETENTION_MS)
}
