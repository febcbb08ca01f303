//! The places that claims take of capped resources.

use crate::claims::Id;
use pimento_core::ServiceId;
use std::collections::BTreeMap;

/// A resource: a service and the path segment that names it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct ResourceId {
    pub service: ServiceId,
    pub name: Box<str>,
}

/// The places of one resource.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Resource {
    /// The limit that operators have set.
    pub limit: Option<u32>,
    /// The claims that took a place, sorted. They outlive the claims
    /// themselves, so that a place can be given back at any later time, and
    /// only once.
    pub taken: Vec<Id>,
}

/// The capped resources.
///
/// A tree, since up to 100,000 resources come and go in any order.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Places {
    resources: BTreeMap<ResourceId, Resource>,
    taken: usize,
}

/// Why no place was taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoPlace {
    /// All places under this limit are taken.
    Full(u32),
    /// The ledger keeps no more resources or places.
    Bounded,
}

impl Places {
    pub(crate) fn get(&self, id: &ResourceId) -> Option<&Resource> {
        self.resources.get(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ResourceId, &Resource)> {
        self.resources.iter()
    }

    /// Takes a place for a claim; `limit` holds unless operators set another.
    pub(crate) fn take(&mut self, id: ResourceId, limit: u32, claim: &Id) -> Result<(), NoPlace> {
        let known = self.resources.get(&id);
        let bounded = self.taken >= crate::MAX_RESERVATIONS
            || (known.is_none() && self.resources.len() >= crate::MAX_RESOURCES);
        let limit = known.and_then(|resource| resource.limit).unwrap_or(limit);
        let count = known.map_or(0, |resource| resource.taken.len());
        if count >= limit as usize {
            return Err(NoPlace::Full(limit));
        }
        if bounded {
            return Err(NoPlace::Bounded);
        }
        let resource = self.resources.entry(id).or_default();
        if let Err(at) = resource.taken.binary_search(claim) {
            resource.taken.insert(at, claim.clone());
            self.taken += 1;
        }
        Ok(())
    }

    /// Gives the place of a claim back; whether it had one.
    pub(crate) fn give_back(&mut self, id: &ResourceId, claim: &Id) -> bool {
        let Some(resource) = self.resources.get_mut(id) else {
            return false;
        };
        let Ok(at) = resource.taken.binary_search(claim) else {
            return false;
        };
        resource.taken.remove(at);
        self.taken -= 1;
        if resource.taken.is_empty() && resource.limit.is_none() {
            self.resources.remove(id);
        }
        true
    }

    /// Sets a limit, or forgets the resource; the places taken, or none if no
    /// more resources are kept.
    pub(crate) fn set(&mut self, id: ResourceId, limit: Option<u32>) -> Option<u32> {
        if limit.is_none() {
            let gone = self.resources.remove(&id).unwrap_or_default();
            self.taken -= gone.taken.len();
            return Some(0);
        }
        if self.resources.len() >= crate::MAX_RESOURCES && !self.resources.contains_key(&id) {
            return None;
        }
        let resource = self.resources.entry(id).or_default();
        resource.limit = limit;
        Some(resource.taken.len() as u32)
    }

    /// Adds a resource from a snapshot.
    pub(crate) fn insert(&mut self, id: ResourceId, resource: Resource) {
        self.taken += resource.taken.len();
        self.resources.insert(id, resource);
    }
}
