//! Durable log and snapshots in one data folder.
//!
//! [`Store`] keeps opaque records in one append-only file, each behind
//! checksums, and replaces the whole file atomically. [`Folder`] is the real
//! file system; tests put their own [`Disk`] in its place. See
//! `docs/design/consensus.md`.

mod disk;
mod folder;
mod frame;
mod store;

pub use disk::Disk;
pub use folder::Folder;
pub use store::{Opened, Store, StoreError};
