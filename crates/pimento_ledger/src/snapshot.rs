//! Snapshots of the ledger.

use crate::{
    Answer, ClaimKey, Field, Holder, Ledger,
    check::{check_claim_key, check_fingerprint, check_holder, check_resource},
    claims::{ClaimId, Entry, Status},
    reservations::{Resource, ResourceId},
};
use pimento_core::VmId;
use prost::Message as _;

/// The error of restoring a ledger from invalid bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the snapshot of the ledger is damaged")]
pub struct RestoreError;

#[derive(Clone, PartialEq, prost::Message)]
struct WireLedger {
    #[prost(uint64, tag = "1")]
    now: u64,
    #[prost(message, repeated, tag = "2")]
    claims: Vec<WireClaim>,
    #[prost(message, repeated, tag = "3")]
    resources: Vec<WireResource>,
    #[prost(message, repeated, tag = "4")]
    incarnations: Vec<Holder>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireClaim {
    #[prost(message, optional, tag = "1")]
    claim_key: Option<ClaimKey>,
    #[prost(message, optional, tag = "2")]
    holder: Option<Holder>,
    #[prost(bytes = "vec", tag = "3")]
    fingerprint: Vec<u8>,
    #[prost(string, optional, tag = "4")]
    resource: Option<String>,
    /// Present if the claim is held; in the log's time.
    #[prost(uint64, optional, tag = "5")]
    deadline: Option<u64>,
    /// Whether the request of the claim ran.
    #[prost(bool, tag = "6")]
    ran: bool,
    #[prost(message, optional, tag = "7")]
    answer: Option<Answer>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireResource {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    name: String,
    #[prost(uint32, optional, tag = "3")]
    limit: Option<u32>,
    #[prost(message, repeated, tag = "4")]
    reserved_by: Vec<ClaimKey>,
}

impl Ledger {
    /// Encodes the whole ledger as a snapshot.
    ///
    /// The claims and resources are encoded one at a time. The concatenated parts
    /// decode to the same message as if it was encoded at once, but no second copy
    /// of the ledger is needed in memory.
    pub fn snapshot(&self) -> Vec<u8> {
        let pack_incarnation = |(vm, incarnation): &(VmId, u64)| Holder {
            vm: vm.to_string(),
            incarnation: *incarnation,
            attempt: 0,
        };
        let head = WireLedger {
            now: self.now,
            incarnations: self.incarnations.iter().map(pack_incarnation).collect(),
            ..WireLedger::default()
        };
        let mut bytes = head.encode_to_vec();
        for (id, entry) in self.claims.iter() {
            let part = WireLedger {
                claims: vec![pack_claim(id, entry)],
                ..WireLedger::default()
            };
            bytes.extend(part.encode_to_vec());
        }
        for (id, resource) in self.reservations.iter() {
            let part = WireLedger {
                resources: vec![pack_resource(id, resource)],
                ..WireLedger::default()
            };
            bytes.extend(part.encode_to_vec());
        }
        bytes
    }

    /// Restores a ledger from the output of [`Self::snapshot`].
    ///
    /// # Errors
    ///
    /// Returns a [`RestoreError`] if the bytes are not a valid snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let wire = WireLedger::decode(bytes).ok().ok_or(RestoreError)?;
        unpack(&wire).ok().ok_or(RestoreError)
    }
}

fn pack_claim_key(id: &ClaimId) -> ClaimKey {
    ClaimKey {
        key: id.key.to_vec(),
        tenant: id.tenant.to_string(),
        service: id.service.to_string(),
    }
}

fn pack_claim(id: &ClaimId, entry: &Entry) -> WireClaim {
    let mut wire = WireClaim {
        claim_key: Some(pack_claim_key(id)),
        holder: Some(entry.holder.view()),
        fingerprint: entry.fingerprint.to_vec(),
        resource: entry.resource.as_deref().map(str::to_owned),
        ..WireClaim::default()
    };
    match &entry.status {
        Status::Held { deadline } => wire.deadline = Some(*deadline),
        Status::Free => {}
        Status::Done { answer } => {
            wire.ran = true;
            wire.answer = answer.as_deref().cloned();
        }
    }
    wire
}

fn pack_resource(id: &ResourceId, resource: &Resource) -> WireResource {
    WireResource {
        service: id.service.to_string(),
        name: id.name.to_string(),
        limit: resource.limit,
        reserved_by: resource.reserved_by.iter().map(pack_claim_key).collect(),
    }
}

fn unpack(wire: &WireLedger) -> Result<Ledger, Field> {
    let mut ledger = Ledger {
        now: wire.now,
        ..Ledger::default()
    };
    for claim in &wire.claims {
        let id = check_claim_key(claim.claim_key.as_ref())?;
        let entry = unpack_entry(claim, &id)?;
        ledger.claims.insert(id, entry);
    }
    for resource in &wire.resources {
        let service = resource.service.parse().ok().ok_or(Field::Service)?;
        let id = check_resource(service, &resource.name)?;
        let reserved_by = resource
            .reserved_by
            .iter()
            .map(|claim_key| check_claim_key(Some(claim_key)));
        let mut reserved_by = reserved_by.collect::<Result<Vec<_>, _>>()?;
        reserved_by.sort_unstable();
        reserved_by.dedup();
        let limit = resource.limit;
        ledger
            .reservations
            .insert(id, Resource { limit, reserved_by });
    }
    for incarnation in &wire.incarnations {
        let holder = check_holder(Some(incarnation))?;
        ledger.incarnations.push((holder.vm, holder.incarnation));
    }
    if !ledger.incarnations.is_sorted_by(|a, b| a.0 < b.0) {
        return Err(Field::Holder);
    }
    Ok(ledger)
}

fn unpack_entry(wire: &WireClaim, id: &ClaimId) -> Result<Entry, Field> {
    let status = match (wire.deadline, wire.ran) {
        (Some(deadline), false) => Status::Held { deadline },
        (None, false) => Status::Free,
        (None, true) => Status::Done {
            answer: wire.answer.clone().map(Box::new),
        },
        (Some(_), true) => return Err(Field::Holder),
    };
    let resource = wire.resource.as_deref();
    let resource = resource.map(|name| check_resource(id.service.clone(), name));
    let resource = resource.transpose()?;
    Ok(Entry {
        holder: check_holder(wire.holder.as_ref())?,
        fingerprint: check_fingerprint(&wire.fingerprint)?,
        status,
        resource: resource.map(|resource| resource.name),
    })
}
