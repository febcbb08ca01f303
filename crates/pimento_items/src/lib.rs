//! Versioned configuration items: routes, services, limits and evacuations.
//!
//! Operators change items with changesets, each of which is applied as a whole
//! or not at all. For each item the highest version wins, also if that version
//! removes the item. [`Catalog`] is the replicated state: control VMs validate
//! and apply changesets with [`Catalog::apply_changeset`], and entry VMs merge
//! accepted items in any order with [`Catalog::merge`]. See
//! `docs/design/items.md`.

mod catalog;
mod changeset;
mod check;
mod item;
mod round_robin;
mod routes;

pub use catalog::{AcceptedItem, Catalog};
pub use changeset::{Changeset, ChangesetError};
pub use item::{
    Body, Item, ItemKey, ItemKind, Limits, RetrySafety, Route, Service, WeightedService,
};
pub use round_robin::WeightedRoundRobin;
pub use routes::RouteTable;
