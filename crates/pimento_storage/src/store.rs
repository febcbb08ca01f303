//! The append-only log of records.

use crate::{
    Disk,
    frame::{self, MAGIC},
};
use bytes::Bytes;
use std::{io, path::PathBuf};

/// The file that contains the records.
const LOG_FILE: &str = "log";
/// The file that is written completely before it replaces [`LOG_FILE`].
const NEXT_LOG_FILE: &str = "log.next";

/// The data folder can't be opened or used any more.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process uses the data folder.
    #[error("{file}: another process uses this data folder")]
    Locked {
        /// The lock file.
        file: PathBuf,
    },
    /// A record that was written completely has been damaged.
    #[error("{file}: damaged at byte {offset}: {reason}")]
    Damaged {
        /// The damaged file.
        file: PathBuf,
        /// Where the damaged record begins, in bytes.
        offset: u64,
        /// Which check failed.
        reason: &'static str,
    },
    /// A file operation failed.
    #[error("{file}: can't {action}: {source}")]
    Io {
        /// The operation that failed.
        action: &'static str,
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An earlier write or sync failed, so the content of the disk is unknown.
    #[error("an earlier write failed; all records must be written again")]
    Poisoned,
}

/// What was recovered when the log was opened.
#[derive(Debug, Default)]
pub struct Recovery {
    /// All records, oldest first.
    pub records: Vec<Bytes>,
    /// The size of the torn record that was removed from the end.
    pub truncated_bytes: u64,
}

/// An append-only log of opaque records.
///
/// After a failed write or sync it rejects all further ones until
/// [`Self::rebuild`] has written everything again: the operating system may have
/// dropped the data, so a second sync could succeed although nothing is durable.
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
    /// Returns [`StoreError::Damaged`] with the file and offset if a record is
    /// damaged; a torn record at the end is removed instead.
    pub fn open(disk: D) -> Result<(Self, Recovery), StoreError> {
        let mut store = Self {
            disk,
            poisoned: false,
        };
        let read = store.disk.read(LOG_FILE);
        let Some(data) = store.poison_on_error("read", LOG_FILE, read)? else {
            store.replace(&[])?;
            return Ok((store, Recovery::default()));
        };
        let total = data.len();
        let parsed = match frame::parse(&data.into()) {
            Ok(parsed) => parsed,
            Err(damage) => {
                return Err(StoreError::Damaged {
                    file: store.disk.path(LOG_FILE),
                    offset: damage.offset as u64,
                    reason: damage.reason,
                });
            }
        };
        // The data may be only in the page cache, and a sync that failed earlier
        // may have marked it as clean, so all records are written again.
        store.replace(&parsed.records)?;
        let recovery = Recovery {
            records: parsed.records,
            truncated_bytes: (total - parsed.valid_bytes) as u64,
        };
        Ok((store, recovery))
    }

    /// Appends records and makes them durable in one sync.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the records may not be durable; nothing may be
    /// acknowledged any more.
    pub fn append(&mut self, records: &[Bytes]) -> Result<(), StoreError> {
        self.check_not_poisoned()?;
        let data = append_records(Vec::new(), records);
        let result = self.disk.append(LOG_FILE, &data);
        self.poison_on_error("append", LOG_FILE, result)?;
        self.sync()
    }

    /// Replaces all records atomically: after a crash, the log contains either
    /// the old or the new ones.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the records may not be durable; nothing may be
    /// acknowledged any more.
    pub fn replace(&mut self, records: &[Bytes]) -> Result<(), StoreError> {
        self.check_not_poisoned()?;
        self.write_all(records)
    }

    /// Writes all records to a new file after a failed write, so that nothing
    /// depends on what is left of the old one. The store then works again.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if this write fails, too; it may be repeated.
    pub fn rebuild(&mut self, records: &[Bytes]) -> Result<(), StoreError> {
        self.write_all(records)?;
        self.poisoned = false;
        Ok(())
    }

    fn write_all(&mut self, records: &[Bytes]) -> Result<(), StoreError> {
        let data = append_records(MAGIC.to_vec(), records);
        let result = self.disk.create(NEXT_LOG_FILE, &data);
        self.poison_on_error("write", NEXT_LOG_FILE, result)?;
        let result = self.disk.sync(NEXT_LOG_FILE);
        self.poison_on_error("sync", NEXT_LOG_FILE, result)?;
        let result = self.disk.rename(NEXT_LOG_FILE, LOG_FILE);
        self.poison_on_error("rename", NEXT_LOG_FILE, result)?;
        let result = self.disk.sync_folder();
        self.poison_on_error("sync the folder of", LOG_FILE, result)
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        let result = self.disk.sync(LOG_FILE);
        self.poison_on_error("sync", LOG_FILE, result)
    }

    fn check_not_poisoned(&self) -> Result<(), StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned);
        }
        Ok(())
    }

    /// Poisons the store if an operation failed.
    fn poison_on_error<T>(
        &mut self,
        action: &'static str,
        name: &str,
        result: io::Result<T>,
    ) -> Result<T, StoreError> {
        match result {
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

/// Appends the encoded records to a buffer.
fn append_records(mut data: Vec<u8>, records: &[Bytes]) -> Vec<u8> {
    for record in records {
        frame::append_record(&mut data, record);
    }
    data
}
