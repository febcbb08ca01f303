//! Durable log and snapshots in one data folder.
//!
//! [`Store`] keeps opaque records in one append-only file, each behind
//! checksums, and replaces the whole file atomically. [`DataFolder`] is the real
//! file system; tests put their own [`Disk`] in its place. See
//! `docs/design/consensus.md`.

mod data_folder;
mod disk;
mod frame;
mod store;

pub use data_folder::DataFolder;
pub use disk::Disk;
pub use store::{Recovery, Store, StoreError};
