//! Writes on a thread of their own.

use crate::record::{self, Identity};
use bytes::Bytes;
use pimento_consensus::Write;
use pimento_storage::{Disk as Files, Store, StoreError};

/// The log file and whose it is.
#[derive(Debug)]
pub(crate) struct Disk {
    pub store: Store<Box<dyn Files>>,
    pub identity: Identity,
}

impl Disk {
    /// Makes all writes durable with as few syncs as can be; the number of the
    /// last one.
    pub(crate) fn write(&mut self, writes: Vec<Write>) -> Result<u64, StoreError> {
        let mut pending: Vec<Bytes> = Vec::new();
        let mut seq = 0;
        for write in writes {
            seq = write.seq;
            let replaces = write.snapshot.is_some();
            let records = record::records(write, &self.identity);
            if replaces {
                // The new file holds all that was pending.
                pending.clear();
                self.store.replace(&records)?;
            } else {
                pending.extend(records);
            }
        }
        if !pending.is_empty() {
            self.store.append(&pending)?;
        }
        Ok(seq)
    }
}
