//! The catalog of all items, including removals.

use crate::{Body, Changeset, ChangesetError, Item, ItemKey, ItemKind, Limits, Service, check};
use prost::Message as _;

/// An item with the position at which the control group accepted it.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct AcceptedItem {
    /// The item, or the removal of one.
    #[prost(message, required, tag = "1")]
    pub item: Item,
    /// The index of the accepting command in the replicated log.
    #[prost(uint64, tag = "2")]
    pub log_index: u64,
}

/// All items, including removals, so that late older versions are recognized.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Catalog {
    /// Sorted by key.
    accepted: Vec<AcceptedItem>,
    revision: u64,
}

/// The encoded form of a [`Catalog`].
#[derive(Clone, PartialEq, prost::Message)]
struct EncodedCatalog {
    #[prost(message, repeated, tag = "1")]
    accepted: Vec<AcceptedItem>,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

impl Catalog {
    /// Applies a changeset at an index of the replicated log.
    ///
    /// Only items that would change something are validated. A changeset that
    /// was accepted once is therefore accepted again, whatever was applied after
    /// it.
    ///
    /// # Errors
    ///
    /// Returns a [`ChangesetError`] and leaves the catalog unchanged if an item
    /// is invalid, or if the catalog contains the same version of it with other
    /// content.
    pub fn apply_changeset(
        &mut self,
        log_index: u64,
        changeset: &Changeset,
    ) -> Result<(), ChangesetError> {
        let mut next = self.clone();
        let mut newer = Vec::new();
        for item in &changeset.items {
            if next.supersedes(item)? {
                check::item(item)?;
                next.insert(item.clone(), log_index);
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

    /// Starts or ends the evacuation of a failure domain. The index in the
    /// replicated log serves as the item's version. An order that changes nothing
    /// also counts as the last one, but followers need not learn of it.
    pub fn set_evacuated(&mut self, log_index: u64, domain: &str, evacuated: bool) {
        let is_change = self.is_evacuated(domain) != evacuated;
        let body = evacuated.then_some(Body::Evacuation(()));
        let mut item = Item::removal(ItemKind::Evacuation, domain, log_index);
        item.body = body;
        self.insert(item, log_index);
        if is_change {
            self.revision = log_index;
        }
    }

    /// Merges items that the control group accepted, in any order; returns
    /// whether any of them was new.
    pub fn merge(&mut self, items: impl IntoIterator<Item = AcceptedItem>) -> bool {
        let mut changed = false;
        for AcceptedItem { item, log_index } in items {
            let is_newer = match self.find(&item.key()) {
                Ok(i) => self.accepted[i].item.version < item.version,
                Err(_) => true,
            };
            if is_newer {
                self.insert(item, log_index);
                changed = true;
            }
        }
        changed
    }

    /// Records that all items up to a revision were merged.
    pub fn advance_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// The log index up to which the catalog contains all changes; 0 before the
    /// first one.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The items that were accepted after a revision, including removals.
    pub fn changes_since(&self, revision: u64) -> impl Iterator<Item = &AcceptedItem> {
        self.accepted
            .iter()
            .filter(move |accepted| accepted.log_index > revision)
    }

    /// The items of a kind that are not removed.
    pub fn live_items(&self, kind: ItemKind) -> impl Iterator<Item = &Item> {
        let items = self.accepted.iter().map(|accepted| &accepted.item);
        items.filter(move |item| item.kind == kind as i32 && item.body.is_some())
    }

    /// Looks up a service that is not removed.
    pub fn service(&self, name: &str) -> Option<&Service> {
        match self.body(ItemKind::Service, name)? {
            Body::Service(service) => Some(service),
            _ => None,
        }
    }

    /// The request limits; `None` until an operator sets them.
    pub fn limits(&self) -> Option<&Limits> {
        let item = self.live_items(ItemKind::Limits).next()?;
        match &item.body {
            Some(Body::Limits(limits)) => Some(limits),
            _ => None,
        }
    }

    /// Whether the targets of a failure domain must get no requests.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.body(ItemKind::Evacuation, domain).is_some()
    }

    /// The log index of the last order for a failure domain; 0 if there was none.
    pub fn evacuation_index(&self, domain: &str) -> u64 {
        let kind = ItemKind::Evacuation as i32;
        let found = self.find(&ItemKey { kind, name: domain });
        found.map_or(0, |i| self.accepted[i].log_index)
    }

    /// Encodes the catalog for snapshots.
    pub fn encode(&self) -> Vec<u8> {
        let encoded = EncodedCatalog {
            accepted: self.accepted.clone(),
            revision: self.revision,
        };
        encoded.encode_to_vec()
    }

    /// Decodes a catalog that [`Self::encode`] encoded.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are not an encoded catalog.
    pub fn decode(bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        let EncodedCatalog {
            mut accepted,
            revision,
        } = EncodedCatalog::decode(bytes)?;
        accepted.sort_by(|a, b| a.item.key().cmp(&b.item.key()));
        Ok(Self { accepted, revision })
    }

    fn body(&self, kind: ItemKind, name: &str) -> Option<&Body> {
        let kind = kind as i32;
        let found = self.find(&ItemKey { kind, name }).ok()?;
        self.accepted[found].item.body.as_ref()
    }

    fn find(&self, key: &ItemKey<'_>) -> Result<usize, usize> {
        self.accepted
            .binary_search_by(|accepted| accepted.item.key().cmp(key))
    }

    fn insert(&mut self, item: Item, log_index: u64) {
        match self.find(&item.key()) {
            Ok(i) => self.accepted[i] = AcceptedItem { item, log_index },
            Err(i) => self.accepted.insert(i, AcceptedItem { item, log_index }),
        }
    }

    /// Whether an item has a higher version than the catalog's.
    fn supersedes(&self, item: &Item) -> Result<bool, ChangesetError> {
        let Ok(found) = self.find(&item.key()) else {
            return Ok(true);
        };
        let current = &self.accepted[found].item;
        if current.version == item.version && current.body != item.body {
            return Err(ChangesetError::Conflict {
                name: item.name.clone(),
                version: item.version,
            });
        }
        Ok(current.version < item.version)
    }

    /// Checks that all services that an item refers to exist, and that no route
    /// refers to a service that the item removes.
    fn check_references(&self, item: &Item) -> Result<(), ChangesetError> {
        match &item.body {
            Some(Body::Route(route)) => {
                let is_unknown = |name: &&str| self.service(name).is_none();
                let mut names = route
                    .services
                    .iter()
                    .map(|weighted| weighted.service.as_str());
                names.find(is_unknown).map_or(Ok(()), |name| {
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
            route
                .services
                .iter()
                .any(|weighted| weighted.service == service.name)
        });
        user.map_or(Ok(()), |user| {
            let detail = format!("is used by the route {}", user.name);
            Err(ChangesetError::invalid(service, "name", detail))
        })
    }
}
