//! The reservations that claims have of capped resources.

use crate::claims::ClaimId;
use pimento_core::ServiceId;
use std::collections::BTreeMap;

/// Identifies a resource by its service and the path segment that names it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ResourceId {
    pub service: ServiceId,
    pub name: Box<str>,
}

/// The limit and the reservations of one resource.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Resource {
    /// The limit that operators have set for this resource, if any.
    pub limit: Option<u32>,
    /// The claims that have a reservation, sorted. Reservations are kept after
    /// their claims expire, so that each can be cancelled at any later time, but
    /// only once.
    pub reserved_by: Vec<ClaimId>,
}

/// The reservations of all capped resources.
///
/// This is a tree, because up to 100,000 resources are added and removed in any
/// order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Reservations {
    resources: BTreeMap<ResourceId, Resource>,
    /// Number of reservations over all resources.
    total: usize,
}

/// Why no reservation was made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReserveError {
    /// The resource has as many reservations as this limit allows.
    CapFull(u32),
    /// The ledger can't keep any more resources or reservations.
    LedgerFull,
}

impl Reservations {
    pub(crate) fn get(&self, id: &ResourceId) -> Option<&Resource> {
        self.resources.get(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ResourceId, &Resource)> {
        self.resources.iter()
    }

    /// Makes a reservation for a claim. `limit` applies unless operators have set
    /// another one.
    pub(crate) fn reserve(
        &mut self,
        id: ResourceId,
        limit: u32,
        claim: &ClaimId,
    ) -> Result<(), ReserveError> {
        let known = self.resources.get(&id);
        let ledger_full = self.total >= crate::MAX_RESERVATIONS
            || (known.is_none() && self.resources.len() >= crate::MAX_RESOURCES);
        let limit = known.and_then(|resource| resource.limit).unwrap_or(limit);
        let count = known.map_or(0, |resource| resource.reserved_by.len());
        if count >= limit as usize {
            return Err(ReserveError::CapFull(limit));
        }
        if ledger_full {
            return Err(ReserveError::LedgerFull);
        }
        let resource = self.resources.entry(id).or_default();
        if let Err(index) = resource.reserved_by.binary_search(claim) {
            resource.reserved_by.insert(index, claim.clone());
            self.total += 1;
        }
        Ok(())
    }

    /// Releases the reservation of a claim. Returns whether the claim had one.
    pub(crate) fn release(&mut self, id: &ResourceId, claim: &ClaimId) -> bool {
        let Some(resource) = self.resources.get_mut(id) else {
            return false;
        };
        let Ok(index) = resource.reserved_by.binary_search(claim) else {
            return false;
        };
        resource.reserved_by.remove(index);
        self.total -= 1;
        if resource.reserved_by.is_empty() && resource.limit.is_none() {
            self.resources.remove(id);
        }
        true
    }

    /// Sets the limit of a resource, or removes the resource if the limit is
    /// `None`. Returns the number of reservations, or `None` if the ledger can't
    /// keep any more resources.
    pub(crate) fn set_limit(&mut self, id: ResourceId, limit: Option<u32>) -> Option<u32> {
        if limit.is_none() {
            let removed = self.resources.remove(&id).unwrap_or_default();
            self.total -= removed.reserved_by.len();
            return Some(0);
        }
        if self.resources.len() >= crate::MAX_RESOURCES && !self.resources.contains_key(&id) {
            return None;
        }
        let resource = self.resources.entry(id).or_default();
        resource.limit = limit;
        Some(resource.reserved_by.len() as u32)
    }

    /// Adds a resource from a snapshot.
    pub(crate) fn insert(&mut self, id: ResourceId, resource: Resource) {
        self.total += resource.reserved_by.len();
        self.resources.insert(id, resource);
    }
}
