//! The encoding of a whole ledger.

use crate::{
    Answer, ClaimKey, Field, Holder, Ledger,
    check::{check_holder, check_print, check_resource, check_slot},
    claims::{Entry, Id, Status},
    places::{Resource, ResourceId},
};
use pimento_core::VmId;
use prost::Message as _;

/// A snapshot of a ledger is damaged.
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
    processes: Vec<Holder>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireClaim {
    #[prost(message, optional, tag = "1")]
    claim_key: Option<ClaimKey>,
    #[prost(message, optional, tag = "2")]
    owner: Option<Holder>,
    #[prost(bytes = "vec", tag = "3")]
    print: Vec<u8>,
    #[prost(string, optional, tag = "4")]
    resource: Option<String>,
    /// Present if the claim is held.
    #[prost(uint64, optional, tag = "5")]
    deadline: Option<u64>,
    /// Whether the claim ran.
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
    taken: Vec<ClaimKey>,
}

impl Ledger {
    /// Encodes the whole ledger.
    ///
    /// The claims and resources are written one at a time, which encodes the
    /// same message as all at once, without a second copy in memory.
    pub fn snapshot(&self) -> Vec<u8> {
        let process = |(vm, incarnation): &(VmId, u64)| Holder {
            vm: vm.to_string(),
            incarnation: *incarnation,
            attempt: 0,
        };
        let head = WireLedger {
            now: self.now,
            processes: self.processes.iter().map(process).collect(),
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
        for (id, resource) in self.places.iter() {
            let part = WireLedger {
                resources: vec![pack_resource(id, resource)],
                ..WireLedger::default()
            };
            bytes.extend(part.encode_to_vec());
        }
        bytes
    }

    /// Decodes what [`Self::snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Returns a [`RestoreError`] if the bytes are not a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let wire = WireLedger::decode(bytes).ok().ok_or(RestoreError)?;
        unpack(&wire).ok().ok_or(RestoreError)
    }
}

fn pack_id(id: &Id) -> ClaimKey {
    ClaimKey {
        key: id.key.to_vec(),
        tenant: id.tenant.to_string(),
        service: id.service.to_string(),
    }
}

fn pack_claim(id: &Id, entry: &Entry) -> WireClaim {
    let mut wire = WireClaim {
        claim_key: Some(pack_id(id)),
        owner: Some(entry.owner.view()),
        print: entry.print.to_vec(),
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
        taken: resource.taken.iter().map(pack_id).collect(),
    }
}

fn unpack(wire: &WireLedger) -> Result<Ledger, Field> {
    let mut ledger = Ledger {
        now: wire.now,
        ..Ledger::default()
    };
    for claim in &wire.claims {
        let id = check_slot(claim.claim_key.as_ref())?;
        let entry = unpack_entry(claim, &id)?;
        ledger.claims.insert(id, entry);
    }
    for resource in &wire.resources {
        let service = resource.service.parse().ok().ok_or(Field::Service)?;
        let id = check_resource(service, &resource.name)?;
        let taken = resource.taken.iter().map(|slot| check_slot(Some(slot)));
        let mut taken = taken.collect::<Result<Vec<_>, _>>()?;
        taken.sort_unstable();
        taken.dedup();
        let limit = resource.limit;
        ledger.places.insert(id, Resource { limit, taken });
    }
    for process in &wire.processes {
        let owner = check_holder(Some(process))?;
        ledger.processes.push((owner.vm, owner.incarnation));
    }
    if !ledger.processes.is_sorted_by(|a, b| a.0 < b.0) {
        return Err(Field::Holder);
    }
    Ok(ledger)
}

fn unpack_entry(wire: &WireClaim, id: &Id) -> Result<Entry, Field> {
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
        owner: check_holder(wire.owner.as_ref())?,
        print: check_print(&wire.print)?,
        status,
        resource: resource.map(|resource| resource.name),
    })
}
