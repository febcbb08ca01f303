//! The log of records.

use crate::{
    Disk,
    frame::{self, MAGIC},
};
use bytes::Bytes;
use std::{io, path::PathBuf};

/// The file of the records.
const LOG: &str = "log";
/// The file that will replace it.
const NEXT: &str = "log.next";

/// The data folder can't be used, or not any more.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process uses the data folder.
    #[error("{file}: another process uses this data folder")]
    Locked {
        /// The lock file.
        file: PathBuf,
    },
    /// A record that was whole has been damaged.
    #[error("{file}: damaged at byte {offset}: {reason}")]
    Damaged {
        /// The damaged file.
        file: PathBuf,
        /// Where the damaged record begins, in bytes.
        offset: u64,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// A file operation failed.
    #[error("{file}: can't {action}: {source}")]
    Io {
        /// What was tried.
        action: &'static str,
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// An earlier write or sync failed, so what is on the disk is unknown.
    #[error("an earlier write failed; the process must start again")]
    Poisoned,
}

/// What was found at the start.
#[derive(Debug, Default)]
pub struct Recovery {
    /// All records, oldest first.
    pub records: Vec<Bytes>,
    /// The bytes of a torn record that were cut off the end.
    pub truncated_bytes: u64,
}

/// An append-only log of opaque records.
///
/// After the first failed write or sync it refuses all further ones: the system
/// may have dropped the data, so that a second sync could succeed in vain.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    poisoned: bool,
}

impl<D: Disk> Store<D> {
    /// Opens the log, or creates an empty one.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Damaged`] with the file and offset unless every
    /// record is whole, but for a torn one at the end, which is cut off.
    pub fn open(disk: D) -> Result<(Self, Recovery), StoreError> {
        let mut store = Self {
            disk,
            poisoned: false,
        };
        let read = store.disk.read(LOG);
        let Some(data) = store.check("read", LOG, read)? else {
            store.replace(&[])?;
            return Ok((store, Recovery::default()));
        };
        let total = data.len();
        let parsed = match frame::parse(&data.into()) {
            Ok(parsed) => parsed,
            Err(damage) => {
                return Err(StoreError::Damaged {
                    file: store.disk.path(LOG),
                    offset: damage.offset as u64,
                    reason: damage.fault,
                });
            }
        };
        // What was read may be only in the system's memory, and a sync that
        // failed before may have dropped it there; so it is written anew.
        store.replace(&parsed.records)?;
        let opened = Recovery {
            records: parsed.records,
            truncated_bytes: (total - parsed.len) as u64,
        };
        Ok((store, opened))
    }

    /// Appends records and makes them durable in one sync.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if nothing may be acknowledged any more.
    pub fn append(&mut self, records: &[Bytes]) -> Result<(), StoreError> {
        self.refuse_poisoned()?;
        let data = encode(Vec::new(), records);
        let done = self.disk.append(LOG, &data);
        self.check("append", LOG, done)?;
        self.sync()
    }

    /// Replaces all records atomically: after a crash there are either the old
    /// or the new ones.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if nothing may be acknowledged any more.
    pub fn replace(&mut self, records: &[Bytes]) -> Result<(), StoreError> {
        self.refuse_poisoned()?;
        let data = encode(MAGIC.to_vec(), records);
        let done = self.disk.create(NEXT, &data);
        self.check("write", NEXT, done)?;
        let done = self.disk.sync(NEXT);
        self.check("sync", NEXT, done)?;
        let done = self.disk.rename(NEXT, LOG);
        self.check("rename", NEXT, done)?;
        let done = self.disk.sync_folder();
        self.check("sync the folder of", LOG, done)
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        let done = self.disk.sync(LOG);
        self.check("sync", LOG, done)
    }

    fn refuse_poisoned(&self) -> Result<(), StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned);
        }
        Ok(())
    }

    /// Remembers a failure for good.
    fn check<T>(
        &mut self,
        action: &'static str,
        name: &str,
        done: io::Result<T>,
    ) -> Result<T, StoreError> {
        match done {
            Ok(value) => Ok(value),
            Err(source) => {
                self.poisoned = true;
                let file = self.disk.path(name);
                Err(StoreError::Io {
                    action,
                    file,
                    source,
                })
            }
        }
    }
}

/// Encodes records behind what is there.
fn encode(mut data: Vec<u8>, records: &[Bytes]) -> Vec<u8> {
    for record in records {
        frame::write(&mut data, record);
    }
    data
}
