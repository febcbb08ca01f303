//! Writes and syncs that fail, and crashes between them.

mod support;

use bytes::Bytes;
use pimento_storage::{Store, StoreError};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use support::Fake;

/// What may be found after a crash.
#[derive(Clone, Debug, Default)]
struct Model {
    acked: Vec<Bytes>,
    /// The records of a write that was not acknowledged.
    tried: Vec<Bytes>,
    /// Whether that write replaces all others.
    replaces: bool,
}

impl Model {
    /// Whether the records hold all that was acknowledged, and nothing that was
    /// never written.
    fn admits(&self, found: &[Bytes]) -> bool {
        if self.replaces && found == self.tried {
            return true;
        }
        let grown = !self.replaces && found.starts_with(&self.acked);
        let rest = found.get(self.acked.len()..).unwrap_or_default();
        found == self.acked || (grown && self.tried.starts_with(rest))
    }
}

/// Writes until something fails; what was acknowledged.
fn work(fake: &Fake, seed: u64, steps: usize) -> (Model, Option<StoreError>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut model = Model::default();
    let mut store = match Store::open(fake.clone()) {
        Ok((store, opened)) => {
            model.acked = opened.records;
            store
        }
        Err(e) => return (model, Some(e)),
    };
    for _ in 0..steps {
        model.replaces = rng.random_bool(0.2);
        model.tried = (0..rng.random_range(1..4))
            .map(|_| Bytes::from(vec![rng.random(); rng.random_range(0..50)]))
            .collect();
        let done = if model.replaces {
            store.replace(&model.tried)
        } else {
            store.append(&model.tried)
        };
        if let Err(e) = done {
            // Nothing is acknowledged any more, even if the disk works again.
            let more = store.append(&model.tried);
            assert!(matches!(more, Err(StoreError::Poisoned)), "{more:?}");
            let more = store.replace(&model.tried);
            assert!(matches!(more, Err(StoreError::Poisoned)), "{more:?}");
            return (model, Some(e));
        }
        if model.replaces {
            model.acked.clear();
        }
        model.acked.append(&mut model.tried);
    }
    (model, None)
}

/// Crashes and opens again.
fn recover(fake: &Fake, model: &Model, seed: u64) {
    fake.crash(seed);
    match Store::open(fake.clone()) {
        Ok((_, opened)) => {
            let held = model.admits(&opened.records);
            assert!(held, "seed {seed}: {model:?} became {:?}", opened.records);
        }
        Err(e) => panic!("seed {seed}: {e}"),
    }
}

#[test]
fn each_failure() {
    const STEPS: usize = 12;
    for seed in 0..20 {
        let fake = Fake::default();
        let (_, failed) = work(&fake, seed, STEPS);
        assert!(failed.is_none());
        for operation in 1..=fake.count() {
            let fake = Fake::default();
            fake.fail_at(operation);
            let (model, failed) = work(&fake, seed, STEPS);
            assert!(matches!(failed, Some(StoreError::Io { .. })));
            recover(&fake, &model, seed ^ operation as u64);
        }
    }
}

#[test]
fn failed_opening() {
    for seed in 0..50 {
        let fake = Fake::default();
        let (model, _) = work(&fake, seed, 5);
        fake.crash(seed);
        let before = fake.count();
        for operation in 1..=3 {
            fake.fail_at(before + operation);
            drop(Store::open(fake.clone()));
            recover(&fake, &model, seed);
        }
    }
}

#[test]
fn restarted_process() {
    // What a new process reads must last, also if its disk then crashes.
    for seed in 0..50 {
        let fake = Fake::default();
        work(&fake, seed, 5);
        for operation in 1..=2 {
            fake.fail_at(fake.count() + operation);
            let (mut store, _) = Store::open(fake.clone()).unwrap_or_else(|_| {
                fake.fail_at(0);
                Store::open(fake.clone()).unwrap()
            });
            fake.fail_at(fake.count() + operation);
            store.append(&[Bytes::from_static(b"lost")]).unwrap_err();
            fake.fail_at(0);
            let (_, opened) = Store::open(fake.clone()).unwrap();
            fake.crash(seed);
            let (_, again) = Store::open(fake.clone()).unwrap();
            assert_eq!(again.records, opened.records);
        }
    }
}

#[test]
fn random_crash() {
    bolero::check!()
        .with_iterations(500)
        .with_type::<(u64, u8, u8)>()
        .cloned()
        .for_each(|(seed, steps, operation)| {
            let fake = Fake::default();
            fake.fail_at(usize::from(operation));
            let (model, _) = work(&fake, seed, usize::from(steps % 16));
            recover(&fake, &model, seed);
        });
}
