//! Logs that were cut short or changed.

mod support;

use bytes::Bytes;
use pimento_storage::{Store, StoreError};
use support::Fake;

/// The bytes of a log that hold no record.
const HEADER: usize = 8;

/// A log with records of several sizes, also empty ones and zeros.
fn sample() -> (Vec<Bytes>, Vec<u8>, Vec<usize>) {
    let fake = Fake::default();
    let (mut store, _) = Store::open(fake.clone()).unwrap();
    let sizes = [0, 1, 3, 40, 0, 17, 64];
    let mut records = Vec::new();
    let mut ends = vec![HEADER];
    for (i, size) in sizes.into_iter().enumerate() {
        let fill = u8::try_from(i % 3).unwrap();
        let record = Bytes::from(vec![fill; size]);
        store.append(std::slice::from_ref(&record)).unwrap();
        records.push(record);
        ends.push(fake.bytes("log").len());
    }
    (records, fake.bytes("log"), ends)
}

fn open(data: Vec<u8>) -> Result<Vec<Bytes>, StoreError> {
    let fake = Fake::default();
    fake.put("log", data);
    let (mut store, opened) = Store::open(fake.clone())?;
    // The log must go on behind what was cut off.
    let next = Bytes::from_static(b"next");
    store.append(std::slice::from_ref(&next))?;
    let (_, again) = Store::open(fake)?;
    let mut all = opened.records.clone();
    all.push(next);
    assert_eq!(again.records, all);
    assert_eq!(again.truncated_bytes, 0);
    Ok(opened.records)
}

#[test]
fn every_prefix() {
    let (records, data, ends) = sample();
    for len in 0..=data.len() {
        let opened = open(data[..len].to_vec());
        if len < HEADER {
            let refused = matches!(opened, Err(StoreError::Damaged { offset: 0, .. }));
            assert!(refused, "{len}: {opened:?}");
            continue;
        }
        let whole = ends.iter().filter(|end| **end <= len).count() - 1;
        assert_eq!(opened.unwrap(), records[..whole], "{len}");
    }
}

#[test]
fn zero_tail() {
    let (records, data, ends) = sample();
    for len in HEADER..data.len() {
        let mut torn = data[..len].to_vec();
        torn.resize(data.len() + 100, 0);
        let whole = ends.iter().filter(|end| **end <= len).count() - 1;
        // A whole payload is kept even if its closing byte is missing.
        let close = ends[whole + 1] - 1;
        let whole = whole + usize::from(torn[..close] == data[..close]);
        assert_eq!(open(torn).unwrap(), records[..whole], "{len}");
    }
}

#[test]
fn zeroed_byte() {
    let (records, data, _) = sample();
    for at in 0..data.len() {
        let mut zeroed = data.clone();
        zeroed[at] = 0;
        match open(zeroed) {
            Ok(found) => assert_eq!(found, records, "{at}"),
            Err(e) => assert!(matches!(e, StoreError::Damaged { .. }), "{at}"),
        }
    }
}

#[test]
fn flipped_bit() {
    let (_, data, ends) = sample();
    for at in 0..data.len() {
        for bit in 0..8 {
            let mut flipped = data.clone();
            flipped[at] ^= 1 << bit;
            let Err(StoreError::Damaged { file, offset, .. }) = open(flipped) else {
                panic!("bit {bit} of byte {at} went unnoticed");
            };
            let starts = ends.iter().filter(|end| **end <= at);
            let record = starts.max().copied().unwrap_or(0);
            assert_eq!(offset, record as u64);
            assert!(file.ends_with("log"));
        }
    }
}
