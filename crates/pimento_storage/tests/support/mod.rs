//! A disk in memory that loses what was not synced, and fails on demand.

#![allow(dead_code, reason = "each test file uses a part of it")]

use pimento_storage::Disk;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    io,
    path::PathBuf,
    sync::{Arc, Mutex},
};

/// A file's content, and what of it is durable.
#[derive(Clone, Debug, Default)]
struct Content {
    data: Vec<u8>,
    durable: Vec<u8>,
    /// Whether a sync failed: the system then counts the data as written, so
    /// that later syncs succeed in vain.
    dropped: bool,
}

#[derive(Debug, Default)]
struct Shared {
    files: Vec<Content>,
    /// Names and the files that they stand for.
    names: Vec<(String, usize)>,
    durable: Vec<(String, usize)>,
    /// The operations so far.
    count: usize,
    /// The operation that fails.
    fail: Option<usize>,
}

/// A disk in memory; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Fake(Arc<Mutex<Shared>>);

impl Shared {
    fn find(&self, name: &str) -> Option<usize> {
        let found = self.names.iter().find(|(known, _)| known == name);
        found.map(|(_, file)| *file)
    }

    fn file(&mut self, name: &str) -> io::Result<&mut Content> {
        let found = self.find(name);
        let file = found.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        Ok(&mut self.files[file])
    }

    fn sync_names(&mut self) {
        self.durable.clone_from(&self.names);
    }

    fn lose_names(&mut self) {
        self.names.clone_from(&self.durable);
    }

    /// Counts a write or sync; an error if it is the one that fails.
    fn attempt(&mut self) -> io::Result<()> {
        self.count += 1;
        if self.fail == Some(self.count) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }
}

impl Fake {
    /// Lets the operation with a number fail, from 1.
    pub fn fail_at(&self, operation: usize) {
        self.0.lock().unwrap().fail = Some(operation);
    }

    /// The operations so far.
    pub fn count(&self) -> usize {
        self.0.lock().unwrap().count
    }

    /// Reads a file as it is.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        self.0.lock().unwrap().file(name).unwrap().data.clone()
    }

    /// Puts a durable file in place.
    pub fn put(&self, name: &str, data: Vec<u8>) {
        let mut shared = self.0.lock().unwrap();
        let durable = data.clone();
        let dropped = false;
        shared.files.push(Content {
            data,
            durable,
            dropped,
        });
        let file = shared.files.len() - 1;
        shared.names.retain(|(known, _)| known != name);
        shared.names.push((name.to_owned(), file));
        shared.sync_names();
    }

    /// Loses what was not synced, but for some of it.
    pub fn crash(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut shared = self.0.lock().unwrap();
        if rng.random_bool(0.5) {
            shared.lose_names();
        }
        for file in &mut shared.files {
            let kept = file.data.starts_with(&file.durable);
            let from = if kept { file.durable.len() } else { 0 };
            let to = rng.random_range(from..=file.data.len());
            let mut data = file.data[..to].to_vec();
            if rng.random_bool(0.3) {
                // The length became durable before the content.
                data.resize(file.data.len(), 0);
            }
            file.data = data;
            file.durable = file.data.clone();
            file.dropped = false;
        }
        shared.sync_names();
        shared.fail = None;
    }
}

impl Disk for Fake {
    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from("/data").join(name)
    }

    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let mut shared = self.0.lock().unwrap();
        if shared.find(name).is_none() {
            return Ok(None);
        }
        Ok(Some(shared.file(name)?.data.clone()))
    }

    fn create(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        let mut shared = self.0.lock().unwrap();
        let result = shared.attempt();
        let part = if result.is_ok() {
            data
        } else {
            &data[..data.len() / 2]
        };
        if shared.find(name).is_none() {
            shared.files.push(Content::default());
            let file = shared.files.len() - 1;
            shared.names.push((name.to_owned(), file));
        }
        let file = shared.file(name)?;
        file.data = part.to_vec();
        file.dropped = false;
        result
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        let mut shared = self.0.lock().unwrap();
        let result = shared.attempt();
        let part = if result.is_ok() {
            data
        } else {
            &data[..data.len() / 2]
        };
        shared.file(name)?.data.extend_from_slice(part);
        result
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut shared = self.0.lock().unwrap();
        let result = shared.attempt();
        let file = shared.file(name)?;
        file.dropped |= result.is_err();
        if !file.dropped {
            file.durable.clone_from(&file.data);
        }
        result
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut shared = self.0.lock().unwrap();
        shared.attempt()?;
        let file = shared.find(from);
        let file = file.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        shared.names.retain(|(name, _)| name != from && name != to);
        shared.names.push((to.to_owned(), file));
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut shared = self.0.lock().unwrap();
        shared.attempt()?;
        shared.sync_names();
        Ok(())
    }
}
