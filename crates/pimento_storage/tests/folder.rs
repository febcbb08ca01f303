//! The store on the real file system.

use bytes::Bytes;
use pimento_storage::{DataFolder, Store, StoreError};

fn records(range: std::ops::Range<u8>) -> Vec<Bytes> {
    range
        .map(|i| Bytes::from(vec![i; usize::from(i)]))
        .collect()
}

#[test]
fn folder_is_locked() {
    let folder = tempfile::tempdir().unwrap();
    let first = DataFolder::open(folder.path()).unwrap();
    let second = DataFolder::open(folder.path());
    assert!(matches!(second, Err(StoreError::Locked { .. })));
    drop(first);
    DataFolder::open(folder.path()).unwrap();
}

#[test]
fn records_survive_reopening() {
    let folder = tempfile::tempdir().unwrap();
    let data = folder.path().join("new");
    for round in 0..3 {
        let (mut store, recovery) = Store::open(DataFolder::open(&data).unwrap()).unwrap();
        assert_eq!(recovery.records, records(0..round * 10));
        store.append(&records(round * 10..round * 10 + 7)).unwrap();
        store.replace(&records(0..round * 10 + 5)).unwrap();
        let rest = records(round * 10 + 5..round * 10 + 10);
        store.append(&rest).unwrap();
    }
}

#[test]
fn torn_record_is_removed() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(DataFolder::open(folder.path()).unwrap()).unwrap();
    store.append(&records(0..9)).unwrap();
    drop(store);
    let log_path = folder.path().join("log");
    let data = std::fs::read(&log_path).unwrap();
    std::fs::write(&log_path, &data[..data.len() - 1]).unwrap();
    let (_, recovery) = Store::open(DataFolder::open(folder.path()).unwrap()).unwrap();
    assert_eq!(recovery.records, records(0..8));
    assert!(recovery.truncated_bytes > 0);
}
