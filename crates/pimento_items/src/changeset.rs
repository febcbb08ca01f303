//! Changesets and the reasons for rejecting them.

use crate::Item;

/// Items that an operator changes together; either all take effect or none.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Changeset {
    /// The new versions of items, including removals.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
}

/// Why a changeset was rejected; none of its items took effect.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChangesetError {
    /// The catalog contains the same version of an item with other content.
    #[error("{name}: version {version} already exists with different content")]
    Conflict {
        /// The name of the item.
        name: String,
        /// The version that both contents have.
        version: u64,
    },
    /// A field of an item has an invalid value.
    #[error("{name}: {field}: {detail}")]
    Invalid {
        /// The name of the item.
        name: String,
        /// The name of the field.
        field: &'static str,
        /// Why the value is invalid, for the operator.
        detail: String,
    },
}

impl ChangesetError {
    pub(crate) fn invalid(item: &Item, field: &'static str, detail: impl Into<String>) -> Self {
        Self::Invalid {
            name: item.name.clone(),
            field,
            detail: detail.into(),
        }
    }
}
