//! Routes, services and limits as items with versions of their own.
//!
//! Operators change items one call at a time; a call takes effect whole or not
//! at all, and of each item the highest version stands, also if that version
//! removes it. [`Catalog`] is the same state machine on the control VMs, where
//! [`Catalog::apply_changeset`] checks a call, and on the entry VMs, where
//! [`Catalog::merge`] takes what was accepted, in any order. See
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
