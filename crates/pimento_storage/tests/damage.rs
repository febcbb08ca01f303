//! Opening logs that were truncated or damaged.

mod support;

use bytes::Bytes;
use pimento_storage::{Store, StoreError};
use support::MemoryDisk;

/// The size of a log without records.
const EMPTY_LOG_BYTES: usize = 8;

/// A log with records of several sizes, some of them empty or only zeros: the
/// records, the content of the file, and the end of each record.
fn sample_log() -> (Vec<Bytes>, Vec<u8>, Vec<usize>) {
    let disk = MemoryDisk::default();
    let (mut store, _) = Store::open(disk.clone()).unwrap();
    let sizes = [0, 1, 3, 40, 0, 17, 64];
    let mut records = Vec::new();
    let mut ends = vec![EMPTY_LOG_BYTES];
    for (i, size) in sizes.into_iter().enumerate() {
        let fill = u8::try_from(i % 3).unwrap();
        let record = Bytes::from(vec![fill; size]);
        store.append(std::slice::from_ref(&record)).unwrap();
        records.push(record);
        ends.push(disk.content("log").len());
    }
    (records, disk.content("log"), ends)
}

fn open_log(data: Vec<u8>) -> Result<Vec<Bytes>, StoreError> {
    let disk = MemoryDisk::default();
    disk.put_durable("log", data);
    let (mut store, recovery) = Store::open(disk.clone())?;
    // Appending must work after a torn record was removed.
    let next = Bytes::from_static(b"next");
    store.append(std::slice::from_ref(&next))?;
    let (_, reopened) = Store::open(disk)?;
    let mut all = recovery.records.clone();
    all.push(next);
    assert_eq!(reopened.records, all);
    assert_eq!(reopened.truncated_bytes, 0);
    Ok(recovery.records)
}

#[test]
fn truncated_at_every_byte() {
    let (records, data, ends) = sample_log();
    for len in 0..=data.len() {
        let recovery = open_log(data[..len].to_vec());
        if len < EMPTY_LOG_BYTES {
            let rejected = matches!(recovery, Err(StoreError::Damaged { offset: 0, .. }));
            assert!(rejected, "{len}: {recovery:?}");
            continue;
        }
        let complete = ends.iter().filter(|end| **end <= len).count() - 1;
        assert_eq!(recovery.unwrap(), records[..complete], "{len}");
    }
}

#[test]
fn zeros_after_every_byte() {
    let (records, data, ends) = sample_log();
    for len in EMPTY_LOG_BYTES..data.len() {
        let mut torn = data[..len].to_vec();
        torn.resize(data.len() + 100, 0);
        let complete = ends.iter().filter(|end| **end <= len).count() - 1;
        // A complete payload is kept even if its end marker is missing.
        let marker = ends[complete + 1] - 1;
        let complete = complete + usize::from(torn[..marker] == data[..marker]);
        assert_eq!(open_log(torn).unwrap(), records[..complete], "{len}");
    }
}

#[test]
fn each_byte_zeroed() {
    let (records, data, _) = sample_log();
    for at in 0..data.len() {
        let mut zeroed = data.clone();
        zeroed[at] = 0;
        match open_log(zeroed) {
            Ok(found) => assert_eq!(found, records, "{at}"),
            Err(e) => assert!(matches!(e, StoreError::Damaged { .. }), "{at}"),
        }
    }
}

#[test]
fn each_bit_flipped() {
    let (_, data, ends) = sample_log();
    for at in 0..data.len() {
        for bit in 0..8 {
            let mut flipped = data.clone();
            flipped[at] ^= 1 << bit;
            let Err(StoreError::Damaged { file, offset, .. }) = open_log(flipped) else {
                panic!("the flipped bit {bit} of byte {at} was not detected");
            };
            let starts = ends.iter().filter(|end| **end <= at);
            let record = starts.max().copied().unwrap_or(0);
            assert_eq!(offset, record as u64);
            assert!(file.ends_with("log"));
        }
    }
}
