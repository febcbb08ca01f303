//! A disk that can be made to report that it is full.

use pimento_storage::{DataFolder, Disk};
use std::{
    io,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// A data folder whose writes fail while its disk is set to full.
#[derive(Debug)]
pub struct FaultyDisk {
    pub folder: DataFolder,
    pub full: Arc<AtomicBool>,
}

impl FaultyDisk {
    fn check_space(&self) -> io::Result<()> {
        if self.full.load(Ordering::Relaxed) {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        Ok(())
    }
}

impl Disk for FaultyDisk {
    fn path(&self, name: &str) -> PathBuf {
        self.folder.path(name)
    }

    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.folder.read(name)
    }

    fn create(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        self.check_space()?;
        self.folder.create(name, data)
    }

    fn append(&mut self, name: &str, data: &[u8]) -> io::Result<()> {
        self.check_space()?;
        self.folder.append(name, data)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.check_space()?;
        self.folder.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.folder.rename(from, to)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.folder.sync_folder()
    }
}
