//! All items, with the versions that removed others.

use crate::{Body, Changeset, ChangesetError, Item, ItemKey, ItemKind, Limits, Service, check};
use prost::Message as _;

/// An item and when it was accepted.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct AcceptedItem {
    /// The item or removal.
    #[prost(message, required, tag = "1")]
    pub item: Item,
    /// The place in the replicated log at which it was accepted.
    #[prost(uint64, tag = "2")]
    pub log_index: u64,
}

/// All items, with the versions that removed others, sorted by key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Catalog {
    held: Vec<AcceptedItem>,
    revision: u64,
}

/// The encoded form of a [`Catalog`].
#[derive(Clone, PartialEq, prost::Message)]
struct Stored {
    #[prost(message, repeated, tag = "1")]
    held: Vec<AcceptedItem>,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

impl Catalog {
    /// Takes an operator's call at a place in the replicated log.
    ///
    /// Only items that would change something are checked, so that a call which
    /// was accepted once is accepted again whatever came after it.
    ///
    /// # Errors
    ///
    /// Returns a [`ChangesetError`] and leaves the catalog as it was if an item is
    /// invalid, or held in the same version with another content.
    pub fn apply_changeset(
        &mut self,
        log_index: u64,
        change: &Changeset,
    ) -> Result<(), ChangesetError> {
        let mut next = self.clone();
        let mut newer = Vec::new();
        for item in &change.items {
            if next.supersedes(item)? {
                check::item(item)?;
                next.put(item.clone(), log_index);
                newer.push(item);
            }
        }
        for item in &newer {
            next.check_references(item)?;
        }
        if !newer.is_empty() {
            next.revision = log_index;
            *self = next;
        }
        Ok(())
    }

    /// Begins or ends the evacuation of a failure domain at a place in the
    /// replicated log, which orders such calls.
    pub fn set_evacuated(&mut self, log_index: u64, domain: &str, on: bool) {
        if self.is_evacuated(domain) == on {
            return;
        }
        let body = on.then_some(Body::Evacuation(()));
        let mut item = Item::removal(ItemKind::Evacuation, domain, log_index);
        item.body = body;
        self.put(item, log_index);
        self.revision = log_index;
    }

    /// Takes items that the control VMs accepted, in any order; says whether
    /// any of them was new.
    pub fn merge(&mut self, items: impl IntoIterator<Item = AcceptedItem>) -> bool {
        let mut changed = false;
        for AcceptedItem { item, log_index } in items {
            let newer = match self.find(&item.key()) {
                Ok(i) => self.held[i].item.version < item.version,
                Err(_) => true,
            };
            if newer {
                self.put(item, log_index);
                changed = true;
            }
        }
        changed
    }

    /// Notes that all items up to a revision were merged.
    pub fn advance_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// The newest change that this catalog holds with all before it; 0 if it
    /// never had any.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// What was accepted after a revision, removals included.
    pub fn changes_since(&self, revision: u64) -> impl Iterator<Item = &AcceptedItem> {
        self.held
            .iter()
            .filter(move |held| held.log_index > revision)
    }

    /// The items of a sort that stand.
    pub fn live_items(&self, kind: ItemKind) -> impl Iterator<Item = &Item> {
        let items = self.held.iter().map(|held| &held.item);
        items.filter(move |item| item.kind == kind as i32 && item.body.is_some())
    }

    /// A service that stands.
    pub fn service(&self, name: &str) -> Option<&Service> {
        match self.body(ItemKind::Service, name)? {
            Body::Service(service) => Some(service),
            _ => None,
        }
    }

    /// The limits of what callers may send, once there are any.
    pub fn limits(&self) -> Option<&Limits> {
        let item = self.live_items(ItemKind::Limits).next()?;
        match &item.body {
            Some(Body::Limits(limits)) => Some(limits),
            _ => None,
        }
    }

    /// Whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.body(ItemKind::Evacuation, domain).is_some()
    }

    /// Encodes the catalog.
    pub fn encode(&self) -> Vec<u8> {
        let stored = Stored {
            held: self.held.clone(),
            revision: self.revision,
        };
        stored.encode_to_vec()
    }

    /// Decodes a catalog that [`Self::encode`] encoded.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are no catalog.
    pub fn decode(bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        let Stored { mut held, revision } = Stored::decode(bytes)?;
        held.sort_by(|a, b| a.item.key().cmp(&b.item.key()));
        Ok(Self { held, revision })
    }

    fn body(&self, kind: ItemKind, name: &str) -> Option<&Body> {
        let kind = kind as i32;
        let found = self.find(&ItemKey { kind, name }).ok()?;
        self.held[found].item.body.as_ref()
    }

    fn find(&self, key: &ItemKey<'_>) -> Result<usize, usize> {
        self.held.binary_search_by(|held| held.item.key().cmp(key))
    }

    fn put(&mut self, item: Item, log_index: u64) {
        match self.find(&item.key()) {
            Ok(i) => self.held[i] = AcceptedItem { item, log_index },
            Err(i) => self.held.insert(i, AcceptedItem { item, log_index }),
        }
    }

    /// Whether an item has a higher version than the one held.
    fn supersedes(&self, item: &Item) -> Result<bool, ChangesetError> {
        let Ok(found) = self.find(&item.key()) else {
            return Ok(true);
        };
        let held = &self.held[found].item;
        if held.version == item.version && held.body != item.body {
            return Err(ChangesetError::Conflict {
                name: item.name.clone(),
                version: item.version,
            });
        }
        Ok(held.version < item.version)
    }

    /// Checks that what an item refers to stands, and that nothing refers to a
    /// service that it removes.
    fn check_references(&self, item: &Item) -> Result<(), ChangesetError> {
        match &item.body {
            Some(Body::Route(route)) => {
                let unknown = |name: &&str| self.service(name).is_none();
                let mut named = route.parts.iter().map(|part| part.service.as_str());
                named.find(unknown).map_or(Ok(()), |name| {
                    let detail = format!("there is no service {name}");
                    Err(ChangesetError::invalid(item, "parts", detail))
                })
            }
            None if item.kind == ItemKind::Service as i32 => self.check_unused(item),
            _ => Ok(()),
        }
    }

    fn check_unused(&self, service: &Item) -> Result<(), ChangesetError> {
        let user = self.live_items(ItemKind::Route).find(|item| {
            let Some(Body::Route(route)) = &item.body else {
                return false;
            };
            route.parts.iter().any(|part| part.service == service.name)
        });
        user.map_or(Ok(()), |user| {
            let detail = format!("is used by the route {}", user.name);
            Err(ChangesetError::invalid(service, "name", detail))
        })
    }
}
