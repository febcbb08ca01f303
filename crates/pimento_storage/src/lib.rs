//! A durable log of records in one data folder.
//!
//! [`Store`] appends opaque records with checksums to one file, and can replace
//! the whole file atomically. [`DataFolder`] is the [`Disk`] on the real file
//! system; tests replace it by one in memory. See `docs/design/consensus.md`.

mod data_folder;
mod disk;
mod frame;
mod store;

pub use data_folder::DataFolder;
pub use disk::Disk;
pub use store::{Recovery, Store, StoreError};
