//! Failing writes and syncs, and crashes between them.

mod support;

use bytes::Bytes;
use pimento_storage::{Store, StoreError};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use support::MemoryDisk;

/// The records that may be recovered after a crash.
#[derive(Clone, Debug, Default)]
struct Model {
    acked: Vec<Bytes>,
    /// The records of the last write, which was not acknowledged.
    unacked: Vec<Bytes>,
    /// Whether that write replaces all records.
    replaces: bool,
}

impl Model {
    /// Whether the records contain everything that was acknowledged, and nothing
    /// that was never written.
    fn allows(&self, found: &[Bytes]) -> bool {
        if self.replaces && found == self.unacked {
            return true;
        }
        let is_extension = !self.replaces && found.starts_with(&self.acked);
        let rest = found.get(self.acked.len()..).unwrap_or_default();
        found == self.acked || (is_extension && self.unacked.starts_with(rest))
    }
}

/// Writes until an operation fails; returns the model and the error.
fn write_until_failure(disk: &MemoryDisk, seed: u64, steps: usize) -> (Model, Option<StoreError>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut model = Model::default();
    let mut store = match Store::open(disk.clone()) {
        Ok((store, recovery)) => {
            model.acked = recovery.records;
            store
        }
        Err(e) => return (model, Some(e)),
    };
    for _ in 0..steps {
        model.replaces = rng.random_bool(0.2);
        model.unacked = (0..rng.random_range(1..4))
            .map(|_| Bytes::from(vec![rng.random(); rng.random_range(0..50)]))
            .collect();
        let result = if model.replaces {
            store.replace(&model.unacked)
        } else {
            store.append(&model.unacked)
        };
        if let Err(e) = result {
            // Nothing is acknowledged any more, even if the disk works again.
            let retried = store.append(&model.unacked);
            assert!(matches!(retried, Err(StoreError::Poisoned)), "{retried:?}");
            let retried = store.replace(&model.unacked);
            assert!(matches!(retried, Err(StoreError::Poisoned)), "{retried:?}");
            return (model, Some(e));
        }
        if model.replaces {
            model.acked.clear();
        }
        model.acked.append(&mut model.unacked);
    }
    (model, None)
}

/// Crashes, opens the log again and checks the recovered records.
fn assert_recovers(disk: &MemoryDisk, model: &Model, seed: u64) {
    disk.crash(seed);
    match Store::open(disk.clone()) {
        Ok((_, recovery)) => {
            let allowed = model.allows(&recovery.records);
            assert!(
                allowed,
                "seed {seed}: {model:?} became {:?}",
                recovery.records
            );
        }
        Err(e) => panic!("seed {seed}: {e}"),
    }
}

#[test]
fn each_operation_fails() {
    const STEPS: usize = 12;
    for seed in 0..20 {
        let disk = MemoryDisk::default();
        let (_, error) = write_until_failure(&disk, seed, STEPS);
        assert!(error.is_none());
        for operation in 1..=disk.operations() {
            let disk = MemoryDisk::default();
            disk.fail_at(operation);
            let (model, error) = write_until_failure(&disk, seed, STEPS);
            assert!(matches!(error, Some(StoreError::Io { .. })));
            assert_recovers(&disk, &model, seed ^ operation as u64);
        }
    }
}

// A store whose write had failed took no more records until the process ended.
#[test]
fn rebuild_after_failure() {
    const STEPS: usize = 12;
    for seed in 0..20 {
        let disk = MemoryDisk::default();
        write_until_failure(&disk, seed, STEPS);
        for operation in 1..=disk.operations() {
            let disk = MemoryDisk::default();
            let (mut store, _) = Store::open(disk.clone()).unwrap();
            let mut acked = Vec::new();
            let first = disk.operations();
            disk.fail_at(first + operation);
            let mut failures = 0;
            for step in 0..STEPS {
                acked.push(Bytes::from(vec![step as u8; 20]));
                let newest = acked.last().cloned();
                if store.append(&Vec::from_iter(newest)).is_err() {
                    failures += 1;
                    // The rebuild fails as well, and is repeated.
                    disk.fail_at(disk.operations() + 1 + operation % 4);
                    store.rebuild(&acked).unwrap_err();
                    let refused = store.append(&[Bytes::new()]);
                    assert!(matches!(refused, Err(StoreError::Poisoned)), "{refused:?}");
                    store.rebuild(&acked).unwrap();
                }
            }
            assert!(failures <= 1);
            disk.crash(seed ^ operation as u64);
            let (_, recovery) = Store::open(disk.clone()).unwrap();
            assert_eq!(
                recovery.records, acked,
                "seed {seed}, operation {operation}"
            );
        }
    }
}

#[test]
fn opening_fails() {
    for seed in 0..50 {
        let disk = MemoryDisk::default();
        let (model, _) = write_until_failure(&disk, seed, 5);
        disk.crash(seed);
        let before = disk.operations();
        for operation in 1..=3 {
            disk.fail_at(before + operation);
            drop(Store::open(disk.clone()));
            assert_recovers(&disk, &model, seed);
        }
    }
}

#[test]
fn restart_after_failed_sync() {
    // After a failed sync, records that a restarted process reads may be only in
    // the page cache. They must survive a crash that follows.
    for seed in 0..50 {
        let disk = MemoryDisk::default();
        write_until_failure(&disk, seed, 5);
        for operation in 1..=2 {
            disk.fail_at(disk.operations() + operation);
            let (mut store, _) = Store::open(disk.clone()).unwrap_or_else(|_| {
                disk.fail_at(0);
                Store::open(disk.clone()).unwrap()
            });
            disk.fail_at(disk.operations() + operation);
            store.append(&[Bytes::from_static(b"lost")]).unwrap_err();
            disk.fail_at(0);
            let (_, recovery) = Store::open(disk.clone()).unwrap();
            disk.crash(seed);
            let (_, reopened) = Store::open(disk.clone()).unwrap();
            assert_eq!(reopened.records, recovery.records);
        }
    }
}

#[test]
fn random_failures_and_crashes() {
    bolero::check!()
        .with_iterations(500)
        .with_type::<(u64, u8, u8)>()
        .cloned()
        .for_each(|(seed, steps, operation)| {
            let disk = MemoryDisk::default();
            disk.fail_at(usize::from(operation));
            let (model, _) = write_until_failure(&disk, seed, usize::from(steps % 16));
            assert_recovers(&disk, &model, seed);
        });
}
