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
mod routes;
mod round_robin;

pub use catalog::{Catalog, AcceptedItem};
pub use changeset::{Changeset, ChangesetError};
pub use item::{Body, Item, ItemKey, Limits, WeightedService, RetrySafety, Route, Service, ItemKind};
pub use routes::RouteTable;
pub use round_robin::WeightedRoundRobin;
