//! Writes of the log, which run on a blocking thread.

use crate::record::{self, Identity};
use bytes::Bytes;
use pimento_consensus::Write;
use pimento_storage::{Disk, Store, StoreError};

/// The log file and the identity of its owner.
#[derive(Debug)]
pub(crate) struct LogWriter {
    pub store: Store<Box<dyn Disk>>,
    pub identity: Identity,
}

impl LogWriter {
    /// Makes all writes durable with as few syncs as possible, and returns the
    /// sequence number of the last one.
    pub(crate) fn write(&mut self, writes: Vec<Write>) -> Result<u64, StoreError> {
        let mut pending: Vec<Bytes> = Vec::new();
        let mut seq = 0;
        for write in writes {
            seq = write.seq;
            let replaces = write.replaces;
            let records = record::encode_write(write, &self.identity);
            if replaces {
                // The write supersedes all pending records.
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

    /// Makes the whole persistent state durable after a failed write, and returns
    /// the sequence number of the write that contains it.
    pub(crate) fn rebuild(&mut self, write: Write) -> Result<u64, StoreError> {
        let seq = write.seq;
        let records = record::encode_write(write, &self.identity);
        self.store.rebuild(&records)?;
        Ok(seq)
    }
}
