//! Routes, services and limits as items with versions of their own.
//!
//! Operators change items one call at a time; a call takes effect whole or not
//! at all, and of each item the highest version stands, also if that version
//! removes it. [`Catalog`] is the same state machine on the control VMs, where
//! [`Catalog::offer`] checks a call, and on the entry VMs, where
//! [`Catalog::merge`] takes what was accepted, in any order. See
//! `docs/design/items.md`.

mod catalog;
mod change;
mod check;
mod item;
mod routes;
mod split;

pub use catalog::{Catalog, Held};
pub use change::{Change, Refusal};
pub use item::{Body, Item, Key, Limits, Part, Repeat, Route, Service, Sort};
pub use routes::RouteTable;
pub use split::Split;
