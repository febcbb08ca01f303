//! An operator's call and why it is refused.

use crate::Item;

/// An operator's call: items that take effect together or not at all.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Changeset {
    /// The items and removals.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<Item>,
}

/// Why a call is refused; nothing of it took effect.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ChangesetError {
    /// The version is held already, with another content.
    #[error("{name}: version {version} is held with another content")]
    Conflict {
        /// The item.
        name: String,
        /// The version.
        version: u64,
    },
    /// A field has a value that it can't have.
    #[error("{name}: {field}: {detail}")]
    Invalid {
        /// The item.
        name: String,
        /// The field.
        field: &'static str,
        /// What is wrong with it.
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
